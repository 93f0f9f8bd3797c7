/** \file
 * The steps of a planned stop.
 */
#include "stopplan.h"

namespace Cyclamenturn
{

StopPlan::StopPlan(TimePoint began, Duration grace)
    : m_began(began)
    , m_grace(grace)
{
}

bool StopPlan::closesIdle(TimePoint now) const
{
    return now - m_began >= BALANCER_NOTICE;
}

bool StopPlan::accepts(Duration longest, TimePoint now) const
{
    return !closesIdle(now) || now + longest <= m_began + m_grace - MARGIN;
}

bool StopPlan::isOver(std::size_t busyConnections, TimePoint now) const
{
    return now - m_began >= m_grace - MARGIN || (closesIdle(now) && busyConnections == 0);
}

}
