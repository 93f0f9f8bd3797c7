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

void EstimateCorrection::addObservation(int level, double expectedMs, double actualMs, TimePoint now)
{
    Observations &observations = m_levels.at(static_cast<std::size_t>(level));
    const double decay = decayFactor(now - observations.updatedAt, TIME_CONSTANT);
    observations.expectedMs = observations.expectedMs * decay + expectedMs;
    observations.actualMs = observations.actualMs * decay + actualMs;
    observations.updatedAt = now;
}

double EstimateCorrection::factor(int level, TimePoint now) const
{
    const Observations &observations = m_levels.at(static_cast<std::size_t>(level));
    const double decay = decayFactor(now - observations.updatedAt, TIME_CONSTANT);
    return std::clamp((observations.actualMs * decay + PRIOR_MS) / (observations.expectedMs * decay + PRIOR_MS),
        MIN_FACTOR, MAX_FACTOR);
}

}
