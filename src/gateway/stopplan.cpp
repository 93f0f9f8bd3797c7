/** \file
 * Timing of a planned stop.
 */
#include "stopplan.h"

namespace Cyclamenturn
{

StopPlan::StopPlan(TimePoint startedAt, Duration grace)
    : m_startedAt(startedAt)
    , m_grace(grace)
{
}

bool StopPlan::closesIdleConnections(TimePoint now) const
{
    return now - m_startedAt >= BALANCER_DETECTION_TIME;
}

bool StopPlan::accepts(Duration maxDuration, bool isRepeatable, TimePoint now) const
{
    return (isRepeatable && !closesIdleConnections(now)) || now + maxDuration <= endOfAnswers();
}

TimePoint StopPlan::endOfAnswers() const
{
    return m_startedAt + m_grace - EXIT_MARGIN - ANSWER_MARGIN;
}

bool StopPlan::isOver(std::size_t unfinishedConnections, TimePoint now) const
{
    return now - m_startedAt >= m_grace - EXIT_MARGIN || (closesIdleConnections(now) && unfinishedConnections == 0);
}

}
