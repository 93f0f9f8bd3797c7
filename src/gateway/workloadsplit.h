/** \file
 * Divides the endpoints of a model service between long prompts and long answers. An engine prefills a long prompt in
 * chunks between the decode steps of its other requests, so a few long prompts in a row make the pauses in every stream
 * on that engine too long. Streams alone hardly delay each other, so many of them can share an endpoint.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstddef>
#include <optional>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

struct EngineCostModel;

enum class WorkloadKind {
    /** Prefill dominates. */
    LongPrompt,
    /** Token generation dominates. */
    LongAnswer,
};

/** Expected number of output tokens. */
double expectedOutputTokens(const PromptTraits &prompt);

/** Whether prefill or token generation dominates a request, according to the cost model. */
WorkloadKind workloadOf(const PromptTraits &prompt, const EngineCostModel &engine);

/** Demand for a model service at one process. Endpoints are divided by the sum over all processes. */
struct WorkloadDemand
{
    /** Engine time required by long prompts, in milliseconds per second. */
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
    /** Time constant of the measured demand. Bursts last for seconds, and an endpoint that is reassigned loses the
     * benefit of its cache. */
    static constexpr Duration TIME_CONSTANT = milliseconds(3000);

    /** `priority` is that of the route; 0 is the most urgent. */
    void noteStarted(const PromptTraits &prompt, int priority, const EngineCostModel &engine, TimePoint now);
    void noteEnded(WorkloadKind kind);
    void setPeerDemand(const WorkloadDemand &demand)
    {
        m_peerDemand = demand;
    }
    /** The demand of this process alone. */
    WorkloadDemand ownDemand(TimePoint now) const;

    /** Number of the `endpoints` that serve long answers. With two or more endpoints, each kind gets at least one. */
    std::size_t longAnswerEndpoints(std::size_t endpoints, const EngineCostModel &engine, TimePoint now) const
    {
        return longAnswerEndpoints(std::vector<double>(endpoints, 1), engine, now);
    }
    /** The same for endpoints of these speeds, 1 as usual. Long prompts get the fastest endpoints, and as many of them
     * as their demand takes at these speeds. */
    std::size_t longAnswerEndpoints(std::vector<double> speeds, const EngineCostModel &engine, TimePoint now) const;

private:
    bool areAnswersMoreUrgent() const;

    /** Moving averages of the priority of each kind; 0 is the most urgent. Averages are used since a route may have a
     * few requests of the other kind. */
    std::optional<double> m_promptPriority;
    std::optional<double> m_answerPriority;
    /** Decays with TIME_CONSTANT; the demand per unit of time is m_prefillMs / TIME_CONSTANT. */
    double m_prefillMs = 0;
    TimePoint m_updatedAt;
    int m_longAnswers = 0;
    WorkloadDemand m_peerDemand;
};

}
