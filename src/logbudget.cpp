/** \file
 * Budget of log lines.
 */
#include "logbudget.h"

namespace Cyclamenturn
{

bool LogBudget::allows(bool isFailure, TimePoint now)
{
    if (now - m_windowBegan >= WINDOW) {
        m_windowBegan = now;
        m_routine = 0;
        m_failures = 0;
    }
    std::size_t &count = isFailure ? m_failures : m_routine;
    if (count >= (isFailure ? FAILURE_LINES : ROUTINE_LINES)) {
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
