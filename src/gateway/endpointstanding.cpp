/** \file
 * Standing of one endpoint.
 */
#include "endpointstanding.h"

#include "exponentialdecay.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Answers counted on top of the recent ones, so that one failure alone doesn't condemn an endpoint. */
constexpr double PRIOR_ATTEMPTS = 3;
/** Weight of one new observation of speed. */
constexpr double SPEED_WEIGHT = 0.15;
constexpr double SLOWEST = 20;
constexpr double FASTEST = 0.3;
/** Age at which a report of the others' load has lost half of its weight. */
constexpr Duration REPORT_HALF_LIFE = milliseconds(1500);

}

void EndpointStanding::noteSent(std::int64_t prefillTokens)
{
    ++m_inFlight;
    m_pendingPrefill += prefillTokens;
}

void EndpointStanding::noteFirstEvent(std::int64_t prefillTokens)
{
    m_pendingPrefill = std::max<std::int64_t>(0, m_pendingPrefill - prefillTokens);
}

void EndpointStanding::noteEnded()
{
    m_inFlight = std::max(0, m_inFlight - 1);
    if (m_inFlight == 0) {
        m_pendingPrefill = 0;
    }
}

void EndpointStanding::noteLoad(const EndpointLoad &load, TimePoint now)
{
    m_load = load;
    m_loadAt = now;
    m_inFlightAtLoad = m_inFlight;
}

double EndpointStanding::load(TimePoint now) const
{
    if (!m_load) {
        return m_inFlight;
    }
    const double others = std::max(0, m_load->running + m_load->waiting - m_inFlightAtLoad);
    return m_inFlight + others * decayed(now - m_loadAt, REPORT_HALF_LIFE * 2);
}

void EndpointStanding::fade(TimePoint now)
{
    const double factor = decayed(now - m_fadedAt, RESULT_MEMORY);
    m_attempts *= factor;
    m_failures *= factor;
    m_fadedAt = now;
}

void EndpointStanding::suspect(TimePoint now)
{
    if (isSuspect(now)) {
        return;
    }
    m_suspectUntil = now + m_suspicion;
    m_suspicion = std::min(m_suspicion * 2, LONGEST_SUSPICION);
}

void EndpointStanding::noteResult(EndpointResult result, TimePoint now)
{
    fade(now);
    switch (result) {
    case EndpointResult::Answered:
        m_attempts += 1;
        m_suspicion = FIRST_SUSPICION;
        m_suspectUntil = std::min(m_suspectUntil, now);
        break;
    case EndpointResult::FailureAnswer:
        m_attempts += 1;
        m_failures += 1;
        break;
    case EndpointResult::Full:
        break;
    case EndpointResult::NotConnected:
    case EndpointResult::Broken:
    case EndpointResult::Silent:
        m_attempts += 1;
        m_failures += 1;
        suspect(now);
        break;
    }
}

double EndpointStanding::failureShare(TimePoint now) const
{
    const double factor = decayed(now - m_fadedAt, RESULT_MEMORY);
    return m_failures * factor / (m_attempts * factor + PRIOR_ATTEMPTS);
}

void EndpointStanding::noteSpeed(double actualOverExpected)
{
    const double bounded = std::clamp(actualOverExpected, FASTEST, SLOWEST);
    m_slowness += SPEED_WEIGHT * (bounded - m_slowness);
}

void EndpointStanding::noteCached(const PromptTraits &prompt, TimePoint now)
{
    for (const auto &part : prompt.parts) {
        m_parts[part.id] = now;
    }
    if (m_parts.size() <= MOST_PARTS) {
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

std::int64_t EndpointStanding::cachedTokens(const PromptTraits &prompt, TimePoint now, Duration cacheLife) const
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
