/** \file
 * Chooses the endpoint for one request. It answers load in which many requests share long prompt heads: an endpoint
 * that has the head cached saves its prefill, until waiting there costs more than reading it again elsewhere.
 */
#pragma once

#include "endpointdirectory.h"
#include "endpointstatistics.h"
#include "peerview.h"
#include "workloadsplit.h"

#include <set>
#include <string>
#include <vector>

namespace Cyclamenturn
{

enum class PlacementRule {
    /** By expected time with cached prompts, waiting, speed and failures. */
    ExpectedTime,
    /** Baselines to measure against. */
    RoundRobin,
    LeastInFlight,
    PlainHash,
};

/** How an engine spends its time. Defaults hold for the engines of the first deployments. */
struct EngineCostModel
{
    double prefillTokensPerMs = 92;
    /** Added to the time of everybody's tokens by one more running request, over the length of a usual answer. */
    double runningCostMs = 1;
    /** Time until a prompt is read over the time of reading alone: engines make tokens for others in between. */
    double prefillDilation = 1.5;
    /** Before a first event even on an idle engine. */
    double firstEventMs = 65;
    /** Time between two tokens of one request in a usual batch. */
    double tokenMs = 4;
    /** Time between two tokens of one request when all slots are taken. */
    double fullBatchTokenMs = 11;
    /** Engine time that one token takes when it shares its step with a usual batch. */
    double batchedTokenMs = 0.2;
    /** Prefill in all, over that of the requests' own parts: shared parts are read again now and then. */
    double rereadFactor = 1.5;
    /** Share of its time that an engine may spend on reading before prompts wait too long. */
    double prefillUtilization = 0.7;
    /** Part of the endpoints that long answers may take before long prompts when there are too few for both and the
     * answers are more urgent. The rest keeps prompts from starving. */
    double urgentShare = 0.75;
    /** Streams that share an engine with short pauses, also while prompts of new ones are read between their tokens. */
    double streamsPerEndpoint = 20;
};

struct PlacementPolicy
{
    PlacementRule rule = PlacementRule::ExpectedTime;
    EngineCostModel engine;
    /** Expected work of one request at a plain endpoint. */
    double plainWorkMs = 20;
    /** Time that one certain failure is taken to cost, to weigh failing endpoints against busy ones. */
    double failureCostMs = 600;
    /** Weight of reading a prompt: it also holds up everybody else at the endpoint. */
    double prefillWeight = 40;
    /** Weight of an endpoint's measured slowness, 0 to leave it out. */
    double slownessWeight = 0;
    /** Price of leaving the own failure domain; its links are slower and dearer. */
    double crossDomainCostMs = 3;
    /** Cost of a request at an endpoint that serves the other workload; see WorkloadSplit. */
    double otherWorkloadCostMs = 3000;
    /** How long parts of prompts are believed to stay in an engine's memory. */
    Duration cacheLife = milliseconds(60000);
};

struct PlacementCandidate
{
    const EndpointRecord *record;
    const EndpointStatistics *statistics;
    /** Requests of the other processes there. */
    PeerLoad peers;
};

struct Placement
{
    /** Null when there is no candidate. */
    const EndpointRecord *endpoint = nullptr;
    /** Tokens that the engine is expected to read. */
    std::int64_t prefillTokens = 0;
    /** Estimate of the time to the first event, or to the answer of a plain endpoint. */
    double expectedMs = 0;
    /** The figure by which endpoints were compared. */
    double cost = 0;
    /** Endpoints that served long answers when the choice was made. */
    std::size_t longAnswerEndpoints = 0;
    /** Whether the endpoint is the one to which the prompt's subject goes first. */
    bool isHome = false;
    /** Whether the request's work is mostly reading. */
    bool isLongPrompt = false;
};

class PlacementChooser
{
public:
    PlacementChooser(const PlacementPolicy &policy, std::string ownFailureDomain);

    /** `draw` is uniform in [0, 1) and breaks ties. Suspect endpoints are left out while others remain. */
    Placement choose(
        const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt, double draw, TimePoint now);

    void noteStarted(const PromptTraits &prompt, int urgency, TimePoint now)
    {
        m_split.noteStarted(prompt, urgency, m_policy.engine, now);
    }
    void noteEnded(const PromptTraits &prompt)
    {
        m_split.noteEnded(prompt, m_policy.engine);
    }
    WorkloadSplit &split()
    {
        return m_split;
    }

private:
    Placement chooseByTime(const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt, double draw,
        TimePoint now) const;
    double expectedMs(
        const PlacementCandidate &candidate, const PromptTraits *prompt, std::int64_t prefill, TimePoint now) const;
    /** Time until a slot of a full engine is free for the request. */
    double slotWaitMs(const PlacementCandidate &candidate, const PromptTraits &prompt, TimePoint now) const;
    double costOf(
        const PlacementCandidate &candidate, const PromptTraits *prompt, std::int64_t prefill, TimePoint now) const;
    /** The ids of the candidates that serve the workload of `prompt`. */
    std::set<std::string> endpointsForWorkload(
        const std::vector<PlacementCandidate> &candidates, const PromptTraits &prompt, TimePoint now) const;

    PlacementPolicy m_policy;
    std::string m_ownFailureDomain;
    std::size_t m_nextIndex = 0;
    WorkloadSplit m_split;
};

}
