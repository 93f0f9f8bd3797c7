/** \file
 * The steps of a planned stop, so that it cuts off no request: go on serving until the balancer has noticed, then close
 * idle connections and take up nothing that the rest of the grace time can't hold.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>

namespace Cyclamenturn
{

class StopPlan
{
public:
    /** The balancer asks once a second and takes a process out of rotation after two misses. */
    static constexpr Duration BALANCER_DETECTION_TIME = milliseconds(2600);
    /** Left of the grace time for the process to end by itself. */
    static constexpr Duration EXIT_MARGIN = milliseconds(400);

    StopPlan(TimePoint startedAt, Duration grace);

    /** Whether connections without a request are closed, since new ones go elsewhere by now. */
    bool closesIdleConnections(TimePoint now) const;
    /** Whether a request that may last for `longest` can still be taken up. */
    bool accepts(Duration maxDuration, TimePoint now) const;
    bool isOver(std::size_t busyConnections, TimePoint now) const;

private:
    TimePoint m_startedAt;
    Duration m_grace;
};

}
