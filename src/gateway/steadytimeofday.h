/** \file
 * The time of day without the jumps of the VM's clock.
 */
#pragma once

#include "timepoint.h"

#include <optional>

namespace Cyclamenturn
{

/** Follows the VM's time of day, and departs from the pace of its boot-time clock by at most one percent. */
class SteadyTimeOfDay
{
public:
    /** `bootTime` is a clock that never jumps and counts while the VM is frozen, `timeOfDay` the VM's, both of now. */
    TimePoint at(TimePoint bootTime, TimePoint timeOfDay);

private:
    /** The time of day less the boot time, as it is taken for. */
    std::optional<Duration> m_offset;
    TimePoint m_updatedAt;
};

}
