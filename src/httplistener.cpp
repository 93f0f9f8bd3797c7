/** \file
 * HTTP serving over Poco::Net.
 */
#include "httplistener.h"

#include "clock.h"
#include "errors.h"
#include "eventlog.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Cyclamenturn
{

namespace
{

constexpr int ACCEPT_BACKLOG = 1024;
constexpr int QUEUED_CONNECTIONS = 512;
constexpr int KEEP_ALIVE_REQUESTS = 1000000;
constexpr std::size_t THREAD_STACK_BYTES = 256 << 10;
/** How long a caller may take from connecting, or from its last answer, to the end of its next request's header. */
constexpr Duration REQUEST_TIMEOUT = milliseconds(10000);
/** How long a caller may take to accept what is sent. */
constexpr Duration SEND_TIMEOUT = milliseconds(10000);
/** How long a stop waits for an announced request. Its sender sends it as soon as it has read the answer before. */
constexpr Duration FOLLOW_UP_LIMIT = milliseconds(2000);
constexpr Duration FOLLOW_UP_CHECK = milliseconds(50);
constexpr Duration SWEEP_INTERVAL = milliseconds(500);
constexpr std::size_t READ_BLOCK_BYTES = 16 << 10;
/** A body that is refused for its length is read up to here, so that its sender gets to read the refusal. */
constexpr std::size_t DISCARD_LIMIT_BYTES = 64 << 20;
constexpr Duration DISCARD_TIMEOUT = milliseconds(1000);

Poco::Timespan timespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

}

/** Connections that wait for a request, with a thread that cuts those that take too long. */
class IdleConnections
{
public:
    IdleConnections()
        : m_sweeper([this] { sweep(); })
    {
    }

    ~IdleConnections()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
        }
        m_changed.notify_all();
        m_sweeper.join();
    }

    void add(const Poco::Net::StreamSocket &socket)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_waiting.insert_or_assign(socket.impl(), Waiting{socket, currentTime()});
    }

    void remove(const Poco::Net::StreamSocket &socket)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_waiting.erase(socket.impl());
    }

private:
    struct Waiting
    {
        Poco::Net::StreamSocket socket;
        TimePoint since;
    };

    void sweep()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (!m_stopped) {
            m_changed.wait_for(lock, SWEEP_INTERVAL);
            const TimePoint now = currentTime();
            for (auto it = m_waiting.begin(); it != m_waiting.end();) {
                if (now - it->second.since < REQUEST_TIMEOUT) {
                    ++it;
                    continue;
                }
                cut(it->second.socket);
                it = m_waiting.erase(it);
            }
        }
    }

    static void cut(Poco::Net::StreamSocket &socket)
    {
        try {
            socket.shutdown();
        } catch (const Poco::Exception &) {
            // The peer has closed the connection already.
            return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<Poco::Net::SocketImpl *, Waiting> m_waiting;
    bool m_stopped = false;
    std::thread m_sweeper;
};

class HttpListener::Implementation
{
public:
    Implementation(const Address &address, int threads, Handler handler);
    ~Implementation()
    {
        m_server.stopAll(true);
        m_pool.joinAll();
    }

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void stopAccepting()
    {
        m_stopping = true;
        m_server.stop();
    }
    bool waitIdle(Duration timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const TimePoint end = currentTime() + timeout;
        while (m_inProgress > 0 || hasFollowUps(currentTime())) {
            const TimePoint now = currentTime();
            if (now >= end) {
                return false;
            }
            m_idle.wait_for(lock, std::min(end - now, FOLLOW_UP_CHECK));
        }
        return true;
    }
    int inProgress() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_inProgress;
    }

private:
    /** Whether a request that a far end announced may still come. Call with m_mutex held. */
    bool hasFollowUps(TimePoint now) const
    {
        return std::any_of(
            m_followUps.begin(), m_followUps.end(), [now](const auto &item) { return now < item.second; });
    }

    class RequestHandler : public Poco::Net::HTTPRequestHandler
    {
    public:
        explicit RequestHandler(Implementation &owner)
            : m_owner(owner)
        {
        }
        void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
        {
            m_owner.handle(request, response);
        }

    private:
        Implementation &m_owner;
    };

    class Factory : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(Implementation &owner)
            : m_owner(owner)
        {
        }
        Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
        {
            return new RequestHandler(m_owner);
        }

    private:
        Implementation &m_owner;
    };

    /** Sees each connection as it is accepted. */
    class Filter : public Poco::Net::TCPServerConnectionFilter
    {
    public:
        explicit Filter(IdleConnections &idle)
            : m_idle(idle)
        {
        }
        bool accept(const Poco::Net::StreamSocket &accepted) override
        {
            Poco::Net::StreamSocket socket(accepted);
            socket.setNoDelay(true);
            m_idle.add(socket);
            return true;
        }

    private:
        IdleConnections &m_idle;
    };

    static Poco::Net::ServerSocket listen(const Address &address);
    static Poco::Net::HTTPServerParams::Ptr params(int threads);

    Handler m_handler;
    IdleConnections m_idleConnections;
    Poco::ThreadPool m_pool;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    int m_inProgress = 0;
    /** Until when a connection's announced request is waited for. */
    std::unordered_map<const Poco::Net::SocketImpl *, TimePoint> m_followUps;
    std::atomic<bool> m_stopping{false};
    Poco::Net::HTTPServer m_server;
};

Poco::Net::ServerSocket HttpListener::Implementation::listen(const Address &address)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)), true, false);
        socket.listen(ACCEPT_BACKLOG);
        return socket;
    } catch (const Poco::Exception &error) {
        throw UserError(
            "can't listen on " + toString(address) + ": " + error.displayText() + "; choose a free address");
    }
}

