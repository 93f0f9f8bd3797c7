/** \file
 * Estimates what the engines of each service need for their work, from this gateway's observations and the summaries of
 * its peers.
 */
#pragma once

#include "enginecostmodel.h"
#include "engineobservation.h"
#include "enginesummary.h"
#include "timepoint.h"
#include "weightedquantile.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** What is known of a service's engines and their use without any observation. */
struct EngineUse
{
    /** The starting point, and the center of the bounds of all estimates. */
    EngineCostModel configured;
    /** Requests that one engine runs at the same time. */
    int slots = 1;
};

struct EngineEstimate
{
    EngineCostModel model;
    /** Decayed numbers of observations, of this gateway and its peers. */
    double prompts = 0;
    double shortPrompts = 0;
    double answers = 0;
    /** Mean age of the observations; empty without any. */
    std::optional<Duration> age;
    /** This gateway's own observations, for its peers; empty without any. */
    std::optional<EngineSummary> own;
};

class EngineEstimates
{
public:
    /** Time constant with which observations decay. */
    static constexpr Duration TIME_CONSTANT = milliseconds(4000);
    /** Observations that are older aren't used. */
    static constexpr Duration MAX_AGE = milliseconds(16000);
    /** Observations of one kind that are kept for a service. */
    static constexpr std::size_t MAX_OBSERVATIONS = 96;
    /** How long a service counts as one whose endpoints state their pace. */
    static constexpr Duration STATED_TIME = milliseconds(30000);
    /** Services with observations; more are ignored. */
    static constexpr std::size_t MAX_SERVICES = 64;

    /** Notes the load that an endpoint of the service has stated in a response. */
    void noteLoad(const std::string &service, const EndpointLoad &load, TimePoint now);
    /** Notes an observation unless it is implausible. Returns whether it is used. */
    bool noteFirstEvent(const std::string &service, const FirstEventObservation &observation, TimePoint now);
    bool noteAnswer(const std::string &service, const AnswerObservation &observation, TimePoint now);

    /** Whether an endpoint of the service has stated its pace recently, to this gateway or to a peer. */
    bool isPaceStated(const std::string &service, const std::vector<EngineSummary> &peers, TimePoint now) const;
    /** The estimate for a service. `peers` has the latest summary of each live peer that has one of the service. */
    EngineEstimate estimate(
        const std::string &service, const EngineUse &use, const std::vector<EngineSummary> &peers, TimePoint now) const;
    /** The services with observations, in the order of their names. */
    std::vector<std::string> services() const;

private:
    struct FirstEvent
    {
        TimePoint at;
        /** Corrected by the pace. */
        double ms = 0;
        double prefillTokens = 0;
        double pendingTokens = 0;
        double peersPendingTokens = 0;
        /** Requests running besides this one; empty if unknown. */
        std::optional<int> others;
        /** Before the correction for contention. */
        double weight = 0;
    };
    struct Answer
    {
        TimePoint at;
        /** Between two events, corrected by the pace. */
        double pauseMs = 0;
        std::optional<double> tokensPerEvent;
        std::optional<double> prefillPerToken;
        std::optional<Duration> eventGap;
        bool isLongAnswer = false;
        bool isFullBatch = false;
    };
    /** The oldest are first. */
    struct Observations
    {
        std::deque<FirstEvent> firstEvents;
        std::deque<Answer> answers;
        /** Decayed sums of stated paces. */
        double paceSum = 0;
        double paceWeight = 0;
        TimePoint paceAt;
        std::optional<TimePoint> statedAt;

        double meanPace(TimePoint now) const;
    };
    using Values = std::array<EngineSummary::Entry, ENGINE_VALUES>;

    /** The observations of a service, or null if there are too many services. */
    Observations *observationsOf(const std::string &service);
    /** Mean pace over a period at whose end or beginning the response has stated `load`. */
    static double paceOver(
        const Observations &observations, const std::optional<EndpointLoad> &load, Duration period, TimePoint now);
    static void addPromptValues(Values &values, const Observations &observations, const EngineCostModel &configured,
        const EngineCostModel &engine, TimePoint now);
    static void addAnswerValues(Values &values, const Observations &observations, TimePoint now);
    using Votes = std::array<std::vector<WeightedValue>, ENGINE_VALUES>;
    /** The peers' values as logarithms, with weights as of `now`. */
    static Votes votesOf(const std::vector<EngineSummary> &peers, TimePoint now);
    /** The fleet's value and weight. */
    static EngineSummary::Entry combine(EngineValue value, const Values &own, const Votes &peers);
    /** Applies the values, within bounds, to the configured model. */
    static EngineCostModel apply(const Values &combined, const EngineUse &use, std::optional<Duration> eventGap);
    /** The shortest event gap among the routes of recent long answers. */
    static std::optional<Duration> shortestEventGap(const Observations &observations, TimePoint now);
    /** Values of this gateway and of all gateways, and the model that follows. */
    struct Result
    {
        Values own;
        Values combined;
        EngineCostModel model;
    };
    static Result evaluate(
        const Observations &observations, const EngineUse &use, const std::vector<EngineSummary> &peers, TimePoint now);
    static std::optional<EngineSummary> summarize(
        const std::string &service, const Observations &observations, const Values &own, TimePoint now);

    std::map<std::string, Observations> m_services;
};

}
