/** \file
 * Blocking handlers behind the event-driven server.
 */
#include "threadedhttpserver.h"

#include "clock.h"
#include "errors.h"
#include "eventlog.h"
#include "httpserver.h"
#include "loopinbox.h"
#include "pooltask.h"
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
/** Requests that wait for a thread. */
constexpr std::size_t QUEUED_REQUESTS = 512;
constexpr int THREAD_IDLE_SECONDS = 60;
constexpr std::size_t THREAD_STACK_BYTES = 256 << 10;
/** How long a caller may take to send a request's header, or its body, or to begin the next request. */
constexpr Duration REQUEST_TIMEOUT = milliseconds(10000);
/** The longest body that a configuration may allow, with what an entry adds to it. */
constexpr std::size_t LONGEST_BODY_BYTES = 65 << 20;
/** How long a stop waits for an announced request. Its sender sends it as soon as it has read the answer before. */
constexpr Duration FOLLOW_UP_LIMIT = milliseconds(2000);
constexpr Duration FOLLOW_UP_CHECK = milliseconds(50);
/** How long a turn of the loop lasts when nothing happens; calls from other threads end it. */
constexpr Duration LONGEST_TURN = milliseconds(500);
/** How long the destructor lets the network take the last bytes of answers that are complete. */
constexpr Duration FLUSH_LIMIT = milliseconds(1000);

}

class ThreadedHttpServer::Implementation
{
public:
    Implementation(const Address &address, int threads, Handler handler);
    ~Implementation();

    void stopAccepting()
    {
        m_inbox.post([this] { m_server->stopAccepting(); });
    }
    bool waitIdle(Duration timeout);

private:
    struct Job
    {
        std::shared_ptr<ServerExchange> exchange;
        const HttpServerConnection *connection;
    };

    /** On the network thread. */
    void run();
    void flush();
    void received(const HttpServerConnectionPtr &connection, ReceivedRequest &request);
    void ended(const HttpServerConnection *connection, bool hasFollowUp);

    /** On a handler's thread: works until no request has come for a while. */
    void work();
    std::optional<Job> nextJob();
    void handle(Job job);

    /** Whether a request that a far end announced may still come. Call with m_mutex held. */
    bool hasFollowUps(TimePoint now) const
    {
        return std::any_of(
            m_followUps.begin(), m_followUps.end(), [now](const auto &item) { return now < item.second; });
    }

    Handler m_handler;
    EventLoop m_loop;
    LoopInbox m_inbox;
    std::unique_ptr<HttpServer> m_server;

    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::condition_variable m_work;
    std::deque<Job> m_waiting;
    /** Threads that run work(); at most m_threads. */
    std::size_t m_workers = 0;
    /** Those of them that wait for a request. */
    std::size_t m_idleWorkers = 0;
    const std::size_t m_threads;
    /** No handler takes another request. */
    bool m_closing = false;
    /** Requests taken whose answer the network thread hasn't written. */
    int m_inProgress = 0;
    /** Until when a connection's announced request is waited for. */
    std::unordered_map<const HttpServerConnection *, TimePoint> m_followUps;
    std::atomic<bool> m_stopping{false};

    Poco::ThreadPool m_pool;
    std::thread m_network;
};

ThreadedHttpServer::Implementation::Implementation(const Address &address, int threads, Handler handler)
    : m_handler(std::move(handler))
    , m_inbox(m_loop)
    , m_threads(static_cast<std::size_t>(threads))
    // A thread that has ended its work may still be on its way back to the pool when the next one starts.
    , m_pool("http", 2, 2 * threads, THREAD_IDLE_SECONDS, THREAD_STACK_BYTES)
{
    try {
        m_server = std::make_unique<HttpServer>(
            m_loop, address, [this](const HttpServerConnectionPtr &connection, ReceivedRequest &request) {
                received(connection, request);
            });
    } catch (const Poco::Exception &error) {
        throw UserError(
            "can't listen on " + toString(address) + ": " + error.displayText() + "; choose a free address");
    }
    HttpServerLimits limits;
    limits.message.bodyBytes = LONGEST_BODY_BYTES;
    limits.headerTimeout = REQUEST_TIMEOUT;
    limits.bodyTimeout = REQUEST_TIMEOUT;
    limits.idleTimeout = REQUEST_TIMEOUT;
    m_server->setLimits(limits);
    m_network = std::thread([this] { run(); });
}

