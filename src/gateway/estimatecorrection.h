/** \file
 * Learns by how much first events come later than estimated. Estimates know only the requests of which this process was
 * told, and in a large fleet that news is seconds old; what callers just saw makes up for the rest.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

class EstimateCorrection
{
public:
    /** Time constant of what is remembered; a burst begins and ends within seconds. */
    static constexpr Duration TIME_CONSTANT = milliseconds(1500);

    void addObservation(double expectedMs, double actualMs, TimePoint now);
    /** Factor for estimates made now; tends to 1 as the observations age. */
    double factor(TimePoint now) const;

private:
    /** Both fade with MEMORY. */
    double m_expectedMs = 0;
    double m_actualMs = 0;
    TimePoint m_updatedAt;
};

}
