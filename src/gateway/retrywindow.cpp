/** \file
 * Sliding-window limit on retries.
 */
#include "retrywindow.h"

#include <algorithm>

namespace Cyclamenturn
{

RetryWindow::RetryWindow(const RetryBudgetSettings &settings)
    : m_settings(settings)
{
}

void RetryWindow::expire(Counts &counts, TimePoint now) const
{
    for (auto *times : {&counts.requests, &counts.retries}) {
        while (!times->empty() && times->front() + m_settings.window <= now) {
            times->pop_front();
        }
    }
}

void RetryWindow::noteRequest(const std::string &service, TimePoint now)
{
    Counts &counts = m_services[service];
    expire(counts, now);
    counts.requests.push_back(now);
}

bool RetryWindow::tryTake(const std::string &service, int processes, TimePoint now)
{
    Counts &counts = m_services[service];
    expire(counts, now);
    const double allowed = m_settings.usedShare
        * (m_settings.ratio * static_cast<double>(counts.requests.size())
            + m_settings.fleetSlack / std::max(1, processes));
    if (static_cast<double>(counts.retries.size()) + 1 > allowed) {
        return false;
    }
    counts.retries.push_back(now);
    return true;
}

}
