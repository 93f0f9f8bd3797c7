/** \file
 * Event loop for sockets and timers. All callbacks run on the thread that calls runOnce().
 *
 * The order of an iteration keeps a process that falls behind from working for clients that have left: first closes of
 * clients, then responses and messages, then timers, then new requests, and steps of background tasks at the end.
 * Responses, new requests and tasks get a limited time each, which bounds the length of an iteration. What is left
 * waits for the next one, the oldest events first, and their age is known by then.
 */
#pragma once

#include "loopload.h"
#include "timepoint.h"

#include <Poco/Net/PollSet.h>

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

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
    /** Identifies a background task. A default-constructed value identifies none. */
    using Task = std::uint64_t;

    EventLoop();
    /** Destroys what the remaining timers and tasks own, while the loop can still be called. */
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Monotonic time at which the running callback was called. */
    TimePoint now() const
    {
        return m_now;
    }
    /**
     * The earliest time at which the event that is handled may have occurred. It lies before now() by the time since
     * the previous poll, or since a wait from which the process woke up late, and by the iterations for which the event
     * was put off.
     */
    TimePoint eventSince() const
    {
        return m_eventSince;
    }
    /** How long the running callback has taken so far. */
    Duration elapsed() const;
    /** How long something may have happened that no handler knows yet. */
    Duration lag() const
    {
        return m_now - m_eventSince;
    }
    /** For a handler of new requests: whether it may go on to another request in this iteration. Updates now(). */
    bool hasTimeForMore();
    /** For a handler of new requests that leaves some unread: keeps the time since which they wait. */
    void keepWaiting(const Poco::Net::Socket &socket)
    {
        m_waitingSince[socket.impl()] = m_eventSince;
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

    /** Calls `step` again and again until it returns false, which means that the task is done. One call should take
     * less than a millisecond. Tasks are done one after the other. */
    Task addTask(std::function<bool()> step);
    /** Does nothing if the task is already done. A task may cancel itself. */
    void cancelTask(Task task);

    /**
     * Runs one iteration: waits at most `maxWait` for a ready socket or the next timer, then calls the handlers of the
     * ready sockets and the callbacks of the expired timers, in the order described at the head of this file.
     */
    void runOnce(Duration maxWait);

private:
    struct Event
    {
        Poco::Net::Socket socket;
        int modes = 0;
        WorkKind kind = WorkKind::Message;
        /** The earliest time at which it may have occurred. */
        TimePoint since;
    };

    /** Waits for ready sockets and sets the times of the iteration. */
    Poco::Net::PollSet::SocketModeMap poll(Duration maxWait);
    /** The events of the ready sockets, in the order in which they are to be handled. */
    std::vector<Event> orderedEvents(const Poco::Net::PollSet::SocketModeMap &ready);
    void handle(const Event &event);
    /** Handles the first of the events, and the others until that time. The rest waits for the next iteration. */
    void handleUntil(TimePoint until, std::vector<Event>::const_iterator begin, std::vector<Event>::const_iterator end);
    /** Runs the timers that have expired by now; those that they add run in the next iteration at the earliest. */
    void runExpiredTimers();
    void runTasks();
    /** Sets now() and counts the time since then as work of this kind. */
    void noteWork(WorkKind kind);

    Poco::Net::PollSet m_pollSet;
    /** Keyed by the socket's implementation, which the sockets returned by a poll keep alive while the handlers run. */
    std::unordered_map<const Poco::Net::SocketImpl *, SocketHandler *> m_handlers;
    std::map<Timer, std::function<void()>> m_timers;
    std::uint64_t m_nextTimerId = 1;
    /** Background tasks, the oldest first. */
    std::map<Task, std::function<bool()>> m_tasks;
    Task m_nextTask = 1;
    TimePoint m_now;
    /** When the current iteration started, or the wait at its start ended. */
    TimePoint m_iterationStartedAt;
    /** When the current iteration polled. */
    TimePoint m_polledAt;
    /** The earliest time of the events that the current iteration found; never after m_polledAt. */
    TimePoint m_eventsSince;
    /** The same of the running callback, which may have been put off; never after m_eventsSince. */
    TimePoint m_eventSince;
    /** When this iteration's time for new requests is over. */
    TimePoint m_newRequestsUntil;
    /** Sockets whose events were put off, by when these may have occurred. */
    std::unordered_map<const Poco::Net::SocketImpl *, TimePoint> m_waitingSince;
    LoopLoad m_load;
};

}
