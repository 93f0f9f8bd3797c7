/** \file
 * The limits of endpoints known to this gateway, from its own responses and from other gateways.
 */
#pragma once

#include "endpointlimit.h"

#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

class KnownLimits
{
public:
    /** Bounds the memory that messages of other gateways can take. */
    static constexpr std::size_t MAX_ENDPOINTS = 8192;
    /** How long an endpoint without a limit is remembered, so that delayed messages don't bring its limit back. */
    static constexpr Duration ENDED_RETENTION = milliseconds(60000);

    /** Applies `limit` unless a newer one of the endpoint is known. Returns whether the rate has changed. */
    bool merge(const EndpointLimit &limit);
    /** Returns the limit of the endpoint, or null when it has none. */
    const EndpointLimit *find(const std::string &endpoint) const;
    /** Returns the latest statement of the endpoint, with or without a limit, or null. */
    const EndpointLimit *latest(const std::string &endpoint) const;
    /** Forgets an endpoint that is gone. */
    void remove(const std::string &endpoint);
    void expire(TimePoint now);
    /** Number of endpoints that have a limit. */
    std::size_t limitedCount() const
    {
        return m_limitedCount;
    }

private:
    /** By endpoint. An endpoint that never stated a limit has no entry. */
    std::unordered_map<std::string, EndpointLimit> m_limits;
    /** Number of entries with a limit. */
    std::size_t m_limitedCount = 0;
};

}
