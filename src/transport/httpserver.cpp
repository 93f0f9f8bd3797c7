/** \file
 * Accepts connections for an HTTP server.
 */
#include "httpserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>
#include <vector>

namespace Cyclamenturn
{

namespace
{

constexpr int ACCEPT_BACKLOG = 512;

}

HttpServer::HttpServer(EventLoop &loop, const Address &address, RequestHandler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
    m_socket.bind(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)), true);
    m_socket.listen(ACCEPT_BACKLOG);
    m_socket.setBlocking(false);
    m_loop.watch(m_socket, Poco::Net::PollSet::POLL_READ, this);
}

HttpServer::~HttpServer()
{
    if (m_accepting) {
        m_loop.unwatch(m_socket);
    }
}

void HttpServer::stopAccepting()
{
    m_draining = true;
    if (m_accepting) {
        m_accepting = false;
        m_loop.unwatch(m_socket);
        m_socket.close();
    }
}

void HttpServer::abortBusy()
{
    std::vector<HttpServerConnectionPtr> busy;
    for (const auto &[key, connection] : m_connections) {
        if (connection->isBusy()) {
            busy.push_back(connection);
        }
    }
    for (const auto &connection : busy) {
        connection->abort();
    }
}

bool HttpServer::hasPendingOutput() const
{
    return std::any_of(
        m_connections.begin(), m_connections.end(), [](const auto &item) { return item.second->pendingOutput() > 0; });
}

std::size_t HttpServer::busyConnections() const
{
    return static_cast<std::size_t>(std::count_if(
        m_connections.begin(), m_connections.end(), [](const auto &item) { return item.second->isBusy(); }));
}

void HttpServer::closeIdle()
{
    std::vector<HttpServerConnectionPtr> idle;
    for (const auto &[key, connection] : m_connections) {
        if (connection->isIdle()) {
            idle.push_back(connection);
        }
    }
    for (const auto &connection : idle) {
        remove(connection.get());
    }
}

void HttpServer::socketReady(int)
{
    try {
        const Poco::Net::StreamSocket socket = m_socket.acceptConnection();
        const auto connection = std::make_shared<HttpServerConnection>(*this, m_loop, socket);
        m_connections.emplace(connection.get(), connection);
    } catch (const Poco::Exception &) { // the caller left before it was accepted, or descriptors ran out for a moment
    }
}

void HttpServer::remove(HttpServerConnection *connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    // The connection may be on the call stack, so it is destroyed in the next turn of the loop.
    m_loop.callAt(m_loop.now(), [kept = found->second] {});
    m_connections.erase(found);
}

}
