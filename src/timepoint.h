/** \file
 * The time types of the decision core. The core never reads a clock: each function that depends on the current time
 * receives it as an argument, so that tests can simulate hours of operation with faults.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace Cyclamenturn
{

/** A duration in microseconds. */
using Duration = std::chrono::microseconds;

/** Microseconds since the Unix epoch. */
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

/** Converts a count of milliseconds, the unit of settings and messages. */
constexpr Duration milliseconds(std::int64_t count)
{
    return Duration(count * 1000);
}

/** Converts milliseconds since the epoch, the unit of time stamps in messages. Example: `timeFromMilliseconds(0)`. */
constexpr TimePoint timeFromMilliseconds(std::int64_t count)
{
    return TimePoint(milliseconds(count));
}

/** Returns the whole milliseconds since the epoch. */
constexpr std::int64_t toMilliseconds(TimePoint time)
{
    return time.time_since_epoch().count() / 1000;
}

constexpr std::int64_t toMilliseconds(Duration span)
{
    return span.count() / 1000;
}

}
