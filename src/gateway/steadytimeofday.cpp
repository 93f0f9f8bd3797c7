/** \file
 * The time of day without the jumps of the VM's clock.
 */
#include "steadytimeofday.h"

#include <algorithm>

namespace Cyclamenturn
{

TimePoint SteadyTimeOfDay::at(TimePoint bootTime, TimePoint timeOfDay)
{
    constexpr int PACE_PART = 100;
    const Duration offset = timeOfDay - bootTime;
    if (!m_offset) {
        m_offset = offset;
    } else {
        const Duration limit = (bootTime - m_updatedAt) / PACE_PART;
        m_offset = *m_offset + std::clamp(offset - *m_offset, -limit, limit);
    }
    m_updatedAt = bootTime;
    return bootTime + *m_offset;
}

}
