/** \file
 * Plans a stop that leaves no request without an answer. The process continues to serve until the load balancer has
 * detected the stop; then it closes idle connections and rejects requests that could last longer than the rest of the
 * grace time. Requests that can't be sent again are rejected for that from the beginning of the stop on.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>

namespace Cyclamenturn
{

class StopPlan
{
public:
    /** The load balancer checks once per second and takes a process out of rotation after two failed checks. */
    static constexpr Duration BALANCER_DETECTION_TIME = milliseconds(2600);
    /** Part of the grace time that is reserved for the process to exit. */
    static constexpr Duration EXIT_MARGIN = milliseconds(400);
    /** Time before that in which the last answers reach their callers. */
    static constexpr Duration ANSWER_MARGIN = milliseconds(200);

    StopPlan(TimePoint startedAt, Duration grace);

    /** Whether idle connections are closed, since the load balancer directs new ones to other processes by now. */
    bool closesIdleConnections(TimePoint now) const;
    /** Whether to accept a request that may last for up to `maxDuration`, and may be sent again if `isRepeatable`. */
    bool accepts(Duration maxDuration, bool isRepeatable, TimePoint now) const;
    /** When requests that are still in progress are answered that they have failed. */
    TimePoint endOfAnswers() const;
    /** `unfinishedConnections` have a request in progress or a response that isn't sent completely. */
    bool isOver(std::size_t unfinishedConnections, TimePoint now) const;

private:
    TimePoint m_startedAt;
    Duration m_grace;
};

}
