/** \file
 * Known limits of endpoints.
 */
#include "knownlimits.h"

namespace Cyclamenturn
{

bool KnownLimits::merge(const EndpointLimit &limit)
{
    const auto known = m_limits.find(limit.endpoint);
    if (known == m_limits.end()) {
        if (!limit.perSecond || m_limits.size() >= MAX_ENDPOINTS) {
            return false;
        }
        m_limits.emplace(limit.endpoint, limit);
        ++m_limitedCount;
        return true;
    }
    if (limit.at <= known->second.at) {
        return false;
    }
    const bool isChanged = known->second.perSecond != limit.perSecond;
    m_limitedCount += (limit.perSecond ? 1 : 0) - (known->second.perSecond ? 1 : 0);
    known->second = limit;
    return isChanged;
}

const EndpointLimit *KnownLimits::find(const std::string &endpoint) const
{
    const EndpointLimit *found = latest(endpoint);
    return found != nullptr && found->perSecond ? found : nullptr;
}

const EndpointLimit *KnownLimits::latest(const std::string &endpoint) const
{
    const auto found = m_limits.find(endpoint);
    return found == m_limits.end() ? nullptr : &found->second;
}

void KnownLimits::remove(const std::string &endpoint)
{
    m_limitedCount -= find(endpoint) != nullptr ? 1 : 0;
    m_limits.erase(endpoint);
}

void KnownLimits::expire(TimePoint now)
{
    for (auto it = m_limits.begin(); it != m_limits.end();) {
        const bool isOutdated = !it->second.perSecond && now - it->second.at >= ENDED_RETENTION;
        it = isOutdated ? m_limits.erase(it) : std::next(it);
    }
}

}
