/** \file
 * Implements the HTTP server: accepts connections and removes the ones that have ended.
 */
#include "httpserver.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <algorithm>
#include <sys/socket.h>
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

void HttpServer::abortBusyConnections()
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

std::size_t HttpServer::busyConnectionCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_connections.begin(), m_connections.end(), [](const auto &item) { return item.second->isBusy(); }));
}

std::size_t HttpServer::unfinishedConnectionCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
        [](const auto &item) { return item.second->isBusy() || item.second->pendingOutput() > 0; }));
}

void HttpServer::closeIdleConnections()
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

bool HttpServer::acceptOne()
{
    // Not acceptConnection(), which throws when no connection waits.
    const auto descriptor = ::accept(m_socket.impl()->sockfd(), nullptr, nullptr);
    if (descriptor < 0) { // none waits, the client disconnected early, or no file descriptor was free
        return false;
    }
    HttpServerConnectionPtr connection;
    try {
        const Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(descriptor));
        connection = std::make_shared<HttpServerConnection>(*this, m_loop, socket);
    } catch (const Poco::Exception &) { // the client has reset the connection meanwhile
        return true;
    }
    m_connections.emplace(connection.get(), connection);
    // Usually the request is there already. Read now, its age is that of the connection.
    connection->readArrived();
    return true;
}

void HttpServer::socketReady(int)
{
    while (acceptOne()) {
        if (!m_accepting) {
            return;
        }
        if (!m_loop.hasTimeForMore()) {
            m_loop.keepWaiting(m_socket);
            return;
        }
    }
}

void HttpServer::remove(HttpServerConnection *connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    // A member function of the connection may be on the call stack, so a timer destroys the connection after it
    // returns.
    m_loop.callAt(m_loop.now(), [connectionToDestroy = found->second] {});
    m_connections.erase(found);
}

}
