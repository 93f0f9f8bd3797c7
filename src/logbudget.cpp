/** \file
 * Implements the limits on log lines.
 */
#include "logbudget.h"

namespace Cyclamenturn
{

bool LogBudget::allows(bool isFailure, TimePoint now)
{
    if (now - m_windowStart >= WINDOW) {
        m_windowStart = now;
        m_routineLines = 0;
        m_failureLines = 0;
    }
    std::size_t &count = isFailure ? m_failureLines : m_routineLines;
    if (count >= (isFailure ? FAILURE_LINES_PER_SECOND : ROUTINE_LINES_PER_SECOND)) {
        ++m_suppressed;
        return false;
    }
    ++count;
    return true;
}

std::size_t LogBudget::takeSuppressed()
{
    const std::size_t out = m_suppressed;
    m_suppressed = 0;
    return out;
}

}
