/** \file
 * Decides when the requests to one endpoint with a limit may be sent: at the rate of the limit, with short bursts. An
 * instance of the generic cell rate algorithm.
 */
#pragma once

#include "permitdecision.h"

namespace Cyclamenturn
{

class PermitBucket
{
public:
    /** Permits that weren't used stay valid for this time, so that they aren't lost between two requests. */
    static constexpr Duration BURST_TIME = milliseconds(200);
    /** Below this rate (requests per second) nobody would notice that the limit has ended. */
    static constexpr double MIN_RATE = 0.1;

    /** The first permit is free after one interval, since the permits given by a previous owner aren't known. */
    PermitBucket(double perSecond, TimePoint now);

    /**
     * Takes a permit that is free within `maxWait`. A caller that is sent away otherwise, and comes back if that is
     * within `returnsWithin`, is told a time of its own; those who won't come back don't delay the next one.
     */
    PermitDecision take(double perSecond, Duration maxWait, Duration returnsWithin, TimePoint now);

private:
    /** Time between two permits. */
    Duration m_interval;
    /** When the next permit would be due without bursts. */
    TimePoint m_dueAt;
    /** The time that the next caller who is sent away is told. */
    TimePoint m_promisedAt;
};

}
