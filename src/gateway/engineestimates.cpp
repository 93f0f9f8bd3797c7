/** \file
 * Estimates of the engines' speeds by weighted quantiles.
 */
#include "engineestimates.h"

#include "exponentialdecay.h"
#include "rendezvoushash.h"
#include "streamcapacity.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

namespace
{

constexpr double MICROSECONDS_PER_MS = 1000;
/** Shorter prompts show the fixed time to the first event only. */
constexpr double MIN_LONG_PREFILL = 500;
/** A prompt shows the prefill rate if its prefill takes more than this share of the fixed time. */
constexpr double MIN_PREFILL_SHARE = 0.5;
/** Below the median, since unknown requests of peers only lengthen the time. For long prompts it is higher, since
 * cached parts shorten some of their times. */
constexpr double LONG_PROMPT_QUANTILE = 0.42;
constexpr double SHORT_PROMPT_QUANTILE = 0.25;
constexpr double MEDIAN = 0.5;
/** Weight of observations at which they count as much as the configured value. Most observations have less than 1. */
constexpr double PRIOR_WEIGHT = 1;
/** Differences from the configured value up to these, in logarithms, are mostly errors: those that all observations
 * share, and that of an estimate of weight 1. */
constexpr double COMMON_ERROR = 0.1;
constexpr double SINGLE_ERROR = 0.3;
/** Bounds the influence of a single peer. */
constexpr double MAX_PEER_WEIGHT = 8;
/** Estimates are within the configured value divided and multiplied by this. */
constexpr double MAX_RATIO = 4;
/** Observations that differ from the configured value by a larger factor are ignored. */
constexpr double MAX_OBSERVED_RATIO = 16;
/** How much pending tokens of other requests lower the weight of an observation. */
constexpr double CONTENTION_WEIGHT = 4;
/** Factor for the weight of a request before which others waited. */
constexpr double WAITING_FACTOR = 0.5;
/** The lowest weight of a prompt of which most parts may or may not have been cached. */
constexpr double MIN_CERTAINTY = 0.01;
/** Share of the slots from which a batch counts as full. */
constexpr double FULL_BATCH_SHARE = 0.8;
constexpr int MIN_EVENTS = 4;
/** Long answers of fewer events have too short pauses in sum to show the time between tokens. */
constexpr int MIN_LONG_ANSWER_EVENTS = 10;
/** Bounds of values that have no configured counterpart. */
constexpr double MAX_TOKENS_PER_EVENT = 64;
constexpr double MAX_PREFILL_PER_TOKEN = 1000;
/** Time after which the pace of a VM has little to do with the present one. */
constexpr double PACE_CORRELATION_MS = 150;
constexpr double MIN_PACE = 0.25;
constexpr double MAX_PACE = 8;
/** Weight of the usual pace in the mean of a service, as a number of statements. */
constexpr double PRIOR_PACE_WEIGHT = 1;
/** Weight of the tokens per event from which they are used. */
constexpr double MIN_TOKENS_WEIGHT = 1;
/** Bounds the steps by which rate and fixed time are made consistent. */
constexpr int ITERATIONS = 3;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / MICROSECONDS_PER_MS;
}

bool isPlausible(double value, double configured)
{
    return std::isfinite(value) && value > configured / MAX_OBSERVED_RATIO && value < configured * MAX_OBSERVED_RATIO;
}

double bounded(double value, double configured)
{
    return std::clamp(value, configured / MAX_RATIO, configured * MAX_RATIO);
}

/** Share of the observations in an estimate; the rest is the configured value. It is small for single observations,
 * which may be off by a factor of two. */
double trust(double weight)
{
    return weight * weight / (weight * weight + PRIOR_WEIGHT * PRIOR_WEIGHT);
}

/** The weighted mean, in logarithms, of the configured value and the entry. Small differences are reduced further. */
double withPrior(const EngineSummary::Entry &entry, double configured)
{
    if (entry.weight <= 0 || configured <= 0) {
        return configured;
    }
    const double share = trust(entry.weight);
    const double difference = share * std::log(entry.value / configured);
    const double square = difference * difference;
    const double doubtful = COMMON_ERROR * COMMON_ERROR + SINGLE_ERROR * SINGLE_ERROR / entry.weight;
    const double certain = difference * square / (square + doubtful);
    return bounded(configured * std::exp(certain), configured);
}