Poco::Net::HTTPServerParams::Ptr HttpListener::Implementation::params(int threads)
{
    Poco::Net::HTTPServerParams::Ptr out = new Poco::Net::HTTPServerParams;
    out->setMaxThreads(threads);
    out->setMaxQueued(QUEUED_CONNECTIONS);
    out->setKeepAlive(true);
    out->setMaxKeepAliveRequests(KEEP_ALIVE_REQUESTS);
    out->setKeepAliveTimeout(timespan(REQUEST_TIMEOUT));
    out->setTimeout(timespan(SEND_TIMEOUT));
    return out;
}

HttpListener::Implementation::Implementation(const Address &address, int threads, Handler handler)
    : m_handler(std::move(handler))
    , m_pool("http", 2, threads + 2, 60, THREAD_STACK_BYTES)
    , m_server(new Factory(*this), m_pool, listen(address), params(threads))
{
    m_server.setConnectionFilter(new Filter(m_idleConnections));
    m_server.start();
}

void HttpListener::Implementation::handle(
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    Poco::Net::StreamSocket &socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    m_idleConnections.remove(socket);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_inProgress;
        m_followUps.erase(socket.impl());
    }
    try {
        if (m_stopping) {
            response.setKeepAlive(false);
        }
        HttpExchange exchange(request, response);
        m_handler(exchange);
        if (exchange.expectsFollowUp() && response.getKeepAlive()) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_followUps[socket.impl()] = currentTime() + FOLLOW_UP_LIMIT;
        }
    } catch (const std::exception &error) {
        response.setKeepAlive(false);
        LogEvent("exchange_failed", LogEvent::Level::Warning).field("error", error.what());
        if (!response.sent()) {
            response.setStatus(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
            response.send();
        }
    }
    if (m_stopping) {
        response.setKeepAlive(false);
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_inProgress;
    }
    m_idle.notify_all();
    if (response.getKeepAlive()) {
        m_idleConnections.add(socket);
    }
}

HttpExchange::HttpExchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    : m_request(request)
    , m_response(response)
{
    const std::string &uri = request.getURI();
    const auto mark = uri.find('?');
    m_path = uri.substr(0, mark);
    m_query = mark == std::string::npos ? std::string() : uri.substr(mark + 1);
}

const std::string &HttpExchange::method() const
{
    return m_request.getMethod();
}

const std::string &HttpExchange::uri() const
{
    return m_request.getURI();
}

std::string HttpExchange::query(const std::string &name) const
{
    Poco::URI uri;
    uri.setRawQuery(m_query);
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return "";
}

std::string HttpExchange::header(const std::string &name) const
{
    return m_request.get(name, "");
}

std::string HttpExchange::contentType() const
{
    return m_request.getContentType();
}

std::optional<std::string> HttpExchange::readBody(std::size_t limit, Duration timeout)
{
    const bool announced = m_request.hasContentLength();
    const Poco::Int64 length = announced ? m_request.getContentLength64() : 0;
    std::string body;
    if (announced && length > static_cast<Poco::Int64>(limit)) {
        readInto(nullptr, DISCARD_LIMIT_BYTES, DISCARD_TIMEOUT);
    } else if (readInto(&body, limit, timeout) && (!announced || static_cast<Poco::Int64>(body.size()) == length)) {
        return body;
    }
    m_response.setKeepAlive(false);
    return std::nullopt;
}

bool HttpExchange::readInto(std::string *body, std::size_t limit, Duration timeout)
{
    auto &socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket();
    const Poco::Timespan usual = socket.getReceiveTimeout();
    const TimePoint end = currentTime() + timeout;
    std::string block(READ_BLOCK_BYTES, '\0');
    std::istream &in = m_request.stream();
    std::size_t total = 0;
    while (in.good() && total <= limit) {
        const Duration left = end - currentTime();
        if (left <= Duration(0)) {
            return false;
        }
        socket.setReceiveTimeout(timespan(left));
        in.read(block.data(), 1);
        std::streamsize got = in.gcount();
        if (got == 1) {
            got += in.readsome(block.data() + 1, static_cast<std::streamsize>(block.size()) - 1);
        }
        total += static_cast<std::size_t>(got);
        if (body) {
            body->append(block.data(), static_cast<std::size_t>(got));
        }
    }
    socket.setReceiveTimeout(usual);
    return !in.bad() && total <= limit;
}

void HttpExchange::setHeader(const std::string &name, const std::string &value)
{
    m_response.set(name, value);
}

void HttpExchange::reply(int status, const std::string &body, const std::string &contentType)
{
    m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setContentType(contentType);
    m_response.sendBuffer(body.data(), body.size());
}

std::ostream &HttpExchange::beginStream(int status, const std::string &contentType)
{
    m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    m_response.setContentType(contentType);
    m_response.setChunkedTransferEncoding(true);
    return m_response.send();
}

void HttpExchange::drop()
{
    m_response.setKeepAlive(false);
    try {
        dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket().shutdown();
    } catch (const Poco::Exception &) {
        // The peer has closed the connection already.
        return;
    }
}

bool HttpExchange::peerClosed()
{
    auto &socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(m_request).socket();
    try {
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

HttpListener::HttpListener(const Address &address, int threads, Handler handler)
    : m_implementation(std::make_unique<Implementation>(address, threads, std::move(handler)))
{
}

HttpListener::~HttpListener() = default;

void HttpListener::stopAccepting()
{
    m_implementation->stopAccepting();
}

bool HttpListener::waitIdle(Duration timeout)
{
    return m_implementation->waitIdle(timeout);
}

int HttpListener::inProgress() const
{
    return m_implementation->inProgress();
}

}
