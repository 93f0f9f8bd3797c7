/** \file
 * The network thread's loop: readiness of sockets, and timers. Everything that it calls runs on its one thread.
 */
#pragma once

#include "timepoint.h"

#include <Poco/Net/PollSet.h>

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace Cyclamenturn
{

/** Receives the readiness of one socket. `modes` is a combination of Poco::Net::PollSet's poll modes. */
class SocketHandler
{
public:
    virtual ~SocketHandler() = default;
    virtual void socketReady(int modes) = 0;
};

class EventLoop
{
public:
    /** A timer's place in the queue; a default-constructed one names no timer. */
    using Timer = std::pair<TimePoint, std::uint64_t>;

    EventLoop();

    /** The time at which the present turn of the loop began. */
    TimePoint now() const
    {
        return m_now;
    }

    void watch(const Poco::Net::Socket &socket, int modes, SocketHandler *handler);
    void update(const Poco::Net::Socket &socket, int modes);
    void unwatch(const Poco::Net::Socket &socket);

    Timer callAt(TimePoint time, std::function<void()> call);
    Timer callAfter(Duration wait, std::function<void()> call)
    {
        return callAt(m_now + wait, std::move(call));
    }
    /** Does nothing for a timer that has run. */
    void cancel(const Timer &timer);

    /** Waits for readiness or the next timer, at most `longest`, and runs what is due. */
    void runOnce(Duration longest);

private:
    void runDueTimers();

    Poco::Net::PollSet m_pollSet;
    /** Keyed by the socket's implementation, which the sockets reported by one poll keep alive. */
    std::unordered_map<const Poco::Net::SocketImpl *, SocketHandler *> m_handlers;
    std::map<Timer, std::function<void()>> m_timers;
    std::uint64_t m_nextTimer = 1;
    TimePoint m_now;
};

}