/** Ratio of the time of a prefill to that on an engine without other requests. */
double dilation(const EngineCostModel &configured, std::optional<int> others)
{
    const double share = others ? static_cast<double>(*others) / (*others + 1) : 1;
    return 1 + (configured.prefillDilation - 1) * share;
}

void addValue(std::vector<WeightedValue> &values, double value, double weight)
{
    values.push_back({std::log(value), weight});
}

EngineSummary::Entry quantileOf(const std::vector<WeightedValue> &logarithms, double quantile)
{
    const double weight = totalWeight(logarithms);
    return weight <= 0 ? EngineSummary::Entry()
                       : EngineSummary::Entry{std::exp(weightedQuantile(logarithms, quantile)), weight};
}

bool isUsable(const EngineSummary::Entry &entry)
{
    return std::isfinite(entry.value) && entry.value > 0 && entry.weight > 0;
}

std::size_t index(EngineValue value)
{
    return static_cast<std::size_t>(value);
}

template<typename T>
void append(std::deque<T> &observations, const T &observation)
{
    while (!observations.empty()
        && (observations.size() >= EngineEstimates::MAX_OBSERVATIONS
            || observation.at - observations.front().at > EngineEstimates::MAX_AGE)) {
        observations.pop_front();
    }
    observations.push_back(observation);
}

/** The weight of an observation of that time; 0 if it is too old. */
double ageWeight(TimePoint at, TimePoint now)
{
    return now - at > EngineEstimates::MAX_AGE ? 0 : decayFactor(now - at, EngineEstimates::TIME_CONSTANT);
}

}

std::uint32_t engineServiceHash(const std::string &service)
{
    return static_cast<std::uint32_t>(contentHash(service));
}

double EngineEstimates::Observations::meanPace(TimePoint now) const
{
    const double decay = decayFactor(now - paceAt, TIME_CONSTANT);
    return (paceSum * decay + PRIOR_PACE_WEIGHT) / (paceWeight * decay + PRIOR_PACE_WEIGHT);
}

EngineEstimates::Observations *EngineEstimates::observationsOf(const std::string &service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        return &found->second;
    }
    return m_services.size() < MAX_SERVICES ? &m_services[service] : nullptr;
}

double EngineEstimates::paceOver(
    const Observations &observations, const std::optional<EndpointLoad> &load, Duration period, TimePoint now)
{
    const double mean = observations.meanPace(now);
    if (!load || !load->pacePercent) {
        return mean;
    }
    const double stated = std::clamp(*load->pacePercent / 100.0, MIN_PACE, MAX_PACE);
    const double periods = std::max(0.01, toMs(period) / PACE_CORRELATION_MS);
    return mean + (stated - mean) * (1 - std::exp(-periods)) / periods;
}

void EngineEstimates::noteLoad(const std::string &service, const EndpointLoad &load, TimePoint now)
{
    Observations *observations = load.pacePercent ? observationsOf(service) : nullptr;
    if (observations == nullptr) {
        return;
    }
    const double decay = decayFactor(now - observations->paceAt, TIME_CONSTANT);
    observations->paceSum = observations->paceSum * decay + std::clamp(*load.pacePercent / 100.0, MIN_PACE, MAX_PACE);
    observations->paceWeight = observations->paceWeight * decay + 1;
    observations->paceAt = now;
    observations->statedAt = now;
}

bool EngineEstimates::noteFirstEvent(
    const std::string &service, const FirstEventObservation &observation, TimePoint now)
{
    const bool isUsable = observation.took > Duration() && observation.leastTokens > 0
        && observation.mostTokens >= observation.leastTokens && observation.prefillTokens > 0
        && observation.pendingTokens >= 0 && observation.peersPendingTokens >= 0;
    Observations *observations = isUsable ? observationsOf(service) : nullptr;
    if (observations == nullptr) {
        return false;
    }
    FirstEvent event;
    event.at = now;
    event.ms = toMs(observation.took) / paceOver(*observations, observation.load, observation.took, now);
    event.prefillTokens = static_cast<double>(observation.prefillTokens);
    event.pendingTokens = static_cast<double>(observation.pendingTokens);
    event.peersPendingTokens = static_cast<double>(observation.peersPendingTokens);
    const double certainty = static_cast<double>(observation.leastTokens) / static_cast<double>(observation.mostTokens);
    event.weight = std::clamp(certainty * certainty, MIN_CERTAINTY, 1.0);
    if (observation.load) {
        event.others = std::max(0, observation.load->running + observation.load->waiting - 1);
        event.weight *= observation.load->waiting > 0 ? WAITING_FACTOR : 1;
    }
    append(observations->firstEvents, event);
    return true;
}

