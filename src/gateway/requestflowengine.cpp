/** \file
 * What the response to a request shows about its engine.
 */
#include "requestflow.h"

#include "gateway.h"

#include <algorithm>

namespace Cyclamenturn
{

bool RequestFlow::isEngineObservable() const
{
    // Of a resumed or resent request it isn't known what the engine has done before, or has cached.
    return m_gateway.engineModels().isEnabled() && m_traits.prompt && m_isEventStream && m_sends == 1
        && m_traits.lastEventId.empty() && m_connection && m_connection->unsentBytes() == 0;
}

void RequestFlow::observeFirstEvent()
{
    if (!isEngineObservable()) {
        return;
    }
    const TimePoint now = m_gateway.loop().now();
    const PromptTraits &prompt = *m_traits.prompt;
    FirstEventObservation observation;
    observation.took = now - m_sentAt;
    observation.prefillTokens = m_placement.prefillTokens;
    observation.leastTokens = prompt.parts.empty() ? prompt.promptTokens : prompt.parts.back().tokens;
    observation.mostTokens = std::max(observation.leastTokens, prompt.promptTokens - m_cachedTokens);
    observation.pendingTokens = m_pendingTokens;
    observation.peersPendingTokens = m_peersPendingTokens;
    observation.load = m_responseTraits.load;
    m_gateway.engineModels().estimates().noteFirstEvent(m_service, observation, now);
}

void RequestFlow::observeAnswer()
{
    if (!isEngineObservable()) {
        return;
    }
    AnswerObservation observation;
    observation.took = m_callerResponse.eventSpan();
    observation.events = m_callerResponse.events();
    if (m_traits.prompt->expectedOutputTokens) {
        observation.expectedTokens = static_cast<double>(*m_traits.prompt->expectedOutputTokens);
    }
    observation.prefillTokens = m_placement.prefillTokens;
    observation.isLongAnswer = !m_placement.isLongPrompt;
    observation.eventGap = m_admitted.route->eventGap;
    observation.load = m_responseTraits.load;
    m_gateway.engineModels().estimates().noteAnswer(m_service, observation, m_gateway.loop().now());
}

}
