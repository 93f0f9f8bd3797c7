/** \file
 * A gateway's copy of the store's endpoint list, and the updates by which one gateway's read of the list serves the
 * others.
 *
 * Each heartbeat changes an entry, so every gateway would have to read the whole list about once per second, and the
 * store's calls and bytes would grow with gateways times endpoints. Instead, one gateway reads the list and sends the
 * recent changes to the others; a hash over all entries shows them whether their copies are complete.
 */
#pragma once

#include "endpointdirectory.h"
#include "storerevision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** The changes of the last few seconds in a list that one gateway read. */
struct EndpointListUpdate
{
    /** Store revision at which the list was read. */
    StoreRevision revision;
    /** Combined hash of all entries of the list, including unchanged ones. */
    std::uint64_t hash = 0;
    /** Entries that were added or changed. */
    std::vector<EndpointRecord> changed;
    /** Ids of entries that are no longer listed. */
    std::vector<std::string> removed;
};

class EndpointList
{
public:
    /** How long a change is included in updates, so that a gateway may miss several updates in a row. */
    static constexpr Duration CHANGE_RETENTION = milliseconds(4000);

    /** Replaces the entries by a list read from the store. A list older than the current one is ignored. One of another
     * era isn't older: this process reads lists one after the other. */
    void replace(const std::vector<EndpointRecord> &list, const StoreRevision &revision, TimePoint now);
    /**
     * Applies an update from another gateway. Returns false and leaves the list unchanged if the update is older than
     * the list, if no list was read yet, or if the hash shows that the list would be incomplete.
     */
    bool merge(const EndpointListUpdate &update, TimePoint now);
    /** The changes of the last CHANGE_RETENTION, to be sent to the other gateways. */
    EndpointListUpdate recentChanges(TimePoint now) const;

    /** Makes the next list newer than the current one, whatever its revision: another store is used. */
    void forgetRevision()
    {
        m_revision = {};
    }

    std::vector<EndpointRecord> records() const;
    const StoreRevision &revision() const
    {
        return m_revision;
    }
    /** Changes whenever records() changes. */
    std::uint64_t generation() const
    {
        return m_generation;
    }

private:
    struct Entry
    {
        EndpointRecord record;
        TimePoint changedAt;
        /** Hash of the record; stored since most entries don't change between two reads. */
        std::uint64_t hash = 0;
    };
    using Entries = std::map<std::string, Entry>;

    bool isEqualTo(const std::vector<EndpointRecord> &list) const;
    /** The hash over all entries after the update. */
    std::uint64_t hashAfter(const EndpointListUpdate &update) const;
    void set(const EndpointRecord &record, TimePoint now);
    void remove(const std::string &id, TimePoint now);
    /** Forgets removals that aren't included in updates any more. */
    void expireRemovals(TimePoint now);

    Entries m_entries;
    /** Combined hash of all entries. */
    std::uint64_t m_hash = 0;
    std::uint64_t m_generation = 0;
    /** Removal times of recently removed entries, by endpoint id. */
    std::map<std::string, TimePoint> m_removed;
    /** Zero before the first list. */
    StoreRevision m_revision;
};

/** Serializes an update. Returns nothing if it doesn't fit into a datagram; the other gateways then read the list
 * themselves. */
std::optional<std::string> encodeListUpdate(const EndpointListUpdate &update);
/** Parses an update. Returns nothing if the bytes aren't a complete update of this version. */
std::optional<EndpointListUpdate> decodeListUpdate(const std::string &bytes);

}
