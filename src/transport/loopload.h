/** \file
 * What kept an event loop busy, and how late it was, since the last report.
 */
#pragma once

#include "timepoint.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace Cyclamenturn
{

/** What the handler of a ready socket does. */
enum class WorkKind : std::size_t {
    /** Notices that a client has closed its connection while its request is in progress. */
    ClientClose,
    /** Reads responses to calls of this process. */
    Response,
    /** Messages between processes and threads. */
    Message,
    /** Accepts connections and reads requests. */
    NewRequest,
    Timer,
    /** Work that is done in steps, after everything else. */
    Background,
};

constexpr std::size_t WORK_KINDS = 6;

const char *toString(WorkKind kind);

class LoopLoad
{
public:
    void addWork(WorkKind kind, Duration time)
    {
        m_busy[static_cast<std::size_t>(kind)] += time;
        m_turn[static_cast<std::size_t>(kind)] += time;
    }
    /** Notes how long an event may have waited before its handler was called. */
    void noteDelay(Duration delay)
    {
        m_longestDelay = std::max(m_longestDelay, delay);
    }
    /** Notes the end of a turn; the work that was added since the previous one belongs to it. */
    void noteTurn(Duration length)
    {
        if (length > m_longestTurn) {
            m_longestTurn = length;
            m_busyInLongestTurn = m_turn;
        }
        m_turn = {};
    }
    /** Returns the load until now and starts a new one, in which the turn in progress goes on. */
    LoopLoad take();

    Duration busy(WorkKind kind) const
    {
        return m_busy[static_cast<std::size_t>(kind)];
    }
    Duration busyInLongestTurn(WorkKind kind) const
    {
        return m_busyInLongestTurn[static_cast<std::size_t>(kind)];
    }
    Duration longestDelay() const
    {
        return m_longestDelay;
    }
    Duration longestTurn() const
    {
        return m_longestTurn;
    }

private:
    std::array<Duration, WORK_KINDS> m_busy{};
    /** Of the turn in progress. */
    std::array<Duration, WORK_KINDS> m_turn{};
    std::array<Duration, WORK_KINDS> m_busyInLongestTurn{};
    Duration m_longestDelay{};
    Duration m_longestTurn{};
};

}
