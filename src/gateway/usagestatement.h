/** \file
 * What is known of one gateway's counts of a window: its own statement, or a copy kept by a backup.
 */
#pragma once

#include "usagecounts.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

enum class UsageState : std::uint8_t {
    /** Says nothing about the end of the window. */
    Partial,
    /** The window isn't over at the gateway. */
    Open,
    /** The window is over at the gateway, and its counts don't change any more. */
    Final,
    /** The same, as the gateway has stopped. */
    Stopped,
};

struct UsageStatement
{
    /** Name of the gateway that counted. */
    std::string gateway;
    /** The start of its process, in microseconds since 1970. */
    std::uint64_t incarnation = 0;
    UsageState state = UsageState::Partial;
    /** Sum of all counts of the window, of which `counts` may be a part. */
    std::uint64_t total = 0;
    UsageCounts counts;

    bool operator==(const UsageStatement &other) const
    {
        return std::tie(gateway, incarnation, state, total, counts)
            == std::tie(other.gateway, other.incarnation, other.state, other.total, other.counts);
    }
    bool operator!=(const UsageStatement &other) const
    {
        return !(*this == other);
    }
};

/** The number of requests in these counts. */
inline std::uint64_t requestsIn(const UsageCounts &counts)
{
    std::uint64_t out = 0;
    for (const auto &[team, count] : counts.byTeam) {
        out += count;
    }
    return out;
}

}
