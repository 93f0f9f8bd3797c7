/** \file
 * Which gateway gives the permits for an endpoint. All gateways rank the fleet's gateways in the same order for each
 * endpoint; the first one that responds owns the endpoint's permits, so that a limit needs no shares and no agreement.
 */
#pragma once

#include "timepoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class PermitOwners
{
public:
    /** A gateway that has left this many questions in a row unanswered, the first one at least DOWN_TIME ago, is passed
     * over until it is heard again. */
    static constexpr int UNANSWERED_UNTIL_DOWN = 3;
    static constexpr Duration DOWN_TIME = milliseconds(500);
    /** After its start, a gateway doesn't know the others yet, so it gives no permits for this time. */
    static constexpr Duration SETTLING_TIME = milliseconds(1000);

    explicit PermitOwners(std::string ownName)
        : m_ownName(std::move(ownName))
    {
    }

    void start(TimePoint now)
    {
        m_startedAt = now;
    }
    /** Replaces the names of the other gateways. */
    void setMembers(std::vector<std::string> names)
    {
        m_members = std::move(names);
    }
    void noteHeard(const std::string &name);
    void noteUnanswered(const std::string &name, TimePoint now);
    bool isDown(const std::string &name, TimePoint now) const;

    /** The first two gateways, possibly this one, that aren't down, in the order in which they are asked. */
    std::vector<std::string> owners(const std::string &endpoint, TimePoint now) const;
    bool isOwn(const std::string &name) const
    {
        return name == m_ownName;
    }

private:
    struct Silence
    {
        int unanswered = 0;
        TimePoint since;
    };

    std::string m_ownName;
    std::vector<std::string> m_members;
    TimePoint m_startedAt;
    /** Gateways that have left questions unanswered since they were last heard. */
    std::map<std::string, Silence> m_silences;
};

}
