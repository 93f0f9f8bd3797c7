/** \file
 * Limits each team's share of the slots of one endpoint. All calls from all entries pass through the agents, so a limit
 * at each agent limits a team's share of the fleet without a central counter.
 */
#pragma once

#include <map>
#include <string>

namespace Cyclamenturn
{

/** Counts the running calls of each team at one endpoint. */
class TeamLimits
{
public:
    /** Lets each team hold `share` of `slots`, rounded down, but at least one slot. */
    void setLimits(double share, int slots);

    void recordStart(const std::string &team);
    void recordEnd(const std::string &team);
    /** True if the team holds its full share, so that waiting calls of other teams in its tier go first. */
    bool hasReachedShare(const std::string &team) const;
    /** Number of running calls of the team. */
    int running(const std::string &team) const;

private:
    /** Running calls at which a team has reached its share; at least 1. */
    int m_maxRunning = 1;
    /** Running calls by team; contains only teams with a running call. */
    std::map<std::string, int> m_running;
};

}
