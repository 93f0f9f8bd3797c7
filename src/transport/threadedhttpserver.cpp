/** \file
 * Implements the threaded server with the event-driven HTTP server and a pool of handler threads.
 */
#include "threadedhttpserver.h"

#include "callbackqueue.h"
#include "clock.h"
#include "errors.h"
#include "eventlog.h"
#include "httpserver.h"
#include "logbudget.h"
#include "pooltask.h"
#include "processresources.h"
#include "serverexchange.h"

#include <Poco/Exception.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

namespace Cyclamenturn
{

namespace
{

constexpr int SERVICE_UNAVAILABLE = 503;
/** Maximum number of requests that wait for a handler thread. */
constexpr std::size_t MAX_QUEUED_REQUESTS = 512;
constexpr int THREAD_IDLE_SECONDS = 60;
constexpr std::size_t THREAD_STACK_BYTES = 256 << 10;
/** How long a client may take to send the head of a request, to send its body, and to start the next request. */
constexpr Duration REQUEST_TIMEOUT = milliseconds(10000);
/** Covers the longest body that a configuration may allow, and the data that an entry adds to it. */
constexpr std::size_t MAX_BODY_BYTES = 65 << 20;
/** A handler has the body itself, and copies for an attempt and for its connection. */
constexpr std::size_t BODY_COPIES = 4;
constexpr Duration MEMORY_CHECK_INTERVAL = milliseconds(1000);
/** How long waitIdle() waits for an announced request. The client sends it as soon as it has read the last response. */
constexpr Duration FOLLOW_UP_TIMEOUT = milliseconds(2000);
/** Interval at which waitIdle() and the final flush check whether they are done. */
constexpr Duration STOP_CHECK_INTERVAL = milliseconds(50);
/** Maximum duration of an iteration of the loop without events. Callbacks from other threads end it earlier. */
constexpr Duration MAX_POLL_WAIT = milliseconds(500);
/** How long the destructor waits until the rest of complete responses is sent. */
constexpr Duration FLUSH_TIMEOUT = milliseconds(1000);

}

class ThreadedHttpServer::Implementation
{
public:
    Implementation(const Address &address, int threads, Handler handler, const Resources &resources);
    ~Implementation();

    void stopAccepting()
    {
        m_callbackQueue.post([this] { m_server->stopAccepting(); });
    }
    bool waitIdle(Duration timeout);

private:
    struct Job
    {
        std::shared_ptr<ServerExchange> exchange;
        const HttpServerConnection *connection;
    };

    // The following functions run on the network thread. run() is its main function.
    void run();
    void flushOutput();
    void connectionClosedAtLimit(const char *limit);
    /** Returns memory to the operating system when the requests that took much of it have gone. */
    void checkMemory();
    void requestReceived(const HttpServerConnectionPtr &connection, ReceivedRequest &request);
    void exchangeFinished(const HttpServerConnection *connection, bool hasFollowUp);

    // The following functions run on a handler thread.
    /** Handles requests until none was received for THREAD_IDLE_SECONDS or the server stops. */
    void runWorker();
    std::optional<Job> nextJob();
    void handle(Job job);

    /** Whether an announced request may still be received. Must be called with m_mutex held. */
    bool hasFollowUps(TimePoint now) const
    {
        return std::any_of(m_followUpDeadlines.begin(), m_followUpDeadlines.end(),
            [now](const auto &item) { return now < item.second; });
    }

    Handler m_handler;
    /** Used by the network thread only; may be null. */
    std::shared_ptr<RequestMemory> m_memory;
    std::function<void(const char *)> m_limitHandler;
    LogBudget m_logBudget;
    EventLoop m_loop;
    CallbackQueue m_callbackQueue;
    std::unique_ptr<HttpServer> m_server;

    std::mutex m_mutex;
    std::condition_variable m_exchangeFinished;
    std::condition_variable m_jobAvailable;
    std::deque<Job> m_queue;
    /** Number of threads that run runWorker(); at most m_maxWorkers. */
    std::size_t m_workerCount = 0;
    /** Number of workers that wait for a request. */
    std::size_t m_idleWorkerCount = 0;
    const std::size_t m_maxWorkers;
    /** Workers take no further request from the queue. */
    bool m_workersStopping = false;
    /** Number of accepted requests whose response has not been written by the network thread. */
    int m_exchangesInProgress = 0;
    /** Time until which waitIdle() waits for the announced request of a connection. */
    std::unordered_map<const HttpServerConnection *, TimePoint> m_followUpDeadlines;
    std::atomic<bool> m_loopStopping{false};

