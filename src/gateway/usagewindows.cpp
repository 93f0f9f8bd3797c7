/** \file
 * This gateway's counts by window and team.
 */
#include "usagewindows.h"

#include <algorithm>

namespace Cyclamenturn
{

std::int64_t usageWindowAt(TimePoint timeOfDay, Duration length)
{
    const std::int64_t at = timeOfDay.time_since_epoch().count();
    const std::int64_t quotient = at / length.count();
    return at % length.count() < 0 ? quotient - 1 : quotient;
}

UsageWindows::UsageWindows(Duration length)
    : m_length(length)
{
}

void UsageWindows::count(const std::string &team, TimePoint timeOfDay, TimePoint now)
{
    std::int64_t window = usageWindowAt(timeOfDay, m_length);
    if (window <= m_closedThrough) {
        window = m_closedThrough + 1;
    }
    if (m_windows.size() >= MAX_WINDOWS && m_windows.count(window) == 0 && m_lastUsed > m_closedThrough) {
        window = m_lastUsed;
    }
    m_lastUsed = window;
    Window &counts = m_windows[window];
    Entry &entry = counts.byTeam[team];
    ++entry.count;
    entry.version = ++m_version;
    counts.version = m_version;
    counts.changedAt = now;
}

bool UsageWindows::isOver(std::int64_t window, TimePoint timeOfDay) const
{
    return usageWindowAt(timeOfDay, m_length) > window;
}

void UsageWindows::close(std::int64_t window)
{
    m_closedThrough = std::max(m_closedThrough, window);
}

UsageCounts UsageWindows::counts(std::int64_t window) const
{
    return changes(window, 0);
}

UsageCounts UsageWindows::changes(std::int64_t window, std::uint64_t since) const
{
    UsageCounts out;
    out.window = window;
    const auto found = m_windows.find(window);
    if (found == m_windows.end() || found->second.version <= since) {
        return out;
    }
    for (const auto &[team, entry] : found->second.byTeam) {
        if (entry.version > since) {
            out.byTeam.emplace(team, entry.count);
        }
    }
    return out;
}

std::vector<std::int64_t> UsageWindows::windows(TimePoint since) const
{
    std::vector<std::int64_t> out;
    for (const auto &[window, counts] : m_windows) {
        if (counts.changedAt >= since) {
            out.push_back(window);
        }
    }
    return out;
}

void UsageWindows::expire(TimePoint now)
{
    for (auto it = m_windows.begin(); it != m_windows.end();) {
        const bool isOld = now - it->second.changedAt >= m_length * WINDOWS_KEPT;
        it = isOld ? m_windows.erase(it) : std::next(it);
    }
}

}
