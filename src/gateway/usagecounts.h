/** \file
 * The requests that began to run in one window of time, by team.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

struct UsageCounts
{
    /** The window begins this many times its length after the start of 1970. */
    std::int64_t window = 0;
    /** By the team's name; teams without requests are left out. */
    std::map<std::string, std::uint64_t> byTeam;

    bool operator==(const UsageCounts &other) const
    {
        return std::tie(window, byTeam) == std::tie(other.window, other.byTeam);
    }
    bool operator!=(const UsageCounts &other) const
    {
        return !(*this == other);
    }
};

}
