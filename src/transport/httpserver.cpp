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
/** This part of the connections gives way at a time, so that a search among all is needed seldom. */
constexpr std::size_t GIVE_WAY_DIVISOR = 32;

}

HttpServer::HttpServer(
    EventLoop &loop, const Address &address, RequestHandler handler, std::shared_ptr<RequestMemory> memory)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_memory(
          memory ? std::move(memory) : std::make_shared<RequestMemory>(std::numeric_limits<std::size_t>::max() / 2))
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
    m_hasMadeRoom = m_connections.size() >= m_limits.connections;
    const bool hasRoom = !m_hasMadeRoom || makeRoomForConnection();
    m_connections.emplace(connection.get(), connection);
    if (!hasRoom) {
        noteLimit("connections");
        connection->refuseForLimit("too many connections have requests in progress");
        connection->remove(); // its descriptor is needed
        return true;
    }
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
        // Timers close the connections that gave way, before the others that wait take more descriptors.
        if (m_hasMadeRoom || !m_loop.hasTimeForMore()) {
            m_loop.keepWaiting(m_socket);
            return;
        }
    }
}

bool HttpServer::makeRoomForConnection()
{
    std::vector<HttpServerConnectionPtr> found;
    for (const auto &[key, connection] : m_connections) {
        if (connection->isIdle()) {
            found.push_back(connection);
        }
    }
    if (found.empty()) {
        for (const auto &[key, connection] : m_connections) {
            if (connection->isRequestIncomplete()) {
                found.push_back(connection);
            }
        }
    }
    const std::size_t count = std::min(found.size(), 1 + m_limits.connections / GIVE_WAY_DIVISOR);
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count), found.end(),
        [](const auto &left, const auto &right) { return left->lastChangeAt() < right->lastChangeAt(); });
    found.resize(count);
    for (const auto &connection : found) {
        noteLimit("connections");
        if (connection->isRequestIncomplete()) {
            connection->refuseForLimit("too many connections are open");
        }
        connection->remove();
    }
    return count > 0;
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
