/** \file
 * The incarnations of endpoints: those that the list shows, and those that endpoints have stated over connections.
 *
 * The list may show an incarnation late, or one that has ended: entries are written at intervals, may be delayed on
 * their way, and come back with a restored store. What an endpoint states itself counts more.
 */
#pragma once

#include "endpointdirectory.h"
#include "streamorigin.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

class Incarnations
{
public:
    /** How long the version of an incarnation is known after it was last listed. */
    static constexpr Duration RETENTION = milliseconds(60000);

    /** Notes the endpoints that are listed from now on. */
    void noteListed(const std::vector<EndpointRecord> &list, TimePoint now);
    /** Notes which incarnation an endpoint, listed as `listed`, has stated. */
    void noteStated(const EndpointRecord &listed, std::int64_t startedAtMs);
    /** The endpoint that is listed as `listed`: this entry, or the incarnation that it has stated instead. */
    const EndpointRecord &current(const EndpointRecord &listed) const;
    /** The version of the incarnation that `key` names, if the list has shown it; otherwise `key`. */
    VersionKey versionOf(VersionKey key) const;
    void expire(TimePoint now);
    /** Number of endpoints that have stated another incarnation than the list shows. */
    std::size_t statedCount() const
    {
        return m_stated.size();
    }

private:
    struct Listed
    {
        std::string version;
        VersionKey versionKey = 0;
        bool isListed = false;
        /** When it was last found in the list; meaningful unless it is listed now. */
        TimePoint listedUntil;
    };
    struct Stated
    {
        EndpointRecord record;
        /** Of the entry when the statement was made. */
        std::int64_t listedStartedAtMs = 0;
        bool isEndpointListed = true;
    };

    /** By incarnationKey(). */
    std::unordered_map<VersionKey, Listed> m_listed;
    /** By endpoint id. */
    std::map<std::string, Stated> m_stated;
};

}
