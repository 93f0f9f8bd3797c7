/** \file
 * Correction of estimated first events.
 */
#include "estimatecorrection.h"

#include "exponentialdecay.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Weight of the assumption that estimates are right, in milliseconds of estimated time. */
constexpr double PRIOR_MS = 300;
constexpr double LEAST_FACTOR = 0.7;
constexpr double LARGEST_FACTOR = 6;

}

void EstimateCorrection::note(double expectedMs, double actualMs, TimePoint now)
{
    const double factor = decayed(now - m_notedAt, MEMORY);
    m_expected = m_expected * factor + expectedMs;
    m_actual = m_actual * factor + actualMs;
    m_notedAt = now;
}

double EstimateCorrection::factor(TimePoint now) const
{
    const double faded = decayed(now - m_notedAt, MEMORY);
    return std::clamp((m_actual * faded + PRIOR_MS) / (m_expected * faded + PRIOR_MS), LEAST_FACTOR, LARGEST_FACTOR);
}

}
