/** \file
 * Handler of the administrative HTTP paths that both entries and agents serve: /healthz, /readyz, /metrics, and /rpc
 * for JSON-RPC methods.
 */
#pragma once

#include "rpcserver.h"
#include "service.h"
#include "transport/threadedhttpserver.h"

#include <functional>
#include <json/json.h>
#include <memory>

namespace Cyclamenturn
{

class ConfigurationService;
class FleetKey;
class ServerExchange;
class Metrics;

/** Responds to requests for the health, the readiness and the metrics of a process, and to JSON-RPC messages. */
class AdminHandler : public Service
{
public:
    AdminHandler(std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<ConfigurationService> configuration,
        std::shared_ptr<Metrics> metrics);
    ~AdminHandler() override;

    void start() override
    {
    }
    void stop() override
    {
    }

    /** Sets the function that returns whether the process accepts new work. Load balancers query it through /readyz. */
    void setReadinessCheck(std::function<bool()> isReady);
    /** Adds a JSON-RPC method. Only clients with the fleet key can call it. */
    void addMethod(const std::string &name, RpcServer::Method method);

    /** Returns what clients of the process may take, by its settings. Connections closed for it are counted. */
    ThreadedHttpServer::Resources clientResources(int memoryMegabytes, int descriptors) const;
    /** Returns true if the path is an administrative one; the response has then been sent. */
    bool handle(ServerExchange &exchange);
    /** Returns true if the request contains a valid fleet key. Otherwise responds with status 401. */
    bool authorize(ServerExchange &exchange);

private:
    void handleRpc(ServerExchange &exchange);
    /** RPC method `configuration_fetch`: returns the configuration document if it is newer than the client's. */
    Json::Value fetchConfiguration(const Json::Value &parameters);
    /** RPC method `configuration_check`: returns the error in a configuration, if any. */
    static Json::Value checkConfiguration(const Json::Value &parameters);

    std::shared_ptr<FleetKey> m_fleetKey;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<Metrics> m_metrics;
    std::function<bool()> m_isReady;
    RpcServer m_rpc;
};

}
