/** \file
 * Implementation of the placement rules.
 */
#include "placement.h"

#include "endpointoutlook.h"
#include "rendezvoushash.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Cyclamenturn
{

namespace
{

/** The last part that a prompt shares with others: the second to last, since the last belongs to the request itself. A
 * single part is returned as it is. */
const PromptPart *lastSharedPart(const PromptTraits *prompt)
{
    if (prompt == nullptr || prompt->parts.empty()) {
        return nullptr;
    }
    return &prompt->parts[prompt->parts.size() >= 2 ? prompt->parts.size() - 2 : 0];
}

/** The endpoint that all gateways prefer for a shared part, chosen by rendezvous hashing weighted by the speed of the
 * VMs, so that the part is processed by one engine only. Unless `matching` is empty, only endpoints with these ids are
 * considered. */
const EndpointRecord *homeEndpoint(const std::vector<PlacementCandidate> &candidates,
    const std::set<std::string> &matching, const std::string &sharedPart)
{
    const std::uint64_t seed = contentHash(sharedPart);
    const EndpointRecord *home = nullptr;
    double best = 0;
    for (const auto &candidate : candidates) {
        if (!matching.empty() && matching.count(candidate.record->id) == 0) {
            continue;
        }
        const double rank = weightedRank(contentHash(candidate.record->id, seed), speedClassOf(usualPaceOf(candidate)));
        if (home == nullptr || rank > best) {
            home = candidate.record;
            best = rank;
        }
    }
    return home;
}

}

PlacementChooser::PlacementChooser(const PlacementPolicy &policy, std::string ownFailureDomain)
    : m_policy(policy)
    , m_ownFailureDomain(std::move(ownFailureDomain))
{
}

Placement PlacementChooser::choose(const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt,
    const EngineCostModel &engine, double draw, TimePoint now, Duration objective)
{
    if (candidates.empty()) {
        return {};
    }
    switch (m_policy.rule) {
    case PlacementRule::RoundRobin:
        return {candidates[m_nextIndex++ % candidates.size()].record, 0, 0, 0, 0, false, false};
    case PlacementRule::LeastInFlight: {
        const auto least = std::min_element(candidates.begin(), candidates.end(),
            [](const auto &a, const auto &b) { return a.statistics->inFlight() < b.statistics->inFlight(); });
        return {least->record, 0, 0, 0, 0, false, false};
    }
    case PlacementRule::PlainHash:
        if (const PromptPart *sharedPart = lastSharedPart(prompt)) {
            return {homeEndpoint(candidates, {}, sharedPart->id), 0, 0, 0, 0, false, false};
        }
        return {candidates[m_nextIndex++ % candidates.size()].record, 0, 0, 0, 0, false, false};
    case PlacementRule::ExpectedTime:
        break;
    }
    return chooseByTime(candidates, prompt, engine, draw, now, objective);
}

double PlacementChooser::expectedMs(const PlacementCandidate &candidate, const PromptTraits *prompt,
    const EngineCostModel &engine, std::int64_t prefill, TimePoint now) const
{
    const EndpointStatistics &statistics = *candidate.statistics;
    if (prompt == nullptr) {
        const double slots = std::max(1, candidate.record->slots);
        return m_policy.plainWorkMs * (1 + requestsAt(candidate, now) / slots) * paceOf(candidate, now);
    }
    const auto pendingTokens
        = static_cast<double>(statistics.pendingPrefillTokens() + candidate.peers.pendingPrefillTokens + prefill);
    const double engineMs = engine.firstEventMs + pendingTokens / engine.prefillTokensPerMs * engine.prefillDilation
        + slotWaitMs(candidate, *prompt, engine, now);
    return engineMs * paceOf(candidate, now);
}

double PlacementChooser::slotWaitMs(
    const PlacementCandidate &candidate, const PromptTraits &prompt, const EngineCostModel &engine, TimePoint now) const
{
    const double slots = std::max(1, candidate.record->slots);
    const double waiting = std::max(0.0, requestsAt(candidate, now) + 1 - slots);
    return waiting / slots * expectedOutputTokens(prompt) * engine.fullBatchTokenMs;
}

double PlacementChooser::costOf(const PlacementCandidate &candidate, const PromptTraits *prompt,
    const EngineCostModel &engine, std::int64_t prefill, TimePoint now) const
{
    const EndpointStatistics &statistics = *candidate.statistics;
    double cost = expectedMs(candidate, prompt, engine, prefill, now);
    if (prompt != nullptr) {
        cost += (m_policy.prefillWeight - 1) * static_cast<double>(prefill) / engine.prefillTokensPerMs;
        cost += requestsAt(candidate, now) * engine.runningCostMs;
    }
    cost *= 1 + m_policy.slownessWeight * (statistics.slowness() - 1);
    cost += statistics.failureShare(now) * m_policy.failureCostMs;
    return withPlaceCost(cost, candidate);
}

double PlacementChooser::withPlaceCost(double cost, const PlacementCandidate &candidate) const
{
    cost += candidate.record->isVersionKnown ? 0 : m_policy.unknownVersionCostMs;
    return candidate.record->failureDomain == m_ownFailureDomain ? cost : cost + m_policy.crossDomainCostMs;
}

std::set<std::string> PlacementChooser::endpointsForWorkload(const std::vector<PlacementCandidate> &candidates,
    const PromptTraits &prompt, const EngineCostModel &engine, TimePoint now) const
{
    // All processes rank the endpoints in the same order, so that they agree on the assignment.
    // Fast VMs come last, since prefill benefits most from them. Slower ones aren't told apart, as their paces vary too
    // much for all processes to agree.
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    ranked.reserve(candidates.size());
    std::vector<double> speeds;
    for (const auto &candidate : candidates) {
        const double speed = speedClassOf(usualPaceOf(candidate));
        ranked.emplace_back(speed > 1, contentHash(candidate.record->id), candidate.record->id);
        speeds.push_back(speed);
    }
    std::sort(ranked.begin(), ranked.end());
    const auto boundary
        = ranked.begin() + static_cast<std::ptrdiff_t>(m_split.longAnswerEndpoints(std::move(speeds), engine, now));
    const bool isLongAnswer = workloadOf(prompt, engine) == WorkloadKind::LongAnswer;
    std::set<std::string> out;
    for (auto it = isLongAnswer ? ranked.begin() : boundary; it != (isLongAnswer ? boundary : ranked.end()); ++it) {
        out.insert(std::get<std::string>(*it));
    }
    return out;
}

Placement PlacementChooser::chooseByTime(const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt,
    const EngineCostModel &engine, double draw, TimePoint now, Duration objective) const
{
    const bool anyHealthy = std::any_of(candidates.begin(), candidates.end(),
        [now](const auto &candidate) { return !candidate.statistics->isSuspect(now); });
    const PromptPart *sharedPart = lastSharedPart(prompt);
    std::set<std::string> matching;
    std::size_t longAnswerEndpoints = 0;
    if (prompt != nullptr) {
        matching = endpointsForWorkload(candidates, *prompt, engine, now);
        longAnswerEndpoints = workloadOf(*prompt, engine) == WorkloadKind::LongAnswer
            ? matching.size()
            : candidates.size() - matching.size();
    }
    const EndpointRecord *home = sharedPart == nullptr ? nullptr : homeEndpoint(candidates, matching, sharedPart->id);
    const bool isValued = prompt != nullptr && engine.isLearned;
    const double backlog = isValued ? meanBacklog(candidates, matching, *prompt) : 0;
    Placement best;
    best.cost = std::numeric_limits<double>::max();
    const std::size_t first = static_cast<std::size_t>(draw * static_cast<double>(candidates.size()));
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[(first + i) % candidates.size()];
        if (anyHealthy && candidate.statistics->isSuspect(now)) {
            continue;
        }
        std::int64_t prefill = 0;
        PromptValue value;
        double pace = 1;
        if (isValued) {
            const EndpointOutlook outlook
                = outlookFor(candidate, *prompt, candidate.record == home, m_policy.cacheLife, now);
            value = promptValue({*prompt, engine, objective, backlog}, outlook);
            prefill = std::max<std::int64_t>(0, prompt->promptTokens - outlook.cachedTokens);
            pace = outlook.pace;
        } else if (prompt != nullptr) {
            std::int64_t cached = candidate.statistics->cachedTokens(*prompt, now, m_policy.cacheLife);
            if (candidate.record == home) {
                cached = std::max(cached, sharedTokens(*prompt));
            }
            prefill = std::max<std::int64_t>(0, prompt->promptTokens - cached);
        }
        double cost = isValued
            ? withPlaceCost(value.costMs() + requestsAt(candidate, now) * engine.runningCostMs, candidate)
            : costOf(candidate, prompt, engine, prefill, now);
        if (!matching.empty() && matching.count(candidate.record->id) == 0) {
            cost += m_policy.otherWorkloadCostMs;
        }
        if (cost < best.cost) {
            best = {candidate.record, prefill,
                isValued ? value.firstEventMs : expectedMs(candidate, prompt, engine, prefill, now), cost,
                longAnswerEndpoints, candidate.record == home, false, value.savedMs, value.waitMs,
                isValued ? expectedOutputTokens(*prompt) * engine.tokenMs * pace : 0, value.processingMs};
        }
    }
    best.isLongPrompt = prompt != nullptr && workloadOf(*prompt, engine) == WorkloadKind::LongPrompt;
    return best;
}

}
