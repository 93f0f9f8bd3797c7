/** \file
 * The state that a gateway sends to the others every few hundred milliseconds, in one datagram.
 */
#pragma once

#include "clearedsuspect.h"
#include "crashreport.h"
#include "endpointsighting.h"
#include "storerevision.h"
#include "workloadsplit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

/** One gateway's requests at one endpoint. */
struct EndpointRequests
{
    /** Hash of the endpoint's id, which keeps datagrams small. */
    std::uint32_t endpoint = 0;
    std::uint16_t inFlight = 0;
    /** Prompt tokens that the endpoint still has to prefill for this gateway. */
    std::uint32_t pendingPrefillTokens = 0;

    bool operator==(const EndpointRequests &other) const
    {
        return std::tie(endpoint, inFlight, pendingPrefillTokens)
            == std::tie(other.endpoint, other.inFlight, other.pendingPrefillTokens);
    }
};

struct PeerDigest
{
    /** Limits that keep a digest within one packet. */
    static constexpr std::size_t MAX_CRASHES = 32;
    static constexpr std::size_t MAX_CLEARED_SUSPECTS = 16;
    static constexpr std::size_t MAX_SIGHTINGS = 16;

    std::string name;
    /** Start time of the process in microseconds of its VM's clock; a different value shows a restart. */
    std::uint64_t incarnation = 0;
    /** Increases with each digest of one incarnation. */
    std::uint32_t sequence = 0;
    /** Revision of the latest configuration that the gateway has read; 0 while there is none. */
    StoreRevision configurationRevision;
    /** The version that the gateway applies; 0 while there is none. */
    std::uint64_t configurationVersion = 0;
    /** When the store last confirmed `configurationRevision`, to this gateway or to another one. */
    TimePoint configurationConfirmedAt;
    WorkloadDemand demand;
    /** Endpoints at which the gateway has requests. */
    std::vector<EndpointRequests> endpointRequests;
    std::vector<CrashReport> crashes;
    std::vector<ClearedSuspect> clearedSuspects;
    /** Suspected endpoints that responded to the gateway since. */
    std::vector<EndpointSighting> sightings;
};

/** The hash that identifies an endpoint in digests. */
std::uint32_t endpointHash(const std::string &endpointId);

/** Serializes a digest. Times are written as ages before `now`, since the clocks of VMs differ. */
std::string encodeDigest(const PeerDigest &digest, TimePoint now);
/** Parses a digest. Returns nothing if the bytes aren't a complete digest of this version. */
std::optional<PeerDigest> decodeDigest(const std::string &bytes, TimePoint now);

}