ThreadedHttpServer::Implementation::~Implementation()
{
    m_inbox.post([this] {
        m_server->stopAccepting();
        m_server->abortBusy();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closing = true;
        }
        m_work.notify_all();
    });
    m_pool.joinAll();
    m_inbox.post([this] { m_stopping = true; });
    m_network.join();
}

void ThreadedHttpServer::Implementation::run()
{
    while (!m_stopping) {
        m_loop.runOnce(LONGEST_TURN);
    }
    flush();
}

void ThreadedHttpServer::Implementation::flush()
{
    const TimePoint end = m_loop.now() + FLUSH_LIMIT;
    while (m_server->hasPendingOutput() && m_loop.now() < end) {
        m_loop.runOnce(FOLLOW_UP_CHECK);
    }
    // Connections that are done are destroyed by timers of the loop.
    m_loop.runOnce(Duration(0));
}

void ThreadedHttpServer::Implementation::received(const HttpServerConnectionPtr &connection, ReceivedRequest &request)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_followUps.erase(connection.get());
        if (m_waiting.size() < QUEUED_REQUESTS) {
            ++m_inProgress;
            m_waiting.push_back(
                {std::make_shared<ServerExchange>(m_inbox, connection, std::move(request)), connection.get()});
            if (m_waiting.size() > m_idleWorkers && m_workers < m_threads) {
                ++m_workers;
                startTask(m_pool, [this] { work(); });
            }
            m_work.notify_one();
            return;
        }
    }
    LogEvent("exchange_refused", LogEvent::Level::Warning).field("reason", "all threads busy");
    HttpResponseHead head{SERVICE_UNAVAILABLE, "", {}};
    head.fields.add("Retry-After", "1");
    connection->sendAnswer(std::move(head), "all threads are busy; nothing has run\n");
}

void ThreadedHttpServer::Implementation::work()
{
    while (auto job = nextJob()) {
        handle(std::move(*job));
    }
}

std::optional<ThreadedHttpServer::Implementation::Job> ThreadedHttpServer::Implementation::nextJob()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_idleWorkers;
    m_work.wait_for(
        lock, std::chrono::seconds(THREAD_IDLE_SECONDS), [this] { return m_closing || !m_waiting.empty(); });
    --m_idleWorkers;
    if (m_closing || m_waiting.empty()) {
        --m_workers;
        return std::nullopt;
    }
    Job job = std::move(m_waiting.front());
    m_waiting.pop_front();
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
        job.exchange->drop();
    } else {
        job.exchange->finish();
    }
    const bool hasFollowUp = !failed && job.exchange->expectsFollowUp() && !job.exchange->peerClosed();
    // The exchange goes along, since it may hold the connection's last reference, which belongs to the network thread.
    m_inbox.post([this, job = std::move(job), hasFollowUp] { ended(job.connection, hasFollowUp); });
}

void ThreadedHttpServer::Implementation::ended(const HttpServerConnection *connection, bool hasFollowUp)
{
    const TimePoint now = m_loop.now();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_inProgress;
        for (auto it = m_followUps.begin(); it != m_followUps.end();) {
            it = it->second <= now ? m_followUps.erase(it) : std::next(it);
        }
        if (hasFollowUp && !m_server->isDraining()) {
            m_followUps[connection] = now + FOLLOW_UP_LIMIT;
        }
    }
    m_idle.notify_all();
}

bool ThreadedHttpServer::Implementation::waitIdle(Duration timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const TimePoint end = monotonicTime() + timeout;
    while (m_inProgress > 0 || hasFollowUps(monotonicTime())) {
        const TimePoint now = monotonicTime();
        if (now >= end) {
            return false;
        }
        m_idle.wait_for(lock, std::min(end - now, FOLLOW_UP_CHECK));
    }
    return true;
}

ThreadedHttpServer::ThreadedHttpServer(const Address &address, int threads, Handler handler)
    : m_implementation(std::make_unique<Implementation>(address, threads, std::move(handler)))
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
