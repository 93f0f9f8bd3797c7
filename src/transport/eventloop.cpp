/** \file
 * Implements the event loop with Poco::Net::PollSet.
 */
#include "eventloop.h"

#include "clock.h"

#include <algorithm>

namespace Cyclamenturn
{

EventLoop::EventLoop()
    : m_now(monotonicTime())
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

void EventLoop::runOnce(Duration maxWait)
{
    Duration wait = maxWait;
    if (!m_timers.empty()) {
        wait = std::clamp(m_timers.begin()->first.first - m_now, Duration(0), maxWait);
    }
    // PollSet waits in whole milliseconds. Rounding down would make the loop spin during the last millisecond before a
    // timer expires.
    const auto waitMs = (wait.count() + 999) / 1000;
    const auto ready = m_pollSet.poll(Poco::Timespan(waitMs * 1000));
    m_now = monotonicTime();
    for (const auto &[socket, modes] : ready) {
        const auto found = m_handlers.find(socket.impl());
        if (found != m_handlers.end()) {
            found->second->socketReady(modes);
        }
    }
    runExpiredTimers();
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
