/** \file
 * Memory that requests occupy at an endpoint.
 */
#include "endpointroom.h"

#include "workloadsplit.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Weight of one request in the mean size; the mean covers about ten requests. */
constexpr double MEAN_WEIGHT = 0.1;

}

double tokensNeeded(const PromptTraits &prompt)
{
    return static_cast<double>(prompt.promptTokens) + expectedOutputTokens(prompt);
}

void EndpointRoom::noteStarted(double tokens)
{
    m_ownTokens += tokens;
    m_meanTokens = m_meanTokens > 0 ? m_meanTokens + MEAN_WEIGHT * (tokens - m_meanTokens) : tokens;
}

void EndpointRoom::noteEnded(double tokens)
{
    m_ownTokens = std::max(0.0, m_ownTokens - tokens);
}

double EndpointRoom::tokensInUse(double otherRequests, double usualTokens) const
{
    return m_ownTokens + std::max(0.0, otherRequests) * (m_meanTokens > 0 ? m_meanTokens : usualTokens);
}

double roomWaitMs(double needed, double inUse, std::int64_t memoryTokens, double durationMs)
{
    const double missing = inUse + needed - static_cast<double>(memoryTokens);
    return memoryTokens <= 0 || inUse <= 0 || missing <= 0 ? 0 : missing / inUse * durationMs;
}

}