    Poco::ThreadPool m_pool;
    std::thread m_networkThread;
};

ThreadedHttpServer::Implementation::Implementation(
    const Address &address, int threads, Handler handler, const Resources &resources)
    : m_handler(std::move(handler))
    , m_memory(resources.memory)
    , m_limitHandler(resources.limitHandler)
    , m_callbackQueue(m_loop)
    , m_maxWorkers(static_cast<std::size_t>(threads))
    // A worker that has ended may not have been returned to the pool yet when the next one starts, hence the factor 2.
    , m_pool("http", 2, 2 * threads, THREAD_IDLE_SECONDS, THREAD_STACK_BYTES)
{
    try {
        m_server = std::make_unique<HttpServer>(
            m_loop, address,
            [this](const HttpServerConnectionPtr &connection, ReceivedRequest &request) {
                requestReceived(connection, request);
            },
            m_memory);
    } catch (const Poco::Exception &error) {
        throw UserError(
            "can't listen on " + toString(address) + ": " + error.displayText() + "; choose a free address");
    }
    HttpServerLimits limits;
    limits.message.bodyBytes = MAX_BODY_BYTES;
    limits.bodyCopies = BODY_COPIES;
    limits.connections = resources.connections;
    limits.headerTimeout = REQUEST_TIMEOUT;
    limits.bodyTimeout = REQUEST_TIMEOUT;
    limits.idleTimeout = REQUEST_TIMEOUT;
    m_server->setLimits(limits);
    m_server->setLimitHandler([this](const char *limit) { connectionClosedAtLimit(limit); });
    m_server->setRejectionHandler([](const RejectedRequest &request) {
        HttpResponseHead head{request.status, "", {}};
        if (request.status == SERVICE_UNAVAILABLE) {
            head.fields.add("Retry-After", "1");
        }
        return head;
    });
    if (m_memory) {
        checkMemory();
    }
    m_networkThread = std::thread([this] { run(); });
}

ThreadedHttpServer::Implementation::~Implementation()
{
    m_callbackQueue.post([this] {
        m_server->stopAccepting();
        m_server->abortBusyConnections();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_workersStopping = true;
        }
        m_jobAvailable.notify_all();
    });
    m_pool.joinAll();
    m_callbackQueue.post([this] { m_loopStopping = true; });
    m_networkThread.join();
}

void ThreadedHttpServer::Implementation::run()
{
    while (!m_loopStopping) {
        m_loop.runOnce(MAX_POLL_WAIT);
    }
    flushOutput();
}

void ThreadedHttpServer::Implementation::flushOutput()
{
    const TimePoint end = m_loop.now() + FLUSH_TIMEOUT;
    while (m_server->hasPendingOutput() && m_loop.now() < end) {
        m_loop.runOnce(STOP_CHECK_INTERVAL);
    }
    // Removed connections are destroyed by timers of the loop.
    m_loop.runOnce(Duration(0));
}

void ThreadedHttpServer::Implementation::connectionClosedAtLimit(const char *limit)
{
    if (m_limitHandler) {
        m_limitHandler(limit);
    }
    if (m_logBudget.allows(true, m_loop.now())) {
        LogEvent("connection_closed_at_limit", LogEvent::Level::Warning)
            .field("limit", limit)
            .field("request_memory_bytes", static_cast<long long>(m_memory ? m_memory->used() : 0))
            .field("connections", static_cast<long long>(m_server->connectionCount()));
    }
}

void ThreadedHttpServer::Implementation::checkMemory()
{
    if (m_memory->takeEmptied()) {
        returnFreeMemory();
    }
    m_loop.callAfter(MEMORY_CHECK_INTERVAL, [this] { checkMemory(); });
}

