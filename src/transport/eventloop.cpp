/** \file
 * Implements the event loop with Poco::Net::PollSet.
 */
#include "eventloop.h"

#include "clock.h"

#include <algorithm>
#include <utility>

namespace Cyclamenturn
{

namespace
{

/** After an iteration longer than this, events that occurred meanwhile are told apart from later ones. */
constexpr Duration SHORT_ITERATION = milliseconds(5);
/** A process that wakes up from a wait later than this was stopped or had no processor time. */
constexpr Duration LATE_WAKEUP = milliseconds(20);

}

EventLoop::EventLoop()
    : m_now(monotonicTime())
    , m_eventsSince(m_now)
{
}

void EventLoop::watch(const Poco::Net::Socket &socket, int modes, SocketHandler *handler)
{
    m_handlers[socket.impl()] = handler;
    m_pollSet.add(socket, modes);
}

void EventLoop::update(const Poco::Net::Socket &socket, int modes)
{
    m_pollSet.update(socket, modes);
}

void EventLoop::unwatch(const Poco::Net::Socket &socket)
{
    if (m_handlers.erase(socket.impl()) > 0) {
        m_pollSet.remove(socket);
    }
}

EventLoop::Timer EventLoop::callAt(TimePoint time, std::function<void()> callback)
{
    const Timer timer{time, m_nextTimerId++};
    m_timers.emplace(timer, std::move(callback));
    return timer;
}

void EventLoop::cancel(const Timer &timer)
{
    m_timers.erase(timer);
}

LoopLoad EventLoop::takeLoad()
{
    return std::exchange(m_load, LoopLoad());
}

Poco::Net::PollSet::SocketModeMap EventLoop::poll(Duration maxWait)
{
    const TimePoint lastPollAt = m_now;
    TimePoint startedAt = monotonicTime();
    m_load.noteTurn(startedAt - lastPollAt);
    if (startedAt - lastPollAt > SHORT_ITERATION) {
        auto ready = m_pollSet.poll(Poco::Timespan(0));
        m_now = monotonicTime();
        m_eventsSince = lastPollAt;
        if (!ready.empty()) {
            return ready;
        }
        startedAt = m_now;
    }
    Duration wait = maxWait;
    if (!m_timers.empty()) {
        wait = std::clamp(m_timers.begin()->first.first - startedAt, Duration(0), maxWait);
    }
    // PollSet waits in whole milliseconds. Rounding down would make the loop spin during the last millisecond before a
    // timer expires.
    const auto waitMs = (wait.count() + 999) / 1000;
    auto ready = m_pollSet.poll(Poco::Timespan(waitMs * 1000));
    m_now = monotonicTime();
    m_eventsSince = m_now - startedAt > wait + LATE_WAKEUP ? startedAt : m_now;
    return ready;
}

void EventLoop::runOnce(Duration maxWait)
{
    TimePoint startedAt = m_now;
    const auto noteWork = [this, &startedAt](WorkKind kind) {
        const TimePoint end = monotonicTime();
        m_load.addWork(kind, end - startedAt);
        startedAt = end;
    };
    const auto ready = poll(maxWait);
    startedAt = m_now;
    for (const auto &[socket, modes] : ready) {
        const auto found = m_handlers.find(socket.impl());
        if (found != m_handlers.end()) {
            const WorkKind kind = found->second->workKind();
            m_load.noteDelay(startedAt - m_eventsSince);
            found->second->socketReady(modes);
            noteWork(kind);
        }
    }
    runExpiredTimers();
    noteWork(WorkKind::Timer);
}

void EventLoop::runExpiredTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        const auto callback = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        callback();
    }
}

}
