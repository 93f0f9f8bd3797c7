/** \file
 * The endpoints as the store lists them, and the news by which one gateway's read of that list serves the others.
 *
 * Load pattern: each heartbeat changes an entry, so every gateway would read the whole list about once a second, and
 * the store's calls and the bytes would grow with gateways times endpoints. Here one gateway reads and tells the others
 * what changed lately; a hash over all entries tells them whether their copies are now whole.
 */
#pragma once

#include "endpointdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** What one gateway read, as far as it changed within the last few seconds. */
struct EndpointListUpdate
{
    /** Revision of the store at which the list was read. */
    std::uint64_t revision = 0;
    /** Combines the hashes of all entries of the list, the unchanged ones too. */
    std::uint64_t hash = 0;
    /** Entries that were added or changed. */
    std::vector<EndpointRecord> changed;
    /** Ids of entries that are no longer listed. */
    std::vector<std::string> removed;
};

class EndpointList
{
public:
    /** Changes are told for this long, so that a gateway may miss some news in a row. */
    static constexpr Duration CHANGE_RETENTION = milliseconds(4000);

    /** Takes in a list read from the store. */
    void replace(const std::vector<EndpointRecord> &list, std::uint64_t revision, TimePoint now);
    /**
     * Takes in what another gateway read. Returns false, with the list left as it is, when the news is older than the
     * list or the list wouldn't be whole afterwards.
     */
    bool merge(const EndpointListUpdate &update, TimePoint now);
    EndpointListUpdate recentChanges(TimePoint now) const;

    std::vector<EndpointRecord> records() const;
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    struct Entry
    {
        EndpointRecord record;
        TimePoint changedAt;
        /** Of the record; kept, since most entries stay the same from one read to the next. */
        std::uint64_t hash = 0;
    };
    using Entries = std::map<std::string, Entry>;

    static std::uint64_t hashOf(const Entries &entries);
    void noteRemovals(const Entries &next, TimePoint now);

    Entries m_entries;
    /** When entries that aren't listed any more were last listed. */
    std::map<std::string, TimePoint> m_removed;
    std::uint64_t m_revision = 0;
};

/** Returns nothing when the news doesn't fit into a datagram; the others then read the list themselves. */
std::optional<std::string> encodeListUpdate(const EndpointListUpdate &update);
/** Returns nothing for bytes that aren't whole news of this version. */
std::optional<EndpointListUpdate> decodeListUpdate(const std::string &bytes);

}
