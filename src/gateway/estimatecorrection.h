/** \file
 * Corrects estimates of the time to the first event by the recently observed times. Estimates cover only the requests
 * known to this process, and in a large fleet the data about other gateways is seconds old; the observations account
 * for the rest. Engines start the most urgent requests first, so in a burst of less urgent prompts only the less urgent
 * ones wait long: each priority level has its own correction.
 */
#pragma once

#include "engineprioritylevels.h"
#include "timepoint.h"

#include <array>

namespace Cyclamenturn
{

class EstimateCorrection
{
public:
    /** Time constant with which observations decay; bursts begin and end within seconds. */
    static constexpr Duration TIME_CONSTANT = milliseconds(1500);

    /** `level` is the priority level that the engine was given, from 0 to ENGINE_PRIORITY_LEVELS - 1. */
    void addObservation(int level, double expectedMs, double actualMs, TimePoint now);
    /** Factor to apply to an estimate made now for a request of that level. It tends to 1 as the observations age. */
    double factor(int level, TimePoint now) const;

private:
    /** Both sums decay with TIME_CONSTANT. */
    struct Observations
    {
        double expectedMs = 0;
        double actualMs = 0;
        TimePoint updatedAt;
    };
    std::array<Observations, ENGINE_PRIORITY_LEVELS> m_levels;
};

}
