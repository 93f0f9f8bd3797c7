/** \file
 * What it is worth to send one prompt to one endpoint: the prefill that its cached parts save, the wait there, and what
 * the prompt displaces. Prefill is priced by what all requests lose by it, not only the one at hand; see
 * docs/design/cached-prefixes.md.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstdint>

namespace Cyclamenturn
{

struct EngineCostModel;

/** What is expected of one endpoint for one prompt. */
struct EndpointOutlook
{
    /** Tokens of own and peers' requests that are still to be prefilled. */
    double pendingPrefillTokens = 0;
    /** Requests of all callers. */
    double requests = 0;
    int slots = 1;
    /** How long work takes there in relation to the usual time. */
    double pace = 1;
    /** 0 if not known. */
    std::int64_t memoryTokens = 0;
    double tokensInUse = 0;
    double failureShare = 0;
    bool isSuspect = false;
    /** Tokens of the prompt that are presumably cached. */
    std::int64_t cachedTokens = 0;
    /** Whether later requests for the shared parts will be sent there. */
    bool isHomeEndpoint = false;
    /** Tokens that a further copy of the shared parts would evict from a cache that is in use. */
    double displacedTokens = 0;
};

/** What is equal for all endpoints. */
struct PromptNeeds
{
    const PromptTraits &prompt;
    const EngineCostModel &engine;
    /** Time after which the first event is late; 0 if there is none. */
    Duration objective{};
    /** Mean backlog of prefill at the service's endpoints, in prompts like this one without its shared parts. */
    double meanBacklog = 0;
};

struct PromptValue
{
    /** Prefill that the cached parts save, with what it would cost the other requests. */
    double savedMs = 0;
    /** Time that passes before the engine begins to process the prompt, with expected retries. */
    double waitMs = 0;
    /** Later prefill of the parts that the prompt evicts. */
    double displacedMs = 0;
    /** Prefill of the prompt with nothing cached, with what it costs the other requests. */
    double prefillMs = 0;
    /** Loss by a first event after the objective. */
    double lateMs = 0;
    /** Expected time to the first event. */
    double firstEventMs = 0;
    /** The part of `firstEventMs` that passes without other requests too. */
    double processingMs = 0;

    double costMs() const
    {
        return waitMs + prefillMs - savedMs + displacedMs + lateMs;
    }
};

PromptValue promptValue(const PromptNeeds &needs, const EndpointOutlook &outlook);

}
