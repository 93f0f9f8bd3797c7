/** \file
 * What this process believes of the endpoints: the platform's list, read at intervals, and what to make of entries
 * that are missing from it.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

/** One endpoint as it registered itself. */
struct EndpointRecord
{
    /** Names one incarnation, except where `startedAtMs` differs. */
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    int slots = 1;
    /** Still serves, but takes no new work. */
    bool isLeaving = false;
    /** Unix time of the incarnation's start; tells a restart under the same id. */
    std::int64_t startedAtMs = 0;

    bool operator==(const EndpointRecord &other) const
    {
        return std::tie(id, service, address, failureDomain, slots, isLeaving, startedAtMs)
            == std::tie(other.id, other.service, other.address, other.failureDomain, other.slots, other.isLeaving,
                other.startedAtMs);
    }
    bool isSameIncarnation(const EndpointRecord &other) const
    {
        return id == other.id && startedAtMs == other.startedAtMs && address == other.address;
    }
};

/** A change of belief, for the log and for whoever holds state of an endpoint. */
struct EndpointChange
{
    enum class Kind {
        Added,
        Restarted,
        Leaving,
        Removed,
    };
    Kind kind;
    EndpointRecord record;
};

class EndpointDirectory
{
public:
    /** How long after an outage of the list entries may be missing though their endpoints live. The platform has live
     * endpoints back in it within about two seconds. */
    static constexpr Duration REAPPEARANCE_WINDOW = milliseconds(2300);
    /** A list that was last read longer ago than this may have lost entries meanwhile: the platform drops them after
     * three heartbeats. */
    static constexpr Duration ENTRY_EXPIRY_AGE = milliseconds(3000);

    /** Takes in a whole list as of `revision`. A list older than the one in hand is ignored. */
    std::vector<EndpointChange> apply(const std::vector<EndpointRecord> &list, std::uint64_t revision, TimePoint now);
    /** A read of the list failed: the platform may be away from the endpoints too. */
    void noteReadFailed();

    /** The endpoints of a service that take new work. */
    std::vector<const EndpointRecord *> usable(const std::string &service) const;
    std::uint64_t revision() const
    {
        return m_revision;
    }
    std::optional<TimePoint> readAt() const
    {
        return m_readAt;
    }

private:
    std::map<std::string, EndpointRecord> m_records;
    /** The revision of the list in hand; never goes down. */
    std::uint64_t m_revision = 0;
    std::optional<TimePoint> m_readAt;
    /** Until then, a missing entry is no sign that its endpoint is gone. */
    TimePoint m_keepMissingUntil;
    bool m_failedSinceRead = false;
};

}
