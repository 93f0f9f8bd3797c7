/** \file
 * Bounds the lines that a process logs in a second. Lines about failures have a budget of their own, so that the
 * routine lines of a busy second can't crowd them out; what was left out is counted.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>

namespace Cyclamenturn
{

class LogBudget
{
public:
    /** Several times the requests that one gateway serves in a second at the target size. */
    static constexpr std::size_t ROUTINE_LINES_PER_SECOND = 60;
    static constexpr std::size_t FAILURE_LINES_PER_SECOND = 200;

    /** Whether a line may be written now. */
    bool allows(bool isFailure, TimePoint now);
    /** Lines left out since the last call. */
    std::size_t takeSuppressed();

private:
    static constexpr Duration WINDOW = milliseconds(1000);

    TimePoint m_windowStart;
    std::size_t m_routineLines = 0;
    std::size_t m_failureLines = 0;
    std::size_t m_suppressed = 0;
};

}
