/** \file
 * Counts of running calls by team, and the limit derived from the team share.
 */
#include "teamlimits.h"

#include "errors.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

void TeamLimits::setLimits(double share, int slots)
{
    m_maxRunning = std::max(1, static_cast<int>(std::floor(share * slots)));
}

void TeamLimits::recordStart(const std::string &team)
{
    ++m_running[team];
}

void TeamLimits::recordEnd(const std::string &team)
{
    const auto it = m_running.find(team);
    if (it == m_running.end()) {
        throw InternalError("recorded the end of a call for a team without running calls");
    }
    if (--it->second == 0) {
        m_running.erase(it);
    }
}

bool TeamLimits::hasReachedShare(const std::string &team) const
{
    return running(team) >= m_maxRunning;
}

int TeamLimits::running(const std::string &team) const
{
    const auto it = m_running.find(team);
    return it == m_running.end() ? 0 : it->second;
}

}