bool EngineEstimates::noteAnswer(const std::string &service, const AnswerObservation &observation, TimePoint now)
{
    const bool isUsable = observation.took > Duration() && observation.events >= MIN_EVENTS;
    Observations *observations = isUsable ? observationsOf(service) : nullptr;
    if (observations == nullptr) {
        return false;
    }
    Answer answer;
    answer.at = now;
    answer.pauseMs = toMs(observation.took) / (observation.events - 1)
        / paceOver(*observations, observation.load, observation.took, now);
    answer.eventGap = observation.eventGap;
    answer.isLongAnswer = observation.isLongAnswer && observation.events >= MIN_LONG_ANSWER_EVENTS;
    answer.isFullBatch = observation.load && observation.load->slots > 0
        && observation.load->running >= FULL_BATCH_SHARE * observation.load->slots;
    if (observation.expectedTokens && *observation.expectedTokens >= 1) {
        const double perEvent = *observation.expectedTokens / observation.events;
        if (std::isfinite(perEvent) && perEvent <= MAX_TOKENS_PER_EVENT) {
            answer.tokensPerEvent = std::max(1.0, perEvent);
            answer.prefillPerToken
                = std::clamp(static_cast<double>(observation.prefillTokens) / *observation.expectedTokens,
                    1 / MAX_PREFILL_PER_TOKEN, MAX_PREFILL_PER_TOKEN);
        }
    }
    append(observations->answers, answer);
    return true;
}

void EngineEstimates::addPromptValues(Values &values, const Observations &observations,
    const EngineCostModel &configured, const EngineCostModel &engine, TimePoint now)
{
    std::vector<WeightedValue> perToken;
    std::vector<WeightedValue> fixed;
    for (const FirstEvent &event : observations.firstEvents) {
        const double stretch = dilation(configured, event.others);
        const double tokens = event.prefillTokens + event.pendingTokens;
        const double ownMs = event.prefillTokens * stretch / engine.prefillTokensPerMs;
        const double othersMs = (event.pendingTokens + event.peersPendingTokens) * stretch / engine.prefillTokensPerMs;
        const double contention = othersMs / std::max(ownMs, engine.firstEventMs);
        const double weight
            = ageWeight(event.at, now) * event.weight / (1 + CONTENTION_WEIGHT * contention * contention);
        if (event.prefillTokens >= MIN_LONG_PREFILL && ownMs > MIN_PREFILL_SHARE * engine.firstEventMs) {
            const double msPerToken = (event.ms - engine.firstEventMs) / (tokens * stretch);
            if (isPlausible(msPerToken, 1 / configured.prefillTokensPerMs)) {
                addValue(perToken, msPerToken, weight);
            }
            continue;
        }
        const double fixedMs = event.ms - tokens * stretch / engine.prefillTokensPerMs;
        if (isPlausible(fixedMs, configured.firstEventMs)) {
            addValue(fixed, fixedMs, weight);
        }
    }
    EngineSummary::Entry rate = quantileOf(perToken, LONG_PROMPT_QUANTILE);
    rate.value = rate.weight > 0 ? 1 / rate.value : 0;
    values[index(EngineValue::PrefillRate)] = rate;
    values[index(EngineValue::FirstEvent)] = quantileOf(fixed, SHORT_PROMPT_QUANTILE);
}

