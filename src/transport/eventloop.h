/** \file
 * Event loop for sockets and timers. All callbacks run on the thread that calls runOnce().
 */
#pragma once

#include "loopload.h"
#include "timepoint.h"

#include <Poco/Net/PollSet.h>

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace Cyclamenturn
{

/** Interface for objects that are notified when a socket is ready. */
class SocketHandler
{
public:
    virtual ~SocketHandler() = default;
    /** `modes` is a combination of the poll modes of Poco::Net::PollSet. */
    virtual void socketReady(int modes) = 0;
    /** What socketReady() would do now. */
    virtual WorkKind workKind() const
    {
        return WorkKind::Message;
    }
};

/** Not thread-safe; CallbackQueue runs callbacks of other threads on the loop. */
class EventLoop
{
public:
    /** Identifies a timer by its time and a serial number. A default-constructed value identifies no timer. */
    using Timer = std::pair<TimePoint, std::uint64_t>;

    EventLoop();

    /** Monotonic time at which the current iteration of the loop started to run callbacks. */
    TimePoint now() const
    {
        return m_now;
    }
    /**
     * The earliest time at which the events of the current iteration may have occurred. It lies before now() by the
     * length of the previous iteration, or of a wait from which the process woke up late.
     */
    TimePoint eventsSince() const
    {
        return m_eventsSince;
    }
    /** Returns what the loop did since the last call. */
    LoopLoad takeLoad();

    /** Notifies `handler` when `socket` is ready for one of the poll modes `modes`, until unwatch() is called. */
    void watch(const Poco::Net::Socket &socket, int modes, SocketHandler *handler);
    /** Changes the poll modes of a watched socket. */
    void update(const Poco::Net::Socket &socket, int modes);
    void unwatch(const Poco::Net::Socket &socket);

    /** Runs `callback` once, as soon as `time` is reached. */
    Timer callAt(TimePoint time, std::function<void()> callback);
    /** Runs `callback` once, `delay` after now(). */
    Timer callAfter(Duration delay, std::function<void()> callback)
    {
        return callAt(m_now + delay, std::move(callback));
    }
    /** Does nothing if the timer has already expired. */
    void cancel(const Timer &timer);

    /**
     * Runs one iteration: waits at most `maxWait` for a ready socket or the next timer, then calls the handlers of the
     * ready sockets and the callbacks of the expired timers.
     */
    void runOnce(Duration maxWait);

private:
    /** Waits for ready sockets and sets the times of the iteration. */
    Poco::Net::PollSet::SocketModeMap poll(Duration maxWait);
    void runExpiredTimers();

    Poco::Net::PollSet m_pollSet;
    /** Keyed by the socket's implementation, which the sockets returned by a poll keep alive while the handlers run. */
    std::unordered_map<const Poco::Net::SocketImpl *, SocketHandler *> m_handlers;
    std::map<Timer, std::function<void()>> m_timers;
    std::uint64_t m_nextTimerId = 1;
    TimePoint m_now;
    /** Never after m_now. */
    TimePoint m_eventsSince;
    LoopLoad m_load;
};

}
