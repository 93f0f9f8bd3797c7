/** \file
 * Shares of one endpoint's slots by team. Since all work of all entries meets at the agents, a bound at each agent
 * bounds a team's share of the fleet without a central counter.
 */
#pragma once

#include <map>
#include <string>

namespace Cyclamenturn
{

/** Counts the running calls of each team. */
class TeamLimits
{
public:
    void setLimits(double share, int slots);

    void recordStart(const std::string &team);
    void recordEnd(const std::string &team);
    /** True when the team holds its share, so that other waiting teams of its tier go first. */
    bool hasReachedShare(const std::string &team) const;
    int running(const std::string &team) const;

private:
    /** At least 1. */
    int m_maxRunning = 1;
    /** Holds only teams with a running call. */
    std::map<std::string, int> m_running;
};

}
