/** \file
 * Connections to endpoints that are kept between requests, within each endpoint's limit.
 */
#pragma once

#include "endpointdirectory.h"

#include "transport/httpclientconnection.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class ConnectionPool
{
public:
    explicit ConnectionPool(EventLoop &loop);

    /** Hands out an idle connection, or a new one; null when `limit` connections to the endpoint are open. */
    std::unique_ptr<HttpClientConnection> acquire(const EndpointRecord &endpoint, int limit);
    /** Takes back a connection whose answer was whole. `idleLimit` is how long the endpoint keeps it idle. */
    void release(const std::string &endpointId, std::unique_ptr<HttpClientConnection> connection, Duration idleTimeout);
    /** A connection that was taken is closed. */
    void releaseClosed(const std::string &endpointId);
    /** Closes the idle connections of an endpoint that is gone or did not prove sound. */
    void dropIdle(const std::string &endpointId);
    /** Closes connections that have been idle for too long. */
    void expire(TimePoint now);
    /** Connections opened so far. */
    std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    struct Idle
    {
        std::unique_ptr<HttpClientConnection> connection;
        TimePoint expiresAt;
    };
    struct Endpoint
    {
        std::deque<Idle> idle;
        /** Taken and idle ones. */
        int open = 0;
    };
    void dropFrontIdle(Endpoint &endpoint);

    EventLoop &m_loop;
    std::map<std::string, Endpoint> m_endpoints;
    std::uint64_t m_opened = 0;
};

}
