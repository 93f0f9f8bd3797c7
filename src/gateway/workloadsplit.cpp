/** \file
 * Division of endpoints between long prompts and long answers.
 */
#include "workloadsplit.h"

#include "placement.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

namespace
{

/** Share of a request's time spent on reading above which the prompt dominates. */
constexpr double LONG_PROMPT_SHARE = 0.15;
/** Output tokens expected of a request that states nothing. */
constexpr double DEFAULT_OUTPUT_TOKENS = 200;

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

void WorkloadSplit::note(const PromptTraits &prompt, const EngineCostModel &engine, TimePoint now)
{
    const double factor = std::exp(-static_cast<double>((now - m_notedAt).count()) / static_cast<double>(MEMORY.count()));
    m_longPromptMs *= factor;
    m_longAnswerMs *= factor;
    m_notedAt = now;
    const double work
        = ownPrefillMs(prompt, engine) * engine.rereadFactor + expectedOutputTokens(prompt) * engine.batchedTokenMs;
    (workloadOf(prompt, engine) == WorkloadKind::LongPrompt ? m_longPromptMs : m_longAnswerMs) += work;
}

std::size_t WorkloadSplit::longAnswerEndpoints(std::size_t endpoints) const
{
    const double total = m_longPromptMs + m_longAnswerMs;
    if (total <= 0 || m_longAnswerMs <= 0) {
        return 0;
    }
    if (m_longPromptMs <= 0) {
        return endpoints;
    }
    const double share = m_longAnswerMs / total;
    const auto count = static_cast<std::size_t>(std::lround(share * static_cast<double>(endpoints)));
    return endpoints < 2 ? endpoints : std::clamp<std::size_t>(count, 1, endpoints - 1);
}

}
