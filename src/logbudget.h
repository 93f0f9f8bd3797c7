/** \file
 * Limits the lines that a process logs per second. Lines about failures have a separate limit, so that they are not
 * suppressed because of many routine lines. Suppressed lines are counted.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>

namespace Cyclamenturn
{

/** Counts the lines of each second and refuses those above the limits. */
class LogBudget
{
public:
    /** Several times the requests that one gateway serves per second in a fleet of the target size. */
    static constexpr std::size_t ROUTINE_LINES_PER_SECOND = 60;
    static constexpr std::size_t FAILURE_LINES_PER_SECOND = 200;

    /** Returns whether a line may be written now, and counts it as written or as suppressed. */
    bool allows(bool isFailure, TimePoint now);
    /** Returns the number of lines suppressed since the last call. */
    std::size_t takeSuppressed();

private:
    static constexpr Duration WINDOW = milliseconds(1000);

    TimePoint m_windowStart;
    std::size_t m_routineLines = 0;
    std::size_t m_failureLines = 0;
    std::size_t m_suppressed = 0;
};

}
