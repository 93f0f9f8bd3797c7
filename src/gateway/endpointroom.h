/** \file
 * The memory of one endpoint's engine that requests occupy, in tokens. An engine whose memory is full doesn't start
 * further requests, however many of its slots are free.
 */
#pragma once

#include "requesttraits.h"

#include <cstdint>

namespace Cyclamenturn
{

/** Tokens that a request occupies when it ends: its prompt and the expected output. */
double tokensNeeded(const PromptTraits &prompt);

class EndpointRoom
{
public:
    /** `tokens` is tokensNeeded() of a request of this process. */
    void noteStarted(double tokens);
    void noteEnded(double tokens);
    /** All own requests have ended. */
    void clearOwn()
    {
        m_ownTokens = 0;
    }
    /** Tokens in use by own requests and those of the other gateways. Requests of others count as much as own ones
     * recently did here, or `usualTokens` if there were none. */
    double tokensInUse(double otherRequests, double usualTokens) const;

private:
    double m_ownTokens = 0;
    /** Moving average over own requests; 0 while there were none. */
    double m_meanTokens = 0;
};

/** Expected time until `needed` tokens are free. Those in use are freed evenly over `durationMs`, which requests take
 * on average. 0 if the memory isn't known or suffices. */
double roomWaitMs(double needed, double inUse, std::int64_t memoryTokens, double durationMs);

}
