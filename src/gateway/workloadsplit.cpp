/** \file
 * Division of endpoints between long prompts and long answers.
 */
#include "workloadsplit.h"

#include "exponentialdecay.h"

#include "placement.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

namespace
{

/** Share of a request's time spent on reading above which the prompt dominates. */
constexpr double LONG_PROMPT_SHARE = 0.15;
/** Part of the endpoints that neither needs which goes to long answers. Long prompts gain more from room. */
constexpr double SPARE_FOR_ANSWERS = 0.3;
/** Weight of one request in the mean urgency of its kind: some twenty requests decide. */
constexpr double URGENCY_WEIGHT = 0.05;
/** Difference of mean urgencies below which both kinds count as equally urgent. */
constexpr double LEAST_URGENCY_GAP = 0.25;
/** Output tokens expected of a request that states nothing. */
constexpr double DEFAULT_OUTPUT_TOKENS = 200;

void mixIn(std::optional<double> &mean, double value)
{
    mean = mean ? *mean + URGENCY_WEIGHT * (value - *mean) : value;
}

double prefillMs(const PromptTraits &prompt, const EngineCostModel &engine)
{
    return static_cast<double>(prompt.promptTokens) / engine.prefillTokensPerMs;
}

/** Prefill of what is the request's own: the shared parts are usually cached. */
double ownPrefillMs(const PromptTraits &prompt, const EngineCostModel &engine)
{
    if (prompt.parts.empty()) {
        return prefillMs(prompt, engine);
    }
    return static_cast<double>(prompt.parts.back().tokens) / engine.prefillTokensPerMs;
}

}

double expectedOutputTokens(const PromptTraits &prompt)
{
    if (prompt.expectedOutputTokens) {
        return static_cast<double>(*prompt.expectedOutputTokens);
    }
    return prompt.outputTokenLimit > 0 ? static_cast<double>(prompt.outputTokenLimit) / 2 : DEFAULT_OUTPUT_TOKENS;
}

WorkloadKind workloadOf(const PromptTraits &prompt, const EngineCostModel &engine)
{
    const double reading = prefillMs(prompt, engine);
    const double writing = expectedOutputTokens(prompt) * engine.tokenMs;
    return reading > LONG_PROMPT_SHARE * (reading + writing) ? WorkloadKind::LongPrompt : WorkloadKind::LongAnswer;
}

bool WorkloadSplit::areAnswersMoreUrgent() const
{
    return m_promptUrgency && m_answerUrgency && *m_answerUrgency < *m_promptUrgency - LEAST_URGENCY_GAP;
}

void WorkloadSplit::noteStarted(const PromptTraits &prompt, int urgency, const EngineCostModel &engine, TimePoint now)
{
    if (workloadOf(prompt, engine) == WorkloadKind::LongAnswer) {
        mixIn(m_answerUrgency, urgency);
        ++m_longAnswers;
        return;
    }
    mixIn(m_promptUrgency, urgency);
    m_prefillMs *= decayed(now - m_notedAt, MEMORY);
    m_notedAt = now;
    m_prefillMs
        += ownPrefillMs(prompt, engine) * engine.rereadFactor + expectedOutputTokens(prompt) * engine.batchedTokenMs;
}

void WorkloadSplit::noteEnded(const PromptTraits &prompt, const EngineCostModel &engine)
{
    if (workloadOf(prompt, engine) == WorkloadKind::LongAnswer) {
        m_longAnswers = std::max(0, m_longAnswers - 1);
    }
}

WorkloadDemand WorkloadSplit::own(TimePoint now) const
{
    constexpr double MICROSECONDS_PER_SECOND = 1e6;
    const double seconds = static_cast<double>(MEMORY.count()) / MICROSECONDS_PER_SECOND;
    return {m_prefillMs * decayed(now - m_notedAt, MEMORY) / seconds, static_cast<double>(m_longAnswers)};
}

std::size_t WorkloadSplit::longAnswerEndpoints(
    std::size_t endpoints, const EngineCostModel &engine, TimePoint now) const
{
    constexpr double MS_PER_SECOND = 1000;
    const WorkloadDemand demand = own(now);
    const double count = static_cast<double>(endpoints);
    const double forPrompts
        = (demand.prefillMsPerSecond + m_others.prefillMsPerSecond) / MS_PER_SECOND / engine.prefillUtilization;
    const double answers = demand.longAnswers + m_others.longAnswers;
    if (forPrompts <= 0 && answers <= 0) {
        return endpoints / 2;
    }
    const double forAnswers = answers / engine.streamsPerEndpoint;
    double share = forAnswers;
    if (forAnswers + forPrompts > count) {
        share = count * forAnswers / (forAnswers + forPrompts);
        if (areAnswersMoreUrgent()) {
            share = std::max(share, std::min(forAnswers, count * engine.urgentShare));
        }
    } else {
        share += (count - forAnswers - forPrompts) * SPARE_FOR_ANSWERS;
    }
    const auto rounded = static_cast<std::size_t>(std::lround(share));
    return endpoints < 2 ? endpoints : std::clamp<std::size_t>(rounded, 1, endpoints - 1);
}

}
