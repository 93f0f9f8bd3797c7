/** \file
 * What a gateway tells the others of itself every few hundred milliseconds, in one datagram.
 */
#pragma once

#include "crashquarantine.h"
#include "workloadsplit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

/** One gateway's requests at one endpoint. */
struct EndpointShare
{
    /** Hash of the endpoint's id, to keep datagrams small. */
    std::uint32_t endpoint = 0;
    std::uint16_t inFlight = 0;
    /** Tokens of prompts that the endpoint still has to read for this gateway. */
    std::uint32_t pendingPrefillTokens = 0;

    bool operator==(const EndpointShare &other) const
    {
        return std::tie(endpoint, inFlight, pendingPrefillTokens)
            == std::tie(other.endpoint, other.inFlight, other.pendingPrefillTokens);
    }
};

struct PeerDigest
{
    std::string name;
    /** Time of the process's start in microseconds of its VM's clock; tells a restart. */
    std::uint64_t incarnation = 0;
    /** Goes up with each digest of one incarnation. */
    std::uint32_t sequence = 0;
    /** Revision of the configuration in force there, by the store's count; 0 while there is none. */
    std::uint64_t configurationRevision = 0;
    WorkloadDemand demand;
    /** Endpoints at which the gateway has requests. */
    std::vector<EndpointShare> shares;
    /** Requests that were in progress when endpoints crashed. Their times are ages, since clocks differ. */
    std::vector<CrashSuspect> suspicions;
};

/** The hash that stands for an endpoint in digests. */
std::uint32_t endpointHash(const std::string &endpointId);

/** Times of suspicions are sent as ages before `now`. */
std::string encodeDigest(const PeerDigest &digest, TimePoint now);
/** Returns nothing for bytes that aren't a whole digest of this version. */
std::optional<PeerDigest> decodeDigest(const std::string &bytes, TimePoint now);

}
