/** \file
 * Correction of the estimated time to the first event.
 */
#include "estimatecorrection.h"

#include "exponentialdecay.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Weight of the prior assumption that estimates are correct, in milliseconds of estimated time. */
constexpr double PRIOR_MS = 300;
constexpr double MIN_FACTOR = 0.7;
constexpr double MAX_FACTOR = 6;

}

void EstimateCorrection::addObservation(double expectedMs, double actualMs, TimePoint now)
{
    const double factor = decayFactor(now - m_updatedAt, TIME_CONSTANT);
    m_expectedMs = m_expectedMs * factor + expectedMs;
    m_actualMs = m_actualMs * factor + actualMs;
    m_updatedAt = now;
}

double EstimateCorrection::factor(TimePoint now) const
{
    const double decay = decayFactor(now - m_updatedAt, TIME_CONSTANT);
    return std::clamp((m_actualMs * decay + PRIOR_MS) / (m_expectedMs * decay + PRIOR_MS), MIN_FACTOR, MAX_FACTOR);
}

}
