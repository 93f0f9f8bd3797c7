/** \file
 * The requests that this gateway has counted, by window and team.
 *
 * Windows follow the VM's time of day, which may jump; how long they are kept follows the monotonic clock. A count is
 * never moved or removed before its time, and never put into a window whose counts were stated to be final.
 */
#pragma once

#include "usagecounts.h"

#include "timepoint.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** The window, of this length, to which a time of day belongs. */
std::int64_t usageWindowAt(TimePoint timeOfDay, Duration length);

class UsageWindows
{
public:
    /** Windows whose counts are kept. Older ones are no longer asked for. */
    static constexpr int WINDOWS_KEPT = 8;
    /** Limit on the windows, which only repeated jumps of the clock reach. Counts then go into the last one used. */
    static constexpr std::size_t MAX_WINDOWS = 32;

    explicit UsageWindows(Duration length);

    /** Counts a request that began to run. `now` is the monotonic time. */
    void count(const std::string &team, TimePoint timeOfDay, TimePoint now);
    /** Whether the window is over by the time of day. */
    bool isOver(std::int64_t window, TimePoint timeOfDay) const;
    /** Makes the counts of this window and of those before it final. */
    void close(std::int64_t window);

    UsageCounts counts(std::int64_t window) const;
    /** Number of requests counted so far. */
    std::uint64_t version() const
    {
        return m_version;
    }
    /** The counts of the teams that were counted in the window after the version `since`. */
    UsageCounts changes(std::int64_t window, std::uint64_t since) const;
    /** The windows that have counts, in order, or those that were counted in since a monotonic time. */
    std::vector<std::int64_t> windows(TimePoint since = TimePoint::min()) const;
    void expire(TimePoint now);

private:
    struct Entry
    {
        std::uint64_t count = 0;
        /** version() after the last change. */
        std::uint64_t version = 0;
    };
    struct Window
    {
        std::map<std::string, Entry> byTeam;
        std::uint64_t version = 0;
        TimePoint changedAt;
    };

    Duration m_length;
    std::map<std::int64_t, Window> m_windows;
    /** Counts of this window and of those before it are final. */
    std::int64_t m_closedThrough = std::numeric_limits<std::int64_t>::min();
    std::int64_t m_lastUsed = 0;
    std::uint64_t m_version = 0;
};

}
