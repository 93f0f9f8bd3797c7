/** \file
 * Bounds this process's part of the retries that the whole fleet may send to a service within a sliding window.
 */
#pragma once

#include "timepoint.h"

#include <deque>
#include <map>
#include <string>

namespace Cyclamenturn
{

struct RetryAllowance
{
    /** Retries allowed for each request of callers in the window. */
    double ratio = 0.2;
    Duration window = milliseconds(10000);
    /** Retries allowed on top, over all processes of the fleet. */
    double fleetSlack = 0;
    /** Share of the allowance that is used; what remains covers requests counted in another window. */
    double usedShare = 0.8;
};

/** Each process keeps to its part by its own traffic, so the parts add up to the fleet's bound without agreement. */
class RetryWindow
{
public:
    explicit RetryWindow(const RetryAllowance &allowance);

    void noteRequest(const std::string &service, TimePoint now);
    /** Takes one retry out of the allowance, or returns false. `processes` shares the slack. */
    bool tryTake(const std::string &service, int processes, TimePoint now);

private:
    struct Counts
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    void expire(Counts &counts, TimePoint now) const;

    RetryAllowance m_allowance;
    std::map<std::string, Counts> m_services;
};

}
