/** \file
 * A connection to an endpoint, and which incarnation is at its other end. A connection ends with its process, so what
 * the endpoint has stated over it holds for all further requests on it.
 */
#pragma once

#include "transport/httpclientconnection.h"

#include <cstdint>
#include <optional>

namespace Cyclamenturn
{

class EndpointConnection : public HttpClientConnection
{
public:
    using HttpClientConnection::HttpClientConnection;

    /** EndpointRecord::startedAtMs of the endpoint; empty if it wasn't asked. */
    std::optional<std::int64_t> startedAtMs() const
    {
        return m_startedAtMs;
    }
    void setStartedAtMs(std::int64_t startedAtMs)
    {
        m_startedAtMs = startedAtMs;
    }
    /** Whether the endpoint may be this incarnation, as far as it has stated one. */
    bool mayBe(std::int64_t startedAtMs) const
    {
        return !m_startedAtMs || *m_startedAtMs == startedAtMs;
    }

private:
    std::optional<std::int64_t> m_startedAtMs;
};

}