void EngineEstimates::addAnswerValues(Values &values, const Observations &observations, TimePoint now)
{
    std::vector<WeightedValue> pauses;
    std::vector<WeightedValue> fullBatchPauses;
    std::vector<WeightedValue> tokensPerEvent;
    std::vector<WeightedValue> prefillPerToken;
    for (const Answer &answer : observations.answers) {
        const double weight = ageWeight(answer.at, now);
        if (answer.isLongAnswer && answer.pauseMs > 0) {
            addValue(answer.isFullBatch ? fullBatchPauses : pauses, answer.pauseMs, weight);
        }
        if (answer.tokensPerEvent) {
            addValue(tokensPerEvent, *answer.tokensPerEvent, weight);
        }
        if (answer.isLongAnswer && answer.prefillPerToken) {
            addValue(prefillPerToken, *answer.prefillPerToken, weight);
        }
    }
    values[index(EngineValue::EventPause)] = quantileOf(pauses, MEDIAN);
    values[index(EngineValue::FullBatchEventPause)] = quantileOf(fullBatchPauses, MEDIAN);
    values[index(EngineValue::TokensPerEvent)] = quantileOf(tokensPerEvent, MEDIAN);
    values[index(EngineValue::PrefillPerToken)] = quantileOf(prefillPerToken, MEDIAN);
}

EngineEstimates::Votes EngineEstimates::votesOf(const std::vector<EngineSummary> &peers, TimePoint now)
{
    Votes out;
    for (const EngineSummary &peer : peers) {
        const double decay = ageWeight(peer.madeAt, now);
        for (std::size_t i = 0; i < ENGINE_VALUES; ++i) {
            const EngineSummary::Entry &entry = peer.entries.at(i);
            if (isUsable(entry) && decay > 0) {
                addValue(out.at(i), entry.value, std::min(entry.weight, MAX_PEER_WEIGHT) * decay);
            }
        }
    }
    return out;
}

EngineSummary::Entry EngineEstimates::combine(EngineValue value, const Values &own, const Votes &peers)
{
    std::vector<WeightedValue> logarithms = peers.at(index(value));
    const EngineSummary::Entry &entry = own.at(index(value));
    if (isUsable(entry)) {
        addValue(logarithms, entry.value, entry.weight);
    }
    return quantileOf(logarithms, MEDIAN);
}

std::optional<Duration> EngineEstimates::shortestEventGap(const Observations &observations, TimePoint now)
{
    std::optional<Duration> out;
    for (const Answer &answer : observations.answers) {
        if (answer.isLongAnswer && answer.eventGap && now - answer.at <= MAX_AGE && (!out || *answer.eventGap < *out)) {
            out = answer.eventGap;
        }
    }
    return out;
}

EngineCostModel EngineEstimates::apply(const Values &combined, const EngineUse &use, std::optional<Duration> eventGap)
{
    const EngineCostModel &configured = use.configured;
    EngineCostModel out = configured;
    out.prefillTokensPerMs = withPrior(combined.at(index(EngineValue::PrefillRate)), configured.prefillTokensPerMs);
    out.firstEventMs = withPrior(combined.at(index(EngineValue::FirstEvent)), configured.firstEventMs);
    const EngineSummary::Entry &tokens = combined.at(index(EngineValue::TokensPerEvent));
    EngineSummary::Entry typical = combined.at(index(EngineValue::EventPause));
    EngineSummary::Entry fullBatch = combined.at(index(EngineValue::FullBatchEventPause));
    if (tokens.weight < MIN_TOKENS_WEIGHT || typical.weight + fullBatch.weight <= 0 || configured.tokenMs <= 0
        || configured.fullBatchTokenMs <= 0) {
        return out;
    }
    typical.value /= tokens.value;
    fullBatch.value /= tokens.value;
    const double ratio = configured.fullBatchTokenMs / configured.tokenMs;
    if (typical.weight <= 0) {
        typical = {fullBatch.value / ratio, fullBatch.weight};
    }
    out.tokenMs = withPrior(typical, configured.tokenMs);
    // The configured ratio is the starting point for the full batch.
    const double share = trust(fullBatch.weight);
    const double byRatio = out.tokenMs * ratio;
    const double fullBatchMs
        = fullBatch.weight <= 0 ? byRatio : byRatio * std::exp(share * std::log(fullBatch.value / byRatio));
    out.fullBatchTokenMs = std::max(out.tokenMs, bounded(fullBatchMs, configured.fullBatchTokenMs));
    out.batchedTokenMs = configured.batchedTokenMs * out.tokenMs / configured.tokenMs;
    if (eventGap) {
        const EngineSummary::Entry &prefill = combined.at(index(EngineValue::PrefillPerToken));
        const double streams
            = streamsWithinGap(out, tokens.value, prefill.weight > 0 ? prefill.value : 0, use.slots, *eventGap);
        out.streamsPerEndpoint = bounded(streams, configured.streamsPerEndpoint);
    }
    return out;
}

