/** \file
 * HTTP/1.1 server on an event loop. It accepts connections and passes their requests to a handler.
 */
#pragma once

#include "address.h"
#include "httpserverconnection.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <limits>
#include <unordered_map>

namespace Cyclamenturn
{

/** Limits on the size and duration of requests. */
struct HttpServerLimits
{
    HttpLimits message;
    /** From the start of a request to the end of its head. */
    Duration headerTimeout = milliseconds(3000);
    /** From the end of a request's head to the end of its body. */
    Duration bodyTimeout = milliseconds(30000);
    /** Before the first request and between a response and the next request. */
    Duration idleTimeout = milliseconds(15000);
    /** How many times the body of a request is in memory while it is handled. */
    std::size_t bodyCopies = 1;
    /** At this number of connections, idle ones or the slowest incomplete requests give way to new ones. */
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

/** A request that was rejected before it was complete. */
struct RejectedRequest
{
    int status = 0;
    const char *reason = "";
    /** As far as it was received. */
    HttpRequestHead head;
};

class HttpServer : private SocketHandler
{
public:
    /** The handler may move out of the request. */
    using RequestHandler = std::function<void(const HttpServerConnectionPtr &, ReceivedRequest &)>;
    /** Returns the head of the response. */
    using RejectionHandler = std::function<HttpResponseHead(const RejectedRequest &)>;
    /** Receives the name of the limit for which a request was refused or a connection closed. */
    using LimitHandler = std::function<void(const char *limit)>;

    /** `memory` is the account of the requests; without it, they are accounted but not limited. */
    HttpServer(EventLoop &loop, const Address &address, RequestHandler handler,
        std::shared_ptr<RequestMemory> memory = nullptr);
    ~HttpServer() override;

    /** Sets the function that is called for each request that the server rejects itself. */
    void setRejectionHandler(RejectionHandler handler)
    {
        m_rejectionHandler = std::move(handler);
    }
    /** Sets the function that is called for each connection that a limit of the process closes. */
    void setLimitHandler(LimitHandler handler)
    {
        m_limitHandler = std::move(handler);
    }
    /** Sets the limits for requests that start from now on. */
    void setLimits(const HttpServerLimits &limits)
    {
        m_limits = limits;
    }
    const HttpServerLimits &limits() const
    {
        return m_limits;
    }
    /** Each response that starts from now on is the last one on its connection. */
    void beginDrain()
    {
        m_draining = true;
    }
    /** Accepts no more connections, and does what beginDrain() does. */
    void stopAccepting();
    /** Resets the connections that have a request in progress. */
    void abortBusyConnections();
    bool hasPendingOutput() const;
    /** Closes the connections that have neither a request nor unsent output. */
    void closeIdleConnections();
    bool isDraining() const
    {
        return m_draining;
    }
    std::size_t connectionCount() const
    {
        return m_connections.size();
    }
    std::size_t busyConnectionCount() const;
    /** Number of connections with a request in progress or with output that the operating system hasn't taken yet. */
    std::size_t unfinishedConnectionCount() const;

private:
    friend class HttpServerConnection;

    void socketReady(int modes) override;
    WorkKind workKind() const override
    {
        return WorkKind::NewRequest;
    }
    void handle(const HttpServerConnectionPtr &connection, ReceivedRequest &request)
    {
        m_handler(connection, request);
    }
    HttpResponseHead rejectionHead(const RejectedRequest &request)
    {
        return m_rejectionHandler ? m_rejectionHandler(request) : HttpResponseHead{request.status, "", {}};
    }
    const std::shared_ptr<RequestMemory> &memory() const
    {
        return m_memory;
    }
    void noteLimit(const char *limit) const
    {
        if (m_limitHandler) {
            m_limitHandler(limit);
        }
    }
    /** Lets connections give way to a new one. Returns false if all have requests in progress. */
    bool makeRoomForConnection();
    void remove(HttpServerConnection *connection);
    /** Accepts a connection that waits and reads what has arrived on it. Returns false if none waits. */
    bool acceptOne();

    EventLoop &m_loop;
    Poco::Net::ServerSocket m_socket;
    RequestHandler m_handler;
    RejectionHandler m_rejectionHandler;
    LimitHandler m_limitHandler;
    std::shared_ptr<RequestMemory> m_memory;
    HttpServerLimits m_limits;
    bool m_draining = false;
    bool m_accepting = true;
    /** Whether the server was at its limit when it accepted the latest connection. */
    bool m_hasMadeRoom = false;
    std::unordered_map<HttpServerConnection *, HttpServerConnectionPtr> m_connections;
};

}
