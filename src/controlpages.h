/** \file
 * The pages that every process serves: health, readiness, metrics, and the JSON-RPC methods of the fleet.
 */
#pragma once

#include "rpcserver.h"
#include "service.h"

#include <functional>
#include <json/json.h>
#include <memory>

namespace Cyclamenturn
{

class ConfigurationService;
class FleetKey;
class ServerExchange;
class Metrics;

class ControlPages : public Service
{
public:
    ControlPages(std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<ConfigurationService> configuration,
        std::shared_ptr<Metrics> metrics);
    ~ControlPages() override;

    void start() override
    {
    }
    void stop() override
    {
    }

    /** Tells whether the process takes new work; shown by /readyz, where a balancer looks. */
    void setReadiness(std::function<bool()> isReady);
    /** Adds a method that only holders of the fleet's key can call. */
    void addMethod(const std::string &name, RpcServer::Method method);

    /** Answers the exchange if its path is one of ours; returns false otherwise. */
    bool handle(ServerExchange &exchange);
    /** Answers 401 and returns false unless the far end shows the fleet's key. */
    bool authorize(ServerExchange &exchange);

private:
    void handleRpc(ServerExchange &exchange);
    Json::Value fetchConfiguration(const Json::Value &parameters);
    static Json::Value checkConfiguration(const Json::Value &parameters);

    std::shared_ptr<FleetKey> m_fleetKey;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<Metrics> m_metrics;
    std::function<bool()> m_isReady;
    RpcServer m_rpc;
};

}
