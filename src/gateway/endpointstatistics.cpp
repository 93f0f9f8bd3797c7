/** \file
 * Statistics of one endpoint.
 */
#include "endpointstatistics.h"

#include "exponentialdecay.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Successful attempts added to the recent ones, so that a single failure doesn't give a high failure share. */
constexpr double PRIOR_ATTEMPTS = 3;
/** Weight of a new observation in the moving average of slowness. */
constexpr double SLOWNESS_UPDATE_WEIGHT = 0.15;
constexpr double MAX_SLOWNESS = 20;
constexpr double MIN_SLOWNESS = 0.3;
/** How long a report of waiting requests counts; a queue lasts about that long. */
constexpr Duration WAITING_REPORT_LIFE = milliseconds(1500);
/** Half of the time constant with which the reported load of other callers decays. */
constexpr Duration HALF_REPORT_TIME_CONSTANT = milliseconds(1500);

}

void EndpointStatistics::noteSent(std::int64_t prefillTokens)
{
    ++m_inFlight;
    m_pendingPrefill += prefillTokens;
}

void EndpointStatistics::noteFirstEvent(std::int64_t prefillTokens)
{
    m_pendingPrefill = std::max<std::int64_t>(0, m_pendingPrefill - prefillTokens);
}

void EndpointStatistics::noteEnded()
{
    m_inFlight = std::max(0, m_inFlight - 1);
    if (m_inFlight == 0) {
        m_pendingPrefill = 0;
        m_room.clearOwn();
    }
}

void EndpointStatistics::noteLoad(const EndpointLoad &load, TimePoint now)
{
    m_load = load;
    if (load.pacePercent) {
        m_pace.note(*load.pacePercent, now);
    }
    m_loadAt = now;
    m_inFlightAtLoad = m_inFlight;
}

double EndpointStatistics::load(TimePoint now) const
{
    if (!m_load) {
        return m_inFlight;
    }
    const double others = std::max(0, m_load->running + m_load->waiting - m_inFlightAtLoad);
    return m_inFlight + others * decayFactor(now - m_loadAt, HALF_REPORT_TIME_CONSTANT * 2);
}

int EndpointStatistics::reportedWaiting(TimePoint now) const
{
    return m_load && now - m_loadAt <= WAITING_REPORT_LIFE ? m_load->waiting : 0;
}

void EndpointStatistics::applyDecay(TimePoint now)
{
    const double factor = decayFactor(now - m_decayedAt, RESULT_TIME_CONSTANT);
    m_attempts *= factor;
    m_failures *= factor;
    m_decayedAt = now;
}

void EndpointStatistics::suspect(TimePoint now)
{
    if (isSuspect(now)) {
        return;
    }
    m_suspectUntil = now + m_suspicionTime;
    m_suspicionTime = std::min(m_suspicionTime * 2, MAX_SUSPICION_TIME);
}

void EndpointStatistics::noteResult(EndpointResult result, TimePoint now)
{
    applyDecay(now);
    switch (result) {
    case EndpointResult::Succeeded:
        m_attempts += 1;
        m_suspicionTime = INITIAL_SUSPICION_TIME;
        m_suspectUntil = std::min(m_suspectUntil, now);
        break;
    case EndpointResult::FailureResponse:
        m_attempts += 1;
        m_failures += 1;
        break;
    case EndpointResult::NotRun:
        break;
    case EndpointResult::NotConnected:
    case EndpointResult::ConnectionLost:
    case EndpointResult::NoResponse:
    case EndpointResult::Unbounded:
        m_attempts += 1;
        m_failures += 1;
        suspect(now);
        m_keptParts.clear();
        break;
    }
}

double EndpointStatistics::failureShare(TimePoint now) const
{
    const double factor = decayFactor(now - m_decayedAt, RESULT_TIME_CONSTANT);
    return m_failures * factor / (m_attempts * factor + PRIOR_ATTEMPTS);
}

void EndpointStatistics::noteSlowness(double actualOverExpected)
{
    const double bounded = std::clamp(actualOverExpected, MIN_SLOWNESS, MAX_SLOWNESS);
    m_slowness += SLOWNESS_UPDATE_WEIGHT * (bounded - m_slowness);
}

void EndpointStatistics::noteCached(const PromptTraits &prompt, TimePoint now)
{
    for (const auto &part : prompt.parts) {
        m_parts[part.id] = now;
    }
    if (m_parts.size() <= MAX_PROMPT_PARTS) {
        return;
    }
    std::vector<TimePoint> uses;
    uses.reserve(m_parts.size());
    for (const auto &[id, usedAt] : m_parts) {
        uses.push_back(usedAt);
    }
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        it = it->second < *middle ? m_parts.erase(it) : std::next(it);
    }
}

std::int64_t EndpointStatistics::cachedTokens(const PromptTraits &prompt, TimePoint now, Duration cacheLife) const
{
    std::int64_t tokens = 0;
    for (const auto &part : prompt.parts) {
        const auto found = m_parts.find(part.id);
        if (found == m_parts.end() || now - found->second > cacheLife) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

}
