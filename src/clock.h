/** \file
 * The one place where the shell reads the time.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

/** The present time by the VM's clock. */
inline TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

/** A time that never jumps, for spans within one process. Its epoch is the VM's own, so it never travels. */
inline TimePoint monotonicTime()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}
