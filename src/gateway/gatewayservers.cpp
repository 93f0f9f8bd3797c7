/** \file
 * The servers of a gateway: requests of callers, readiness checks and reads of the metrics, and their limits.
 */
#include "admitrequest.h"
#include "eventlog.h"
#include "gateway.h"
#include "requestflow.h"

#include "transport/processresources.h"

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
/** The balancer's readiness checks and readers of metrics use a few connections each. */
constexpr std::size_t MAX_CONTROL_CONNECTIONS = 64;

}

void Gateway::limitServers()
{
    HttpServerLimits limits;
    limits.connections = clientConnectionLimit(static_cast<std::size_t>(m_settings.descriptors));
    m_callerServer.setLimits(limits);
    // Requests to these servers have no bodies.
    limits.message.bodyBytes = 0;
    limits.connections = MAX_CONTROL_CONNECTIONS;
    m_readinessServer.setLimits(limits);
    m_metricsServer.setLimits(limits);
}

void Gateway::handleCaller(const HttpServerConnectionPtr &connection, ReceivedRequest request)
{
    const auto flow = std::make_shared<RequestFlow>(*this, connection, std::move(request));
    m_flows.emplace(flow.get(), flow);
    flow->start();
}

HttpResponseHead Gateway::handleRejection(const RejectedRequest &request)
{
    const ConfigurationDoubt doubt = configurationDoubt();
    const int status = limitStatusInDoubt(request.status, m_configuration != nullptr, doubt);
    m_metrics.count("cyclamenturn_requests_rejected", {{"status", std::to_string(status)}});
    if (m_logBudget.allows(true, m_loop.now())) {
        LogEvent("request_rejected")
            .field("request", m_messages.decodeRequest(request.head).attemptId)
            .field("status", status)
            .field("reason", request.reason)
            .field("doubt", toString(doubt))
            .field("configuration", m_configuration ? static_cast<long long>(m_configuration->version()) : 0)
            .field("method", request.head.method)
            .field("host", requestedHost(request.head))
            .field("path", loggedPath(request.head));
    }
    return refusalHead(status, DEFAULT_RETRY_AFTER);
}

void Gateway::connectionClosedAtLimit(const char *limit)
{
    m_metrics.count("cyclamenturn_connections_closed_at_limit", {{"limit", limit}});
    if (m_logBudget.allows(true, m_loop.now())) {
        LogEvent("connection_closed_at_limit")
            .field("limit", limit)
            .field("request_memory_bytes", static_cast<long long>(m_requestMemory->used()))
            .field("connections", static_cast<long long>(m_callerServer.connectionCount()));
    }
}

void Gateway::handleReadiness(const HttpServerConnectionPtr &connection)
{
    const bool isServing = isReady() && !isCatchingUp();
    connection->sendResponse({isServing ? OK : UNAVAILABLE, "", {}}, isServing ? "ready\n" : "not ready\n");
}

void Gateway::handleMetrics(const HttpServerConnectionPtr &connection)
{
    HttpResponseHead head{OK, "", {}};
    head.fields.add("Content-Type", "text/plain; version=0.0.4");
    connection->sendResponse(std::move(head), m_metrics.render());
}

void Gateway::reportRequestMemory()
{
    m_metrics.set("cyclamenturn_request_memory_bytes", {}, static_cast<double>(m_requestMemory->used()));
    if (m_requestMemory->takeEmptied()) {
        returnFreeMemory();
    }
}

}
