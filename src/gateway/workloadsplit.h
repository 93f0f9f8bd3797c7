/** \file
 * Divides the endpoints of a model service between long prompts and long answers. It answers load that mixes both: an
 * engine reads a long prompt in chunks between the tokens of everybody else, so a few long prompts in a row make the
 * pauses in every stream on that engine too long. Streams alone hardly disturb each other, so many share an endpoint.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstddef>
#include <optional>
#include <tuple>

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

/** What one process's callers ask of a model service; the sum over all processes is what the division follows. */
struct WorkloadDemand
{
    /** Engine time asked for by long prompts, in milliseconds a second. */
    double prefillMsPerSecond = 0;
    /** Long answers in progress. */
    double longAnswers = 0;

    bool operator==(const WorkloadDemand &other) const
    {
        return std::tie(prefillMsPerSecond, longAnswers) == std::tie(other.prefillMsPerSecond, other.longAnswers);
    }
};

class WorkloadSplit
{
public:
    /** Time constant of the measurement. A burst lasts seconds, and endpoints that change sides lose their cache. */
    static constexpr Duration TIME_CONSTANT = milliseconds(3000);

    /** `urgency` is the route's priority, 0 first. */
    void noteStarted(const PromptTraits &prompt, int urgency, const EngineCostModel &engine, TimePoint now);
    void noteEnded(const PromptTraits &prompt, const EngineCostModel &engine);
    void setPeerDemand(const WorkloadDemand &demand)
    {
        m_peerDemand = demand;
    }
    /** This process's own demand. */
    WorkloadDemand ownDemand(TimePoint now) const;

    /** Of `endpoints`, how many serve long answers; at least one each when both kinds are asked for. */
    std::size_t longAnswerEndpoints(std::size_t endpoints, const EngineCostModel &engine, TimePoint now) const;

private:
    bool areAnswersMoreUrgent() const;

    /** Running means of the urgency of each kind; a few requests of a route are of the other kind than most. */
    std::optional<double> m_promptUrgency;
    std::optional<double> m_answerUrgency;
    /** Fades with MEMORY; its rate is m_prefillMs / MEMORY. */
    double m_prefillMs = 0;
    TimePoint m_updatedAt;
    int m_longAnswers = 0;
    WorkloadDemand m_peerDemand;
};

}
