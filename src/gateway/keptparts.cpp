/** \file
 * The presumed content of one engine's cache.
 */
#include "keptparts.h"

#include "exponentialdecay.h"

#include <algorithm>
#include <vector>

namespace Cyclamenturn
{

namespace
{

constexpr double MICROSECONDS_PER_MS = 1000;

/** The number of parts that a prompt shares with others. A single part is taken as shared. */
std::size_t sharedParts(const PromptTraits &prompt)
{
    return prompt.parts.size() >= 2 ? prompt.parts.size() - 1 : prompt.parts.size();
}

}

std::int64_t sharedTokens(const PromptTraits &prompt)
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        tokens += prompt.parts[i].tokens;
    }
    return tokens;
}

double KeptParts::added(double otherRequests, TimePoint now) const
{
    if (m_ownMs <= 0) {
        return m_added;
    }
    const double elapsedMs = static_cast<double>((now - m_updatedAt).count()) / MICROSECONDS_PER_MS;
    return m_added + m_ownTokens / m_ownMs * otherRequests * std::max(0.0, elapsedMs);
}

void KeptParts::noteUse(const PromptTraits &prompt, const CacheUse &use, double otherRequests, TimePoint now)
{
    m_added = added(otherRequests, now) + use.addedTokens;
    const double factor = decayFactor(now - m_updatedAt, RATE_TIME_CONSTANT);
    m_ownTokens = m_ownTokens * factor + use.addedTokens;
    m_ownMs = m_ownMs * factor + use.durationMs;
    m_updatedAt = now;
    std::int64_t depth = 0;
    for (std::size_t i = 0; i < sharedParts(prompt); ++i) {
        depth += prompt.parts[i].tokens;
        m_parts[prompt.parts[i].id] = {prompt.parts[i].tokens, depth, m_added, now};
    }
    if (m_parts.size() > MAX_PARTS) {
        removeLeastRecentlyUsed();
    }
}

void KeptParts::removeLeastRecentlyUsed()
{
    const auto lowest = [](const Part &part) {
        return part.addedAtUse - static_cast<double>(part.depth);
    };
    std::vector<double> positions;
    positions.reserve(m_parts.size());
    for (const auto &[id, part] : m_parts) {
        positions.push_back(lowest(part));
    }
    // Half of the parts are removed at once, so that this is rarely done.
    const auto middle = positions.begin() + static_cast<std::ptrdiff_t>(positions.size() / 2);
    std::nth_element(positions.begin(), middle, positions.end());
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        it = lowest(it->second) <= *middle ? m_parts.erase(it) : std::next(it);
    }
}

void KeptParts::clear()
{
    m_parts.clear();
}

std::int64_t KeptParts::cachedTokens(const PromptTraits &prompt, const CacheConditions &conditions, TimePoint now) const
{
    const double addedNow = added(conditions.otherRequests, now);
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < sharedParts(prompt); ++i) {
        const PromptPart &part = prompt.parts[i];
        const auto found = m_parts.find(part.id);
        double depth = static_cast<double>(tokens + part.tokens);
        if (found != m_parts.end()) {
            depth = static_cast<double>(found->second.depth)
                + (addedNow - found->second.addedAtUse) / std::max(1.0, conditions.users);
        }
        const bool isTooOld = found != m_parts.end() && now - found->second.usedAt > conditions.longestLife;
        const bool isKnown = found != m_parts.end() || (conditions.isHomeEndpoint && prompt.parts.size() >= 2);
        if (!isKnown || (isTooOld && !conditions.isHomeEndpoint) || depth > conditions.freeTokens) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

}
