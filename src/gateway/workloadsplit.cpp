/** \file
 * Measurement of demand and division of the endpoints.
 */
#include "workloadsplit.h"

#include "exponentialdecay.h"

#include "enginecostmodel.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace Cyclamenturn
{

namespace
{

/** Share of prefill in a request's time above which it counts as a long prompt. */
constexpr double LONG_PROMPT_SHARE = 0.15;
/** Share of the spare endpoints that goes to long answers. Long prompts benefit more from spare capacity. */
constexpr double SPARE_SHARE_FOR_ANSWERS = 0.3;
/** Weight of one request in the mean priority of its kind; the mean covers about twenty requests. */
constexpr double PRIORITY_WEIGHT = 0.05;
/** Difference of mean priorities below which both kinds count as equally urgent. */
constexpr double MIN_PRIORITY_DIFFERENCE = 0.25;
/** Expected output tokens of a request that states neither a guess nor a limit. */
constexpr double DEFAULT_OUTPUT_TOKENS = 200;

void updateMean(std::optional<double> &mean, double value)
{
    mean = mean ? *mean + PRIORITY_WEIGHT * (value - *mean) : value;
}

double prefillMs(const PromptTraits &prompt, const EngineCostModel &engine)
{
    return static_cast<double>(prompt.promptTokens) / engine.prefillTokensPerMs;
}

/** Number of the fastest endpoints that together have this speed. Beyond all of them, the rest is counted at the speed
 * of the slowest. */
double fastestEndpoints(std::vector<double> speeds, double totalSpeed)
{
    std::sort(speeds.begin(), speeds.end(), std::greater<>());
    double out = 0;
    for (const double speed : speeds) {
        if (totalSpeed <= speed) {
            return out + totalSpeed / speed;
        }
        totalSpeed -= speed;
        out += 1;
    }
    return speeds.empty() ? 0 : out + totalSpeed / speeds.back();
}

/** Prefill time of the request's own part; the shared parts are usually cached. */
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
    const double prefillTimeMs = prefillMs(prompt, engine);
    const double decodeTimeMs = expectedOutputTokens(prompt) * engine.tokenMs;
    return prefillTimeMs > LONG_PROMPT_SHARE * (prefillTimeMs + decodeTimeMs) ? WorkloadKind::LongPrompt
                                                                              : WorkloadKind::LongAnswer;
}

bool WorkloadSplit::areAnswersMoreUrgent() const
{
    return m_promptPriority && m_answerPriority && *m_answerPriority < *m_promptPriority - MIN_PRIORITY_DIFFERENCE;
}

void WorkloadSplit::noteStarted(const PromptTraits &prompt, int priority, const EngineCostModel &engine, TimePoint now)
{
    if (workloadOf(prompt, engine) == WorkloadKind::LongAnswer) {
        updateMean(m_answerPriority, priority);
        ++m_longAnswers;
        return;
    }
    updateMean(m_promptPriority, priority);
    m_prefillMs *= decayFactor(now - m_updatedAt, TIME_CONSTANT);
    m_updatedAt = now;
    m_prefillMs
        += ownPrefillMs(prompt, engine) * engine.rereadFactor + expectedOutputTokens(prompt) * engine.batchedTokenMs;
}

void WorkloadSplit::noteEnded(WorkloadKind kind)
{
    if (kind == WorkloadKind::LongAnswer) {
        m_longAnswers = std::max(0, m_longAnswers - 1);
    }
}

WorkloadDemand WorkloadSplit::ownDemand(TimePoint now) const
{
    constexpr double MICROSECONDS_PER_SECOND = 1e6;
    const double seconds = static_cast<double>(TIME_CONSTANT.count()) / MICROSECONDS_PER_SECOND;
    return {m_prefillMs * decayFactor(now - m_updatedAt, TIME_CONSTANT) / seconds, static_cast<double>(m_longAnswers)};
}

std::size_t WorkloadSplit::longAnswerEndpoints(
    std::vector<double> speeds, const EngineCostModel &engine, TimePoint now) const
{
    constexpr double MS_PER_SECOND = 1000;
    const WorkloadDemand demand = ownDemand(now);
    const std::size_t endpoints = speeds.size();
    const double count = static_cast<double>(endpoints);
    const double endpointsForPrompts = fastestEndpoints(std::move(speeds),
        (demand.prefillMsPerSecond + m_peerDemand.prefillMsPerSecond) / MS_PER_SECOND / engine.prefillUtilization);
    const double answers = demand.longAnswers + m_peerDemand.longAnswers;
    if (endpointsForPrompts <= 0 && answers <= 0) {
        return endpoints / 2;
    }
    const double endpointsForAnswers = answers / engine.streamsPerEndpoint;
    double assigned = endpointsForAnswers;
    if (endpointsForAnswers + endpointsForPrompts > count) {
        assigned = count * endpointsForAnswers / (endpointsForAnswers + endpointsForPrompts);
        if (areAnswersMoreUrgent()) {
            assigned = std::max(assigned, std::min(endpointsForAnswers, count * engine.urgentShare));
        }
    } else {
        assigned += (count - endpointsForAnswers - endpointsForPrompts) * SPARE_SHARE_FOR_ANSWERS;
    }
    const auto rounded = static_cast<std::size_t>(std::lround(assigned));
    return endpoints < 2 ? endpoints : std::clamp<std::size_t>(rounded, 1, endpoints - 1);
}

}
