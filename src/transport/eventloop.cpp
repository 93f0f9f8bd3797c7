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
/** Closes and deadlines that come meanwhile wait for the end of an iteration. */
constexpr Duration MAX_RESPONSE_TIME = milliseconds(20);
/** New requests get as much time as an iteration took for everything else, within these bounds: the next closes and
 * responses wait no longer than the longer one. */
constexpr Duration MIN_NEW_REQUEST_TIME = milliseconds(10);
constexpr Duration MAX_NEW_REQUEST_TIME = milliseconds(20);

/** Background tasks get this part of the time of an iteration, within these bounds. */
constexpr int TASK_TIME_DIVISOR = 4;
constexpr Duration MIN_TASK_TIME = milliseconds(5);
constexpr Duration MAX_TASK_TIME = milliseconds(10);

/** The place of a kind of work in an iteration. Timers run between the last two, tasks after them. */
int order(WorkKind kind)
{
    switch (kind) {
    case WorkKind::ClientClose:
        return 0;
    case WorkKind::Response:
    case WorkKind::Message:
    case WorkKind::Timer:
        return 1;
    case WorkKind::NewRequest:
        return 2;
    case WorkKind::Background:
        return 3;
    }
    return 1;
}

}

EventLoop::EventLoop()
    : m_now(monotonicTime())
    , m_polledAt(m_now)
    , m_eventsSince(m_now)
    , m_eventSince(m_now)
{
}

EventLoop::~EventLoop()
{
    while (!m_timers.empty() || !m_tasks.empty()) {
        // Destroying these may cancel or add others.
        const auto timers = std::exchange(m_timers, {});
        const auto tasks = std::exchange(m_tasks, {});
    }
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
        m_waitingSince.erase(socket.impl());
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
    return m_load.take();
}

Poco::Net::PollSet::SocketModeMap EventLoop::poll(Duration maxWait)
{
    const TimePoint lastPollAt = m_polledAt;
    TimePoint startedAt = monotonicTime();
    m_load.noteTurn(startedAt - lastPollAt);
    m_iterationStartedAt = startedAt;
    if (startedAt - lastPollAt > SHORT_ITERATION) {
        auto ready = m_pollSet.poll(Poco::Timespan(0));
        m_polledAt = monotonicTime();
        m_eventsSince = lastPollAt;
        if (!ready.empty() || !m_tasks.empty()) {
            return ready;
        }
        startedAt = m_polledAt;
    }
    Duration wait = m_tasks.empty() ? maxWait : Duration(0);
    if (!m_timers.empty()) {
        wait = std::clamp(m_timers.begin()->first.first - startedAt, Duration(0), wait);
    }
    // PollSet waits in whole milliseconds. Rounding down would make the loop spin during the last millisecond before a
    // timer expires.
    const auto waitMs = (wait.count() + 999) / 1000;
    auto ready = m_pollSet.poll(Poco::Timespan(waitMs * 1000));
    m_polledAt = monotonicTime();
    m_iterationStartedAt = m_polledAt;
    m_eventsSince = m_polledAt - startedAt > wait + LATE_WAKEUP ? startedAt : m_polledAt;
    return ready;
}

std::vector<EventLoop::Event> EventLoop::orderedEvents(const Poco::Net::PollSet::SocketModeMap &ready)
{
    std::vector<Event> out;
    out.reserve(ready.size());
    // A socket that isn't ready any more has nothing that waits.
    std::unordered_map<const Poco::Net::SocketImpl *, TimePoint> stillWaiting;
    for (const auto &[socket, modes] : ready) {
        const auto found = m_handlers.find(socket.impl());
        if (found == m_handlers.end()) {
            continue;
        }
        TimePoint since = m_eventsSince;
        const auto waiting = m_waitingSince.find(socket.impl());
        if (waiting != m_waitingSince.end()) {
            since = waiting->second;
            stillWaiting.insert(*waiting);
        }
        out.push_back({socket, modes, found->second->workKind(), since});
    }
    m_waitingSince = std::move(stillWaiting);
    std::stable_sort(out.begin(), out.end(), [](const Event &a, const Event &b) {
        return std::make_pair(order(a.kind), a.since) < std::make_pair(order(b.kind), b.since);
    });
    return out;
}

void EventLoop::noteWork(WorkKind kind)
{
    const TimePoint end = monotonicTime();
    m_load.addWork(kind, end - m_now);
    m_now = end;
}

void EventLoop::handle(const Event &event)
{
    const auto found = m_handlers.find(event.socket.impl());
    if (found == m_handlers.end()) {
        return;
    }
    m_waitingSince.erase(event.socket.impl());
    m_eventSince = event.since;
    m_load.noteDelay(lag());
    found->second->socketReady(event.modes);
    noteWork(event.kind);
}

Duration EventLoop::elapsed() const
{
    return monotonicTime() - m_now;
}

bool EventLoop::hasTimeForMore()
{
    m_now = monotonicTime();
    return m_now < m_newRequestsUntil;
}

void EventLoop::handleUntil(
    TimePoint until, std::vector<Event>::const_iterator begin, std::vector<Event>::const_iterator end)
{
    for (auto event = begin; event != end; ++event) {
        if (event == begin || m_now < until) {
            handle(*event);
        } else if (m_handlers.count(event->socket.impl()) > 0) {
            m_waitingSince[event->socket.impl()] = event->since;
        }
    }
}

void EventLoop::runOnce(Duration maxWait)
{
    const auto ready = poll(maxWait);
    m_now = m_polledAt;
    const std::vector<Event> events = orderedEvents(ready);
    const auto endOf = [&events](WorkKind kind) {
        return std::partition_point(
            events.begin(), events.end(), [kind](const Event &event) { return order(event.kind) <= order(kind); });
    };
    const auto responses = endOf(WorkKind::ClientClose);
    const auto newRequests = endOf(WorkKind::Response);
    handleUntil(TimePoint::max(), events.begin(), responses);
    handleUntil(m_now + MAX_RESPONSE_TIME, responses, newRequests);
    m_eventSince = m_eventsSince;
    runExpiredTimers();
    m_newRequestsUntil
        = m_now + std::clamp(Duration(m_now - m_iterationStartedAt), MIN_NEW_REQUEST_TIME, MAX_NEW_REQUEST_TIME);
    handleUntil(m_newRequestsUntil, newRequests, events.end());
    m_eventSince = m_eventsSince;
    runTasks();
}

EventLoop::Task EventLoop::addTask(std::function<bool()> step)
{
    m_tasks.emplace(m_nextTask, std::move(step));
    return m_nextTask++;
}

void EventLoop::cancelTask(Task task)
{
    m_tasks.erase(task);
}

void EventLoop::runTasks()
{
    if (m_tasks.empty()) {
        return;
    }
    const Duration busy = m_now - m_iterationStartedAt;
    const TimePoint until = m_now + std::clamp(busy / TASK_TIME_DIVISOR, MIN_TASK_TIME, MAX_TASK_TIME);
    while (!m_tasks.empty() && m_now < until) {
        const auto [task, step] = *m_tasks.begin();
        if (!step()) {
            m_tasks.erase(task);
        }
        noteWork(WorkKind::Background);
    }
}

void EventLoop::runExpiredTimers()
{
    const TimePoint expiredBy = m_now;
    while (!m_timers.empty() && m_timers.begin()->first.first <= expiredBy) {
        const auto callback = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        callback();
        noteWork(WorkKind::Timer);
    }
}

}
