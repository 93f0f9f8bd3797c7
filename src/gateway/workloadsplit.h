/** \file
 * Divides the endpoints of a model service between long prompts and long answers. It answers load that mixes both: an
 * engine reads a long prompt in chunks between the tokens of everybody else, so a few long prompts in a row make the
 * pauses in every stream on that engine too long.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstddef>

namespace Cyclamenturn
{

struct EngineCostModel;

enum class WorkloadKind {
    /** Most of the work is reading the prompt. */
    LongPrompt,
    /** Most of the work is making the answer. */
    LongAnswer,
};

/** Tokens that an answer is expected to have. */
double expectedOutputTokens(const PromptTraits &prompt);

/** Which of its two parts dominates a request, by the cost model. */
WorkloadKind workloadOf(const PromptTraits &prompt, const EngineCostModel &engine);

/** Measures how much of the recent work is of each kind. */
class WorkloadSplit
{
public:
    /** Time constant of the measurement. A burst lasts seconds, and endpoints that change sides lose their cache. */
    static constexpr Duration MEMORY = milliseconds(15000);

    void note(const PromptTraits &prompt, const EngineCostModel &engine, TimePoint now);

    /** Of `endpoints`, how many serve long answers; at least one each when both kinds are asked for. */
    std::size_t longAnswerEndpoints(std::size_t endpoints) const;

private:
    double m_longPromptMs = 0;
    double m_longAnswerMs = 0;
    TimePoint m_notedAt;
};

}
