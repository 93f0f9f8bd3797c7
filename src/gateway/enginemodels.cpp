/** \file
 * Estimated and configured engine cost models.
 */
#include "enginemodels.h"

#include "peerview.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

namespace
{

/** Ratio of a value to the one last reported from which the change is noticeable. */
constexpr double NOTICEABLE_RATIO = 1.15;

bool differs(double a, double b)
{
    return a > b * NOTICEABLE_RATIO || b > a * NOTICEABLE_RATIO;
}

bool differs(const EngineCostModel &a, const EngineCostModel &b)
{
    return differs(a.prefillTokensPerMs, b.prefillTokensPerMs) || differs(a.firstEventMs, b.firstEventMs)
        || differs(a.tokenMs, b.tokenMs) || differs(a.fullBatchTokenMs, b.fullBatchTokenMs)
        || differs(a.streamsPerEndpoint, b.streamsPerEndpoint);
}

}

EngineModels::EngineModels(const EngineCostModel &configured, EngineEstimatesUse use, const PeerView &peers)
    : m_configured(configured)
    , m_use(use)
    , m_peers(peers)
{
}

EngineModels::Entry &EngineModels::refreshed(const std::string &service, std::optional<int> slots, TimePoint now)
{
    const auto [found, isNew] = m_entries.try_emplace(service);
    Entry &entry = found->second;
    entry.slots = slots.value_or(entry.slots);
    if (isNew) {
        entry.reported = m_configured;
        entry.reportedAt = now - CHANGE_INTERVAL;
    } else if (now - entry.computedAt < REFRESH_INTERVAL) {
        return entry;
    }
    entry.computedAt = now;
    const std::vector<EngineSummary> peers = m_peers.engineSummaries(engineServiceHash(service));
    entry.estimate = m_estimates.estimate(service, {m_configured, entry.slots}, peers, now);
    entry.isInUse = m_use == EngineEstimatesUse::Always || m_estimates.isPaceStated(service, peers, now);
    entry.wasInUse = entry.wasInUse || entry.isInUse;
    // Under load the time between tokens includes prefill for other requests. It decides how many streams an engine
    // can hold, but would make long prompts look like long answers.
    entry.model = entry.estimate.model;
    entry.model.tokenMs = m_configured.tokenMs;
    entry.model.fullBatchTokenMs = m_configured.fullBatchTokenMs;
    entry.model.batchedTokenMs = m_configured.batchedTokenMs;
    entry.model.isLearned = true;
    return entry;
}

const EngineCostModel &EngineModels::model(const std::string &service, int slots, TimePoint now)
{
    if (m_use == EngineEstimatesUse::Never) {
        return m_configured;
    }
    const Entry &entry = refreshed(service, slots, now);
    return entry.isInUse ? entry.model : m_configured;
}

std::vector<EngineSummary> EngineModels::summaries(TimePoint now)
{
    std::vector<EngineSummary> out;
    if (m_use == EngineEstimatesUse::Never) {
        return out;
    }
    for (const std::string &service : m_estimates.services()) {
        const Entry &entry = refreshed(service, std::nullopt, now);
        if (entry.isInUse && entry.estimate.own) {
            out.push_back(*entry.estimate.own);
        }
    }
    std::stable_sort(
        out.begin(), out.end(), [](const auto &a, const auto &b) { return a.totalWeight() > b.totalWeight(); });
    if (out.size() > MAX_SUMMARIES) {
        out.resize(MAX_SUMMARIES);
    }
    return out;
}

std::map<std::string, EngineEstimate> EngineModels::inUse(TimePoint now)
{
    std::map<std::string, EngineEstimate> out;
    if (m_use == EngineEstimatesUse::Never) {
        return out;
    }
    for (auto &[service, entry] : m_entries) {
        refreshed(service, std::nullopt, now);
        if (entry.wasInUse) {
            EngineEstimate &estimate = out[service] = entry.estimate;
            estimate.model = entry.isInUse ? estimate.model : m_configured;
        }
    }
    return out;
}

std::vector<EngineModelChange> EngineModels::takeChanges(TimePoint now)
{
    std::vector<EngineModelChange> out;
    for (auto &[service, entry] : m_entries) {
        const EngineCostModel &model = entry.isInUse ? entry.model : m_configured;
        if (now - entry.reportedAt >= CHANGE_INTERVAL && differs(model, entry.reported)) {
            entry.reported = model;
            entry.reportedAt = now;
            out.push_back({service, entry.estimate});
            out.back().estimate.model = model;
        }
    }
    return out;
}

}
