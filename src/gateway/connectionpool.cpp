/** \file
 * Pool of persistent connections to endpoints.
 */
#include "connectionpool.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** A TCP handshake within a region takes a few milliseconds. A lost packet is retransmitted after a second, which is
 * too late for most requests; trying another endpoint is quicker. */
constexpr Duration CONNECT_TIMEOUT = milliseconds(250);
constexpr HttpLimits RESPONSE_LIMITS{65536, 16777216};
/** Idle connections are dropped this long before the endpoint's own timeout, since it may close them a little early. */
constexpr Duration IDLE_MARGIN = milliseconds(700);
/** Idle connections beyond this number are left over from a burst and are closed, the oldest first. */
constexpr std::size_t MAX_IDLE_PER_ENDPOINT = 16;

}

ConnectionPool::ConnectionPool(EventLoop &loop, std::function<void(const std::string &)> unexpectedData)
    : m_loop(loop)
    , m_unexpectedData(std::move(unexpectedData))
{
}

void ConnectionPool::unexpectedDataReceived(const std::string &endpointId)
{
    const auto found = m_endpoints.find(endpointId);
    if (found != m_endpoints.end()) {
        auto &idle = found->second.idle;
        const auto unusable
            = std::remove_if(idle.begin(), idle.end(), [](const auto &item) { return item.connection->isUnusable(); });
        found->second.open -= static_cast<int>(std::distance(unusable, idle.end()));
        idle.erase(unusable, idle.end());
    }
    m_unexpectedData(endpointId);
}

std::unique_ptr<EndpointConnection> ConnectionPool::acquire(const EndpointRecord &record, int limit)
{
    Endpoint &endpoint = m_endpoints[record.id];
    while (!endpoint.idle.empty()) {
        IdleConnection idle = std::move(endpoint.idle.back());
        endpoint.idle.pop_back();
        const bool isOther = !idle.connection->mayBe(record.startedAtMs);
        if (!isOther && !idle.connection->isUnusable() && m_loop.now() < idle.expiresAt) {
            return std::move(idle.connection);
        }
        --endpoint.open;
    }
    if (endpoint.open >= limit) {
        return nullptr;
    }
    ++endpoint.open;
    ++m_opened;
    return std::make_unique<EndpointConnection>(m_loop, record.address, RESPONSE_LIMITS, CONNECT_TIMEOUT);
}

void ConnectionPool::release(
    const std::string &endpointId, std::unique_ptr<EndpointConnection> connection, Duration idleTimeout)
{
    Endpoint &endpoint = m_endpoints[endpointId];
    if (idleTimeout <= IDLE_MARGIN) {
        --endpoint.open;
        return;
    }
    connection->setUnexpectedDataHandler([this, endpointId] { unexpectedDataReceived(endpointId); });
    endpoint.idle.push_back({std::move(connection), m_loop.now() + idleTimeout - IDLE_MARGIN});
    if (endpoint.idle.size() > MAX_IDLE_PER_ENDPOINT) {
        closeOldestIdle(endpoint);
    }
}

void ConnectionPool::closeOldestIdle(Endpoint &endpoint)
{
    endpoint.idle.pop_front();
    --endpoint.open;
}

void ConnectionPool::releaseClosed(const std::string &endpointId)
{
    const auto found = m_endpoints.find(endpointId);
    if (found != m_endpoints.end()) {
        found->second.open = std::max(0, found->second.open - 1);
    }
}

void ConnectionPool::closeIdleConnections(const std::string &endpointId)
{
    const auto found = m_endpoints.find(endpointId);
    while (found != m_endpoints.end() && !found->second.idle.empty()) {
        closeOldestIdle(found->second);
    }
}

void ConnectionPool::closeFormerConnections(const EndpointRecord &endpoint)
{
    const auto found = m_endpoints.find(endpoint.id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &idle = found->second.idle;
    const auto former = std::remove_if(idle.begin(), idle.end(),
        [&endpoint](const auto &item) { return item.connection->startedAtMs() != endpoint.startedAtMs; });
    found->second.open -= static_cast<int>(std::distance(former, idle.end()));
    idle.erase(former, idle.end());
}

void ConnectionPool::expire(TimePoint now)
{
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        auto &idle = it->second.idle;
        for (auto item = idle.begin(); item != idle.end();) {
            if (now < item->expiresAt && !item->connection->isUnusable()) {
                ++item;
                continue;
            }
            item = idle.erase(item);
            --it->second.open;
        }
        it = it->second.open <= 0 ? m_endpoints.erase(it) : std::next(it);
    }
}

}
