/** \file
 * Corrects estimates of the time to the first event by the recently observed times. Estimates cover only the requests
 * known to this process, and in a large fleet the data about other gateways is seconds old; the observations account
 * for the rest.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

class EstimateCorrection
{
public:
    /** Time constant with which observations decay; bursts begin and end within seconds. */
    static constexpr Duration TIME_CONSTANT = milliseconds(1500);

    void addObservation(double expectedMs, double actualMs, TimePoint now);
    /** Factor to apply to an estimate made now. It tends to 1 as the observations age. */
    double factor(TimePoint now) const;

private:
    /** Both decay with TIME_CONSTANT. */
    double m_expectedMs = 0;
    double m_actualMs = 0;
    TimePoint m_updatedAt;
};

}
