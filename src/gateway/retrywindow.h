/** \file
 * Limits this process's share of the retries that the whole fleet may send to a service within a sliding window.
 */
#pragma once

#include "timepoint.h"

#include <deque>
#include <map>
#include <string>

namespace Cyclamenturn
{

struct RetryBudgetSettings
{
    /** Retries allowed per caller request in the window. */
    double ratio = 0.2;
    Duration window = milliseconds(10000);
    /** Additional retries allowed in the window, shared by all processes of the fleet. */
    double fleetSlack = 0;
    /** Share of the budget that is used. The rest covers requests that the fleet counts in another window. */
    double usedShare = 0.8;
};

/** Each process limits retries in proportion to its own traffic, so that the sum over all processes stays within the
 * fleet's limit without coordination. */
class RetryWindow
{
public:
    explicit RetryWindow(const RetryBudgetSettings &settings);

    void noteRequest(const std::string &service, TimePoint now);
    /** Takes one retry from the budget; returns false if none is left. fleetSlack is divided by `processes`. */
    bool tryTake(const std::string &service, int processes, TimePoint now);

private:
    struct Counts
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    void expire(Counts &counts, TimePoint now) const;

    RetryBudgetSettings m_settings;
    std::map<std::string, Counts> m_services;
};

}
