/** \file
 * Knowledge about one endpoint.
 */
#include "endpointoutlook.h"

#include "placement.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Prompts without much of their own don't make the backlog look longer than it is. */
constexpr double MIN_OWN_TOKENS = 500;

double ownTokens(const PromptTraits &prompt)
{
    return std::max(MIN_OWN_TOKENS, static_cast<double>(prompt.promptTokens - sharedTokens(prompt)));
}

}

double requestsAt(const PlacementCandidate &candidate, TimePoint now)
{
    return std::max(candidate.statistics->load(now),
        static_cast<double>(candidate.statistics->inFlight() + candidate.peers.inFlight));
}

double usualPaceOf(const PlacementCandidate &candidate)
{
    constexpr double PERCENT = 100;
    const std::optional<double> own = candidate.statistics->pace().value();
    const int count = candidate.peers.paceCount + (own ? 1 : 0);
    return count == 0 ? 1 : (own.value_or(0) + candidate.peers.paceSum / PERCENT) / count;
}

double paceOf(const PlacementCandidate &candidate, TimePoint now)
{
    return candidate.statistics->pace().present(now).value_or(usualPaceOf(candidate));
}

EndpointOutlook outlookFor(const PlacementCandidate &candidate, const PromptTraits &prompt, bool isHomeEndpoint,
    Duration cacheLife, TimePoint now)
{
    const EndpointStatistics &statistics = *candidate.statistics;
    EndpointOutlook out;
    out.pendingPrefillTokens
        = static_cast<double>(statistics.pendingPrefillTokens() + candidate.peers.pendingPrefillTokens);
    out.requests = requestsAt(candidate, now);
    out.slots = candidate.record->slots;
    out.pace = paceOf(candidate, now);
    out.memoryTokens = candidate.memoryTokens;
    const double otherRequests = out.requests - statistics.inFlight();
    // Requests whose prompts wait to be processed don't occupy memory yet.
    const double waiting = std::min(out.requests, out.pendingPrefillTokens / ownTokens(prompt));
    const double runningShare = out.requests > 0 ? 1 - waiting / out.requests : 0;
    out.tokensInUse = runningShare * statistics.room().tokensInUse(otherRequests, tokensNeeded(prompt));
    out.failureShare = statistics.failureShare(now);
    out.isSuspect = statistics.isSuspect(now);
    out.isHomeEndpoint = isHomeEndpoint;

    CacheConditions conditions;
    conditions.otherRequests = otherRequests;
    conditions.users = isHomeEndpoint ? candidate.gateways : 1;
    conditions.isHomeEndpoint = isHomeEndpoint;
    if (candidate.memoryTokens > 0) {
        conditions.freeTokens = static_cast<double>(candidate.memoryTokens) - out.tokensInUse;
    } else {
        conditions.longestLife = cacheLife;
    }
    out.cachedTokens = statistics.keptParts().cachedTokens(prompt, conditions, now);
    if (candidate.memoryTokens > 0 && !isHomeEndpoint) {
        // The part that displaces anything in use grows as running requests leave less memory for the cache.
        const double occupancy = std::min(1.0, out.tokensInUse / static_cast<double>(candidate.memoryTokens));
        out.displacedTokens
            = occupancy * static_cast<double>(std::max<std::int64_t>(0, sharedTokens(prompt) - out.cachedTokens));
    }
    return out;
}

double meanBacklog(const std::vector<PlacementCandidate> &candidates, const std::set<std::string> &matching,
    const PromptTraits &prompt)
{
    double tokens = 0;
    double count = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (matching.empty() || matching.count(candidate.record->id) != 0) {
            tokens += static_cast<double>(
                candidate.statistics->pendingPrefillTokens() + candidate.peers.pendingPrefillTokens);
            ++count;
        }
    }
    return count == 0 ? 0 : tokens / count / ownTokens(prompt);
}

bool hasAmpleSlots(const std::vector<PlacementCandidate> &candidates, TimePoint now)
{
    double used = 0;
    double slots = 0;
    for (const PlacementCandidate &candidate : candidates) {
        const double requests = requestsAt(candidate, now);
        const int endpointSlots = std::max(1, candidate.record->slots);
        if (requests > endpointSlots || candidate.statistics->reportedWaiting(now) > 0) {
            return false;
        }
        used += requests;
        slots += endpointSlots;
    }
    return used * 2 <= slots;
}

}
