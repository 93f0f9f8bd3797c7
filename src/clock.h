/** \file
 * The only functions that read a clock. The decision core does not use them; see timepoint.h.
 */
#pragma once

#include "timepoint.h"

#include <ctime>

namespace Cyclamenturn
{

/** The current wall-clock time of this VM. */
inline TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

/**
 * Monotonic time, for durations within one process. Its epoch differs between VMs, so it must not be sent to other
 * processes.
 */
inline TimePoint monotonicTime()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/**
 * Time since the VM was started, which also counts while the VM is frozen. Its epoch differs between VMs, so it must
 * not be sent to other processes.
 */
inline TimePoint bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

}
