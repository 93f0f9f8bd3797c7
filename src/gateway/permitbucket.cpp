/** \file
 * Permits of one endpoint.
 */
#include "permitbucket.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

Duration interval(double perSecond)
{
    constexpr double MICROSECONDS_PER_SECOND = 1e6;
    return Duration(static_cast<Duration::rep>(MICROSECONDS_PER_SECOND / std::max(perSecond, PermitBucket::MIN_RATE)));
}

}

PermitBucket::PermitBucket(double perSecond, TimePoint now)
    : m_interval(interval(perSecond))
    , m_dueAt(now + m_interval + BURST_TIME)
{
}

PermitDecision PermitBucket::take(double perSecond, Duration maxWait, Duration returnsWithin, TimePoint now)
{
    if (interval(perSecond) != m_interval) {
        m_interval = interval(perSecond);
        // After a rise of the limit, the next permit isn't later than the new limit allows.
        m_dueAt = std::min(m_dueAt, now + m_interval + BURST_TIME);
        m_promisedAt = std::min(m_promisedAt, m_dueAt);
    }
    const TimePoint freeAt = std::max(now, m_dueAt - BURST_TIME);
    if (freeAt - now <= maxWait) {
        m_dueAt = std::max(m_dueAt, now) + m_interval;
        return PermitGranted{freeAt - now};
    }
    if (returnsWithin == Duration()) {
        return PermitDenied{freeAt - now};
    }
    m_promisedAt = std::max(m_promisedAt, freeAt);
    const Duration retryAfter = m_promisedAt - now;
    if (retryAfter <= returnsWithin) {
        m_promisedAt += m_interval;
    }
    return PermitDenied{retryAfter};
}

}
