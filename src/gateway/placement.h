/** \file
 * Chooses the endpoint for one request. Many requests share long prompt prefixes, and an endpoint that has the prefix
 * cached saves its prefill; it is preferred until waiting there costs more than a second prefill elsewhere.
 */
#pragma once

#include "endpointdirectory.h"
#include "endpointstatistics.h"
#include "enginecostmodel.h"
#include "engineestimatesuse.h"
#include "peerview.h"
#include "workloadsplit.h"

#include <set>
#include <string>
#include <vector>

namespace Cyclamenturn
{

enum class PlacementRule {
    /** Lowest cost, computed from the expected time, cached prompt parts, speed and failures. */
    ExpectedTime,
    /** This rule and those below are baselines for measurements. */
    RoundRobin,
    LeastInFlight,
    PlainHash,
};

struct PlacementPolicy
{
    PlacementRule rule = PlacementRule::ExpectedTime;
    EngineCostModel engine;
    EngineEstimatesUse engineEstimates = EngineEstimatesUse::Stated;
    /** Expected processing time of one request at an endpoint of a plain service, which has no model engine. */
    double plainWorkMs = 20;
    /** Cost of an attempt that is certain to fail; it weighs failing endpoints against busy ones. */
    double failureCostMs = 600;
    /** Weight of prefill time in the cost. Prefill also delays all other requests at the endpoint. */
    double prefillWeight = 40;
    /** Weight of an endpoint's measured slowness; 0 ignores it. */
    double slownessWeight = 0;
    /** Cost of an endpoint whose version isn't known yet: a stream that breaks off there can't go on until it is. */
    double unknownVersionCostMs = 600;
    /** Cost of an endpoint in another failure domain. Links between domains are slower and more expensive. */
    double crossDomainCostMs = 3;
    /** Cost of an endpoint that is assigned to the other kind of workload; see WorkloadSplit. */
    double otherWorkloadCostMs = 3000;
    /** How long parts of prompts are assumed to stay in an engine's KV cache. */
    Duration cacheLife = milliseconds(60000);
};

struct PlacementCandidate
{
    const EndpointRecord *record;
    const EndpointStatistics *statistics;
    /** Requests that the other gateways have at the endpoint. */
    PeerLoad peers;
    /** Memory of the endpoint's engine in tokens; 0 if not known. */
    std::int64_t memoryTokens = 0;
    /** Number of live gateways, with this one. */
    double gateways = 1;
};

struct Placement
{
    /** Null when there is no candidate. */
    const EndpointRecord *endpoint = nullptr;
    /** Tokens that the engine is expected to prefill. */
    std::int64_t prefillTokens = 0;
    /** Estimated time to the first event, or to the response of a plain service. */
    double expectedMs = 0;
    /** The value by which the endpoints were compared. */
    double cost = 0;
    /** Number of endpoints that were assigned to long answers at the time of the choice. */
    std::size_t longAnswerEndpoints = 0;
    /** Whether this is the home endpoint, which all gateways prefer for the prompt's shared part. */
    bool isHomeEndpoint = false;
    /** Whether the request counts as WorkloadKind::LongPrompt. */
    bool isLongPrompt = false;
    /** Both are 0 unless engine speeds were learned; see PromptValue. */
    double savedMs = 0;
    double waitMs = 0;
    /** Expected time from the first event to the end; 0 unless engine speeds were learned. */
    double outputMs = 0;
    /** See PromptValue; 0 unless engine speeds were learned. */
    double processingMs = 0;
};

class PlacementChooser
{
public:
    PlacementChooser(const PlacementPolicy &policy, std::string ownFailureDomain);

    /** `engine` describes the engines of the candidates' service. `draw` is a random number, uniform in [0, 1), that
     * breaks ties. A first event after `objective` is late; 0 if there is none. Suspect endpoints are skipped while
     * others remain. */
    Placement choose(const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt,
        const EngineCostModel &engine, double draw, TimePoint now, Duration objective = {});
    /** The same with the engines of the settings. */
    Placement choose(
        const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt, double draw, TimePoint now)
    {
        return choose(candidates, prompt, m_policy.engine, draw, now);
    }

    void noteStarted(const PromptTraits &prompt, int priority, const EngineCostModel &engine, TimePoint now)
    {
        m_split.noteStarted(prompt, priority, engine, now);
    }
    /** `kind` is the workload kind that the request had when it started. */
    void noteEnded(WorkloadKind kind)
    {
        m_split.noteEnded(kind);
    }
    const PlacementPolicy &policy() const
    {
        return m_policy;
    }
    WorkloadSplit &split()
    {
        return m_split;
    }

private:
    Placement chooseByTime(const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt,
        const EngineCostModel &engine, double draw, TimePoint now, Duration objective) const;
    double expectedMs(const PlacementCandidate &candidate, const PromptTraits *prompt, const EngineCostModel &engine,
        std::int64_t prefill, TimePoint now) const;
    /** Expected wait for a free slot; 0 while a slot is free. */
    double slotWaitMs(const PlacementCandidate &candidate, const PromptTraits &prompt, const EngineCostModel &engine,
        TimePoint now) const;
    double costOf(const PlacementCandidate &candidate, const PromptTraits *prompt, const EngineCostModel &engine,
        std::int64_t prefill, TimePoint now) const;
    /** Adds the cost of an unknown version and of another failure domain. */
    double withPlaceCost(double cost, const PlacementCandidate &candidate) const;
    /** The ids of the candidates that are assigned to the workload kind of `prompt`. */
    std::set<std::string> endpointsForWorkload(const std::vector<PlacementCandidate> &candidates,
        const PromptTraits &prompt, const EngineCostModel &engine, TimePoint now) const;

    PlacementPolicy m_policy;
    std::string m_ownFailureDomain;
    std::size_t m_nextIndex = 0;
    WorkloadSplit m_split;
};

}
