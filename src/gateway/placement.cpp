/** \file
 * Choice of the endpoint for one request.
 */
#include "placement.h"

#include "rendezvoushash.h"

#include <algorithm>
#include <limits>

namespace Cyclamenturn
{

namespace
{

/** The part after which prompts differ: the last but one, since the last belongs to the request itself. */
const PromptPart *subjectPart(const PromptTraits *prompt)
{
    if (prompt == nullptr || prompt->parts.empty()) {
        return nullptr;
    }
    return &prompt->parts[prompt->parts.size() >= 2 ? prompt->parts.size() - 2 : 0];
}

/** The endpoint to which every process sends a subject first, so that its prompt is read only once. */
const EndpointRecord *homeOf(const std::vector<PlacementCandidate> &candidates, const std::set<std::string> &fitting,
    const std::string &subject)
{
    const std::uint64_t seed = contentHash(subject);
    const EndpointRecord *home = nullptr;
    std::uint64_t best = 0;
    for (const auto &candidate : candidates) {
        if (!fitting.empty() && fitting.count(candidate.record->id) == 0) {
            continue;
        }
        const std::uint64_t rank = contentHash(candidate.record->id, seed);
        if (home == nullptr || rank > best) {
            home = candidate.record;
            best = rank;
        }
    }
    return home;
}

std::int64_t sharedTokens(const PromptTraits &prompt)
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        tokens += prompt.parts[i].tokens;
    }
    return tokens;
}

}

PlacementChooser::PlacementChooser(const PlacementPolicy &policy, std::string ownFailureDomain)
    : m_policy(policy)
    , m_ownFailureDomain(std::move(ownFailureDomain))
{
}

Placement PlacementChooser::choose(
    const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt, double draw, TimePoint now)
{
    if (candidates.empty()) {
        return {};
    }
    switch (m_policy.rule) {
    case PlacementRule::RoundRobin:
        return {candidates[m_turn++ % candidates.size()].record, 0, 0, 0, false};
    case PlacementRule::LeastInFlight: {
        const auto least = std::min_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
            return a.standing->inFlight() < b.standing->inFlight();
        });
        return {least->record, 0, 0, 0, false};
    }
    case PlacementRule::PlainHash:
        if (const PromptPart *subject = subjectPart(prompt)) {
            return {homeOf(candidates, {}, subject->id), 0, 0, 0, false};
        }
        return {candidates[m_turn++ % candidates.size()].record, 0, 0, 0, false};
    case PlacementRule::ExpectedTime:
        break;
    }
    if (prompt != nullptr) {
        m_split.note(*prompt, m_policy.engine, now);
    }
    return chooseByTime(candidates, prompt, draw, now);
}

double PlacementChooser::expectedMs(
    const PlacementCandidate &candidate, const PromptTraits *prompt, std::int64_t prefill, TimePoint now) const
{
    const EndpointStanding &standing = *candidate.standing;
    double ms = 0;
    if (prompt != nullptr) {
        const EngineCostModel &engine = m_policy.engine;
        const double ownQueue = static_cast<double>(standing.pendingPrefillTokens()) / engine.prefillTokensPerMs;
        const double reportedQueue = standing.waiting(now) * engine.waitingCostMs;
        ms = engine.firstEventMs + m_policy.prefillWeight * static_cast<double>(prefill) / engine.prefillTokensPerMs
            + std::max(ownQueue, reportedQueue) + standing.load(now) * engine.runningCostMs;
    } else {
        const double slots = std::max(1, candidate.record->slots);
        ms = m_policy.plainWorkMs * (1 + standing.load(now) / slots);
    }
    ms *= 1 + m_policy.slownessWeight * (standing.slowness() - 1);
    ms += standing.failureShare(now) * m_policy.failureCostMs;
    if (candidate.record->failureDomain != m_ownFailureDomain) {
        ms += m_policy.crossDomainCostMs;
    }
    return ms;
}

std::set<std::string> PlacementChooser::endpointsForWorkload(
    const std::vector<PlacementCandidate> &candidates, const PromptTraits &prompt) const
{
    // Every process ranks the endpoints alike, so that all agree on who serves what.
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &candidate : candidates) {
        ranked.emplace_back(contentHash(candidate.record->id), candidate.record->id);
    }
    std::sort(ranked.begin(), ranked.end());
    const auto border = ranked.begin() + static_cast<std::ptrdiff_t>(m_split.longAnswerEndpoints(ranked.size()));
    const bool isLongAnswer = workloadOf(prompt, m_policy.engine) == WorkloadKind::LongAnswer;
    std::set<std::string> out;
    for (auto it = isLongAnswer ? ranked.begin() : border; it != (isLongAnswer ? border : ranked.end()); ++it) {
        out.insert(it->second);
    }
    return out;
}

Placement PlacementChooser::chooseByTime(
    const std::vector<PlacementCandidate> &candidates, const PromptTraits *prompt, double draw, TimePoint now) const
{
    const bool anySound = std::any_of(candidates.begin(), candidates.end(),
        [now](const auto &candidate) { return !candidate.standing->isSuspect(now); });
    const PromptPart *subject = subjectPart(prompt);
    std::set<std::string> fitting;
    if (prompt != nullptr) {
        fitting = endpointsForWorkload(candidates, *prompt);
    }
    const EndpointRecord *home = subject == nullptr ? nullptr : homeOf(candidates, fitting, subject->id);
    Placement best;
    best.expectedMs = std::numeric_limits<double>::max();
    const std::size_t first = static_cast<std::size_t>(draw * static_cast<double>(candidates.size()));
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[(first + i) % candidates.size()];
        if (anySound && candidate.standing->isSuspect(now)) {
            continue;
        }
        std::int64_t prefill = 0;
        if (prompt != nullptr) {
            std::int64_t cached = candidate.standing->cachedTokens(*prompt, now, m_policy.cacheLife);
            if (candidate.record == home) {
                cached = std::max(cached, sharedTokens(*prompt));
            }
            prefill = std::max<std::int64_t>(0, prompt->promptTokens - cached);
        }
        double ms = expectedMs(candidate, prompt, prefill, now);
        if (!fitting.empty() && fitting.count(candidate.record->id) == 0) {
            ms += m_policy.otherWorkloadCostMs;
        }
        if (ms < best.expectedMs) {
            best = {candidate.record, prefill, ms, m_split.longAnswerEndpoints(candidates.size()), candidate.record == home};
        }
    }
    return best;
}

}
