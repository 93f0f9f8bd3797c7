/** \file
 * The shared prompt parts that one endpoint's engine presumably has cached. The engine evicts the least recently used
 * parts when it needs memory, later parts of a prompt before those that they follow. Other gateways fill its memory
 * too, so the tokens added since a part's last use are estimated from all requests at the endpoint.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

/** Tokens of the parts that a prompt shares with others: all but the last one. */
std::int64_t sharedTokens(const PromptTraits &prompt);

/** The state of an endpoint on which the cached parts depend. */
struct CacheConditions
{
    /** Tokens of the engine's memory that running requests don't need. */
    double freeTokens = std::numeric_limits<double>::infinity();
    /** Requests that the other gateways have at the endpoint. */
    double otherRequests = 0;
    /** Gateways that prefer this endpoint for the prompt's shared parts and use them there, with this one; 1 unless it
     * is the home endpoint. */
    double users = 1;
    /** Whether shared parts that this gateway never sent to the endpoint count as cached, since others have. */
    bool isHomeEndpoint = false;
    /** Parts that were used longer ago don't count. */
    Duration longestLife = Duration::max();
};

/** What a request adds to an engine's cache. */
struct CacheUse
{
    /** Prefilled and generated tokens. */
    double addedTokens = 0;
    /** Expected time until the request ends. */
    double durationMs = 0;
};

class KeptParts
{
public:
    /** Bounds the memory of this process. */
    static constexpr std::size_t MAX_PARTS = 2048;
    /** Time constant of the rate at which requests add tokens. */
    static constexpr Duration RATE_TIME_CONSTANT = milliseconds(30000);

    void noteUse(const PromptTraits &prompt, const CacheUse &use, double otherRequests, TimePoint now);
    /** Forgets everything, as the engine may have been restarted. */
    void clear();
    /** Tokens at the head of the prompt that the engine presumably has cached. */
    std::int64_t cachedTokens(const PromptTraits &prompt, const CacheConditions &conditions, TimePoint now) const;
    std::size_t size() const
    {
        return m_parts.size();
    }

private:
    struct Part
    {
        std::int64_t tokens = 0;
        /** Tokens of the prompt up to the end of this part, which are evicted after it. */
        std::int64_t depth = 0;
        /** m_added at the last use. */
        double addedAtUse = 0;
        TimePoint usedAt;
    };
    /** Estimated tokens that were added to the cache until now. */
    double added(double otherRequests, TimePoint now) const;
    void removeLeastRecentlyUsed();

    std::unordered_map<std::string, Part> m_parts;
    /** Estimated tokens that were added to the cache until m_updatedAt, by all gateways. */
    double m_added = 0;
    TimePoint m_updatedAt;
    /** Sums over this process's own requests; both decay with RATE_TIME_CONSTANT. */
    double m_ownTokens = 0;
    double m_ownMs = 0;
};

}