void ThreadedHttpServer::Implementation::requestReceived(
    const HttpServerConnectionPtr &connection, ReceivedRequest &request)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_followUpDeadlines.erase(connection.get());
        if (m_queue.size() < MAX_QUEUED_REQUESTS) {
            ++m_exchangesInProgress;
            m_queue.push_back(
                {std::make_shared<ServerExchange>(m_callbackQueue, connection, std::move(request)), connection.get()});
            if (m_queue.size() > m_idleWorkerCount && m_workerCount < m_maxWorkers) {
                ++m_workerCount;
                startTask(m_pool, [this] { runWorker(); });
            }
            m_jobAvailable.notify_one();
            return;
        }
    }
    LogEvent("exchange_refused", LogEvent::Level::Warning).field("reason", "all threads busy and queue full");
    HttpResponseHead head{SERVICE_UNAVAILABLE, "", {}};
    head.fields.add("Retry-After", "1");
    connection->sendResponse(std::move(head), "all threads are busy; nothing has run\n");
}

void ThreadedHttpServer::Implementation::runWorker()
{
    while (auto job = nextJob()) {
        handle(std::move(*job));
    }
}

std::optional<ThreadedHttpServer::Implementation::Job> ThreadedHttpServer::Implementation::nextJob()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_idleWorkerCount;
    m_jobAvailable.wait_for(
        lock, std::chrono::seconds(THREAD_IDLE_SECONDS), [this] { return m_workersStopping || !m_queue.empty(); });
    --m_idleWorkerCount;
    if (m_workersStopping || m_queue.empty()) {
        --m_workerCount;
        return std::nullopt;
    }
    Job job = std::move(m_queue.front());
    m_queue.pop_front();
    return job;
}

void ThreadedHttpServer::Implementation::handle(Job job)
{
    bool failed = false;
    try {
        m_handler(*job.exchange);
    } catch (const std::exception &error) {
        failed = true;
        LogEvent("exchange_failed", LogEvent::Level::Warning).field("error", error.what());
    }
    if (failed && job.exchange->isStreaming()) {
        job.exchange->abort();
    } else {
        job.exchange->finish();
    }
    const bool hasFollowUp = !failed && job.exchange->expectsFollowUp() && !job.exchange->isDisconnected();
    // The callback owns the exchange, which may hold the last reference to the connection. The connection must be
    // destroyed on the network thread.
    m_callbackQueue.post([this, job = std::move(job), hasFollowUp] { exchangeFinished(job.connection, hasFollowUp); });
}

void ThreadedHttpServer::Implementation::exchangeFinished(const HttpServerConnection *connection, bool hasFollowUp)
{
    const TimePoint now = m_loop.now();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_exchangesInProgress;
        for (auto it = m_followUpDeadlines.begin(); it != m_followUpDeadlines.end();) {
            it = it->second <= now ? m_followUpDeadlines.erase(it) : std::next(it);
        }
        if (hasFollowUp && !m_server->isDraining()) {
            m_followUpDeadlines[connection] = now + FOLLOW_UP_TIMEOUT;
        }
    }
    m_exchangeFinished.notify_all();
}

bool ThreadedHttpServer::Implementation::waitIdle(Duration timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const TimePoint end = monotonicTime() + timeout;
    while (m_exchangesInProgress > 0 || hasFollowUps(monotonicTime())) {
        const TimePoint now = monotonicTime();
        if (now >= end) {
            return false;
        }
        m_exchangeFinished.wait_for(lock, std::min(end - now, STOP_CHECK_INTERVAL));
    }
    return true;
}

ThreadedHttpServer::ThreadedHttpServer(const Address &address, int threads, Handler handler)
    : ThreadedHttpServer(address, threads, std::move(handler), Resources())
{
}

ThreadedHttpServer::ThreadedHttpServer(const Address &address, int threads, Handler handler, const Resources &resources)
    : m_implementation(std::make_unique<Implementation>(address, threads, std::move(handler), resources))
{
}

ThreadedHttpServer::~ThreadedHttpServer() = default;

void ThreadedHttpServer::stopAccepting()
{
    m_implementation->stopAccepting();
}

bool ThreadedHttpServer::waitIdle(Duration timeout)
{
    return m_implementation->waitIdle(timeout);
}

}