EngineEstimates::Result EngineEstimates::evaluate(
    const Observations &observations, const EngineUse &use, const std::vector<EngineSummary> &peers, TimePoint now)
{
    Result out;
    out.model = use.configured;
    const std::optional<Duration> eventGap = shortestEventGap(observations, now);
    const Votes votes = votesOf(peers, now);
    addAnswerValues(out.own, observations, now);
    const auto combineValue = [&](EngineValue value) {
        out.combined[index(value)] = combine(value, out.own, votes);
    };
    combineValue(EngineValue::EventPause);
    combineValue(EngineValue::FullBatchEventPause);
    combineValue(EngineValue::TokensPerEvent);
    combineValue(EngineValue::PrefillPerToken);
    // Rate and fixed time are each estimated with the other one given.
    for (int i = 0; i < ITERATIONS; ++i) {
        addPromptValues(out.own, observations, use.configured, out.model, now);
        combineValue(EngineValue::PrefillRate);
        combineValue(EngineValue::FirstEvent);
        out.model = apply(out.combined, use, eventGap);
    }
    return out;
}

bool EngineEstimates::isPaceStated(
    const std::string &service, const std::vector<EngineSummary> &peers, TimePoint now) const
{
    const auto found = m_services.find(service);
    const bool isStatedHere
        = found != m_services.end() && found->second.statedAt && now - *found->second.statedAt < STATED_TIME;
    return isStatedHere
        || std::any_of(peers.begin(), peers.end(), [](const EngineSummary &peer) { return peer.pace.has_value(); });
}

EngineEstimate EngineEstimates::estimate(
    const std::string &service, const EngineUse &use, const std::vector<EngineSummary> &peers, TimePoint now) const
{
    static const Observations NONE;
    const auto found = m_services.find(service);
    const Observations &observations = found == m_services.end() ? NONE : found->second;
    const Result result = evaluate(observations, use, peers, now);
    EngineEstimate out;
    out.model = result.model;
    out.prompts = result.combined.at(index(EngineValue::PrefillRate)).weight;
    out.shortPrompts = result.combined.at(index(EngineValue::FirstEvent)).weight;
    out.answers = result.combined.at(index(EngineValue::EventPause)).weight
        + result.combined.at(index(EngineValue::FullBatchEventPause)).weight;
    double weight = 0;
    double ageSum = 0;
    const auto add = [&](double itemWeight, Duration age) {
        weight += itemWeight;
        ageSum += itemWeight * static_cast<double>(age.count());
    };
    out.own = summarize(service, observations, result.own, now);
    if (out.own) {
        add(out.own->totalWeight(), now - out.own->observedAt);
    }
    for (const EngineSummary &peer : peers) {
        add(peer.totalWeight() * ageWeight(peer.madeAt, now), now - peer.observedAt);
    }
    if (weight > 0) {
        out.age = Duration(static_cast<std::int64_t>(ageSum / weight));
    }
    return out;
}

std::optional<EngineSummary> EngineEstimates::summarize(
    const std::string &service, const Observations &observations, const Values &own, TimePoint now)
{
    EngineSummary out;
    out.service = engineServiceHash(service);
    out.madeAt = now;
    out.entries = own;
    if (observations.statedAt && now - *observations.statedAt < STATED_TIME) {
        out.pace = observations.meanPace(now);
    }
    double weight = 0;
    double ageSum = 0;
    const auto add = [&](TimePoint at) {
        const double itemWeight = ageWeight(at, now);
        weight += itemWeight;
        ageSum += itemWeight * static_cast<double>((now - at).count());
    };
    for (const FirstEvent &event : observations.firstEvents) {
        add(event.at);
    }
    for (const Answer &answer : observations.answers) {
        add(answer.at);
    }
    if (weight <= 0 && !out.pace) {
        return std::nullopt;
    }
    out.observedAt = weight > 0 ? now - Duration(static_cast<std::int64_t>(ageSum / weight)) : now;
    return out;
}

std::vector<std::string> EngineEstimates::services() const
{
    std::vector<std::string> out;
    for (const auto &[service, observations] : m_services) {
        out.push_back(service);
    }
    return out;
}

}
