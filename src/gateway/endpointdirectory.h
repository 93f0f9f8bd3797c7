/** \file
 * The endpoints known to this process: the platform's list, read at intervals. After an outage of the list, or when the
 * store was restored from a copy, missing entries are kept for a while, since live endpoints need time to be listed
 * again.
 */
#pragma once

#include "address.h"
#include "storerevision.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

/** An endpoint's registration. */
struct EndpointRecord
{
    /** Identifies an incarnation together with `startedAtMs`. */
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    /** Of the endpoint's software; empty if it states none. */
    std::string version;
    int slots = 1;
    /** The endpoint finishes its requests but accepts no new ones. */
    bool isLeaving = false;
    /** Unix time of the incarnation's start; a different value shows a restart under the same id. */
    std::int64_t startedAtMs = 0;
    /** False for an incarnation that has stated itself and wasn't listed yet. */
    bool isVersionKnown = true;

    bool operator==(const EndpointRecord &other) const
    {
        return std::tie(id, service, address, failureDomain, version, slots, isLeaving, startedAtMs, isVersionKnown)
            == std::tie(other.id, other.service, other.address, other.failureDomain, other.version, other.slots,
                other.isLeaving, other.startedAtMs, other.isVersionKnown);
    }
    /** A short name that differs between incarnations, also under the same id. */
    std::string incarnationName() const;
    bool isSameIncarnation(const EndpointRecord &other) const
    {
        return id == other.id && startedAtMs == other.startedAtMs && address == other.address;
    }
};

/** A change of the known endpoints, for the log and for owners of per-endpoint state. */
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
    /** The incarnation before, if `kind` is Restarted. */
    EndpointRecord previous = {};
};

class EndpointDirectory
{
public:
    /** How long after an outage of the list the entries of live endpoints may be missing. The platform lists live
     * endpoints again within about two seconds. */
    static constexpr Duration REAPPEARANCE_WINDOW = milliseconds(2300);
    /** If the last successful read was longer ago than this, entries of live endpoints may have expired: the platform
     * removes an entry after three missed heartbeats. */
    static constexpr Duration ENTRY_EXPIRY_AGE = milliseconds(3000);

    /** How long after a restoration of the store the copy's entries of endpoints that have gone since may be listed:
     * the platform removes them after three missed heartbeats. */
    static constexpr Duration COPIED_ENTRY_LIFETIME = milliseconds(4000);
    /** How long endpoints that have gone are remembered; copies of the store are seconds old. */
    static constexpr Duration GONE_RETENTION = milliseconds(30000);

    /** Applies a complete list as of `revision` and returns the changes. Ignores a list older than the current one; a
     * list of another era is newer. */
    std::vector<EndpointChange> apply(
        const std::vector<EndpointRecord> &list, const StoreRevision &revision, TimePoint now);
    /** Records that the list applied last is still complete as of `revision`. Returns false, and does nothing, if it
     * has to be applied again: entries were kept or left out, or the list couldn't be read meanwhile. */
    bool confirm(const StoreRevision &revision, TimePoint now);
    /** Makes the next list newer than the current one, whatever its revision: another store is used. */
    void forgetRevision()
    {
        m_revision = {};
    }
    /** Records a failed read of the list: the endpoints may be unable to reach the platform, too. */
    void noteReadFailed();

    /** The endpoints of a service that accept new requests. */
    std::vector<const EndpointRecord *> usable(const std::string &service) const;
    /** Returns null if no endpoint of that id is known. */
    const EndpointRecord *find(const std::string &id) const;
    const StoreRevision &revision() const
    {
        return m_revision;
    }
    std::optional<TimePoint> readAt() const
    {
        return m_readAt;
    }

private:
    /** Adjusts to a restored store, whose list may lack entries and hold outdated ones. */
    void noteRestoration(TimePoint now);
    /** Whether the entry is the copy's and its endpoint has gone since. */
    bool isCopyOfGone(const EndpointRecord &record, TimePoint now) const;
    void remove(const std::string &id, TimePoint now);

    struct Gone
    {
        EndpointRecord record;
        TimePoint since;
    };

    std::map<std::string, EndpointRecord> m_records;
    /** Removed endpoints by id, for GONE_RETENTION. */
    std::map<std::string, Gone> m_gone;
    /** Of the current list; increases within an era. */
    StoreRevision m_revision;
    std::optional<TimePoint> m_readAt;
    /** Until then, the list may hold entries of a copy of the store. */
    TimePoint m_copiedEntriesUntil;
    /** Until then, endpoints whose entries are missing are kept. */
    TimePoint m_keepMissingUntil;
    bool m_failedSinceRead = false;
    /** Whether m_records are exactly the endpoints of the list applied last. */
    bool m_isExact = false;
};

}
