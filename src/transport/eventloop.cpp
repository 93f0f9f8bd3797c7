/** \file
 * The network thread's loop over POCO's poll set.
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

EventLoop::Timer EventLoop::callAt(TimePoint time, std::function<void()> call)
{
    const Timer timer{time, m_nextTimer++};
    m_timers.emplace(timer, std::move(call));
    return timer;
}

void EventLoop::cancel(const Timer &timer)
{
    m_timers.erase(timer);
}

void EventLoop::runOnce(Duration longest)
{
    Duration wait = longest;
    if (!m_timers.empty()) {
        wait = std::clamp(m_timers.begin()->first.first - m_now, Duration(0), longest);
    }
    // The poll set waits in whole milliseconds; rounding up keeps it from spinning until a timer is due.
    const auto waitMs = (wait.count() + 999) / 1000;
    const auto ready = m_pollSet.poll(Poco::Timespan(waitMs * 1000));
    m_now = monotonicTime();
    for (const auto &[socket, modes] : ready) {
        const auto found = m_handlers.find(socket.impl());
        if (found != m_handlers.end()) {
            found->second->socketReady(modes);
        }
    }
    runDueTimers();
}

void EventLoop::runDueTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        const auto call = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        call();
    }
}

}
