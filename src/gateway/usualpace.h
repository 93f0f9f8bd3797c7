/** \file
 * How long work usually takes on an endpoint's VM in relation to others, from what its responses state.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Cyclamenturn
{

class UsualPace
{
public:
    /** Time constant of the moving average; VMs are slow for seconds at a time. */
    static constexpr Duration TIME_CONSTANT = milliseconds(5000);
    /** Bounds of a stated pace that decisions reckon with. */
    static constexpr double MIN_PACE = 0.25;
    static constexpr double MAX_PACE = 8;

    void note(int pacePercent, TimePoint now);
    /** Empty until a pace was stated. */
    std::optional<double> value() const
    {
        return m_value;
    }
    /** The pace at present: the latest one stated, and the usual one as that ages. Empty until one was stated. */
    std::optional<double> present(TimePoint now) const;

private:
    std::optional<double> m_value;
    double m_latest = 1;
    TimePoint m_notedAt;
};

/** The speed of a VM of that pace, rounded to a power of two, so that gateways with slightly different averages mostly
 * agree. 1 is as usual, 2 is twice as fast. */
double speedClassOf(double usualPace);

}
