/** \file
 * Pool of persistent connections to endpoints, which limits the number of connections to each endpoint.
 */
#pragma once

#include "endpointconnection.h"
#include "endpointdirectory.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class ConnectionPool
{
public:
    /** How long an idle connection is kept when the endpoint doesn't state a keep-alive time. */
    static constexpr Duration DEFAULT_IDLE_TIMEOUT = milliseconds(2500);

    /** `unexpectedData` is called with the id of an endpoint that sent bytes without a request, after the connection
     * was closed. */
    ConnectionPool(EventLoop &loop, std::function<void(const std::string &endpointId)> unexpectedData);

    /** Returns an idle connection or a new one; null when `limit` connections to the endpoint are already open. An idle
     * one is to this incarnation, as far as the endpoint has stated one over it. */
    std::unique_ptr<EndpointConnection> acquire(const EndpointRecord &endpoint, int limit);
    /** Returns a connection to the pool after a complete response. `idleTimeout` is how long the endpoint keeps it open
     * while it is idle. */
    void release(const std::string &endpointId, std::unique_ptr<EndpointConnection> connection, Duration idleTimeout);
    /** Counts an acquired connection as closed; the caller has destroyed it. */
    void releaseClosed(const std::string &endpointId);
    /** Closes the idle connections to an endpoint that is leaving or gone. */
    void closeIdleConnections(const std::string &endpointId);
    /** Closes the idle connections to an endpoint that has restarted, but for those over which it has stated that it is
     * this incarnation. */
    void closeFormerConnections(const EndpointRecord &endpoint);
    /** Closes the idle connections whose time has expired or that were lost. */
    void expire(TimePoint now);
    /** Total number of connections opened. */
    std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    struct IdleConnection
    {
        std::unique_ptr<EndpointConnection> connection;
        TimePoint expiresAt;
    };
    struct Endpoint
    {
        std::deque<IdleConnection> idle;
        /** Number of open connections, acquired and idle. */
        int open = 0;
    };
    void closeOldestIdle(Endpoint &endpoint);

    void unexpectedDataReceived(const std::string &endpointId);

    EventLoop &m_loop;
    std::function<void(const std::string &)> m_unexpectedData;
    std::map<std::string, Endpoint> m_endpoints;
    std::uint64_t m_opened = 0;
};

}
