/** \file
 * An HTTP/1.1 server on the event loop.
 */
#pragma once

#include "address.h"
#include "httpserverconnection.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <unordered_map>

namespace Cyclamenturn
{

/** What the server allows its callers. */
struct HttpServerLimits
{
    HttpLimits message;
    Duration headerTimeout = milliseconds(3000);
    Duration bodyTimeout = milliseconds(30000);
    Duration idleTimeout = milliseconds(15000);
};

class HttpServer : private SocketHandler
{
public:
    /** The handler may move out of the request. */
    using RequestHandler = std::function<void(const HttpServerConnectionPtr &, ReceivedRequest &)>;

    HttpServer(EventLoop &loop, const Address &address, RequestHandler handler);
    ~HttpServer() override;

    /** Holds for requests that begin from now on. */
    void setLimits(const HttpServerLimits &limits)
    {
        m_limits = limits;
    }
    const HttpServerLimits &limits() const
    {
        return m_limits;
    }
    /** From now on each answer is the last on its connection. */
    void beginDrain()
    {
        m_draining = true;
    }
    /** Takes no new connection, and each answer is the last on its connection. */
    void stopAccepting();
    /** Cuts the connections whose answer is in progress. */
    void abortBusy();
    bool hasPendingOutput() const;
    /** Closes the connections on which no request has begun. */
    void closeIdle();
    bool isDraining() const
    {
        return m_draining;
    }
    std::size_t connections() const
    {
        return m_connections.size();
    }
    std::size_t busyConnections() const;

private:
    friend class HttpServerConnection;

    void socketReady(int modes) override;
    void handle(const HttpServerConnectionPtr &connection, ReceivedRequest &request)
    {
        m_handler(connection, request);
    }
    void remove(HttpServerConnection *connection);

    EventLoop &m_loop;
    Poco::Net::ServerSocket m_socket;
    RequestHandler m_handler;
    HttpServerLimits m_limits;
    bool m_draining = false;
    bool m_accepting = true;
    std::unordered_map<HttpServerConnection *, HttpServerConnectionPtr> m_connections;
};

}
