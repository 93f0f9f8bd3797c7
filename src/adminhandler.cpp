/** \file
 * Handling of the administrative HTTP requests common to entries and agents.
 */
#include "adminhandler.h"

#include "configurationservice.h"
#include "errors.h"
#include "fleetkey.h"
#include "jsoncodec.h"
#include "metrics.h"
#include "transport/processresources.h"
#include "transport/requestmemory.h"
#include "transport/serverexchange.h"

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_UNAUTHORIZED = 401;
constexpr int HTTP_UNAVAILABLE = 503;
constexpr std::size_t MAX_RPC_BODY_BYTES = 1 << 20;

}

AdminHandler::AdminHandler(std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<ConfigurationService> configuration,
    std::shared_ptr<Metrics> metrics)
    : m_fleetKey(std::move(fleetKey))
    , m_configuration(std::move(configuration))
    , m_metrics(std::move(metrics))
    , m_isReady([] { return false; })
{
    addMethod("configuration_fetch", [this](const Json::Value &parameters) { return fetchConfiguration(parameters); });
    addMethod("configuration_check", checkConfiguration);
}

Json::Value AdminHandler::checkConfiguration(const Json::Value &parameters)
{
    Json::Value out(Json::objectValue);
    try {
        FleetConfiguration::parse(JsonObject(parameters).text("toml"), "configuration", 0);
    } catch (const UserError &error) {
        out["error"] = error.what();
    }
    return out;
}

AdminHandler::~AdminHandler() = default;

void AdminHandler::setReadinessCheck(std::function<bool()> isReady)
{
    m_isReady = std::move(isReady);
}

void AdminHandler::addMethod(const std::string &name, RpcServer::Method method)
{
    m_rpc.addMethod(name, std::move(method));
}

Json::Value AdminHandler::fetchConfiguration(const Json::Value &parameters)
{
    const auto knownRevision = static_cast<std::uint64_t>(JsonObject(parameters).integer("known_revision", 0));
    Json::Value out(Json::objectValue);
    if (m_configuration->revision() > knownRevision) {
        out["document"] = m_configuration->encodedDocument();
    }
    return out;
}

bool AdminHandler::authorize(ServerExchange &exchange)
{
    if (m_fleetKey->accepts(bearerToken(exchange.header("Authorization")))) {
        return true;
    }
    m_metrics->count("cyclamenturn_fleet_key_refusals_total");
    exchange.reply(HTTP_UNAUTHORIZED, "{\"error\":\"fleet_key\"}");
    return false;
}

ThreadedHttpServer::Resources AdminHandler::clientResources(int memoryMegabytes, int descriptors) const
{
    ThreadedHttpServer::Resources out;
    out.memory = std::make_shared<RequestMemory>(RequestMemory::capacityOf(static_cast<std::size_t>(memoryMegabytes)));
    out.connections = clientConnectionLimit(static_cast<std::size_t>(descriptors));
    out.limitHandler = [metrics = m_metrics](const char *limit) {
        metrics->count("cyclamenturn_connections_closed_at_limit", {{"limit", limit}});
    };
    return out;
}

bool AdminHandler::handle(ServerExchange &exchange)
{
    const std::string &path = exchange.path();
    if (path == "/healthz") {
        exchange.reply(HTTP_OK, "ok\n", "text/plain");
    } else if (path == "/readyz") {
        const bool ready = m_isReady();
        exchange.reply(ready ? HTTP_OK : HTTP_UNAVAILABLE, ready ? "ready\n" : "not ready\n", "text/plain");
    } else if (path == "/metrics") {
        exchange.reply(HTTP_OK, m_metrics->render(), "text/plain; version=0.0.4");
    } else if (path == "/rpc") {
        handleRpc(exchange);
    } else {
        return false;
    }
    return true;
}

void AdminHandler::handleRpc(ServerExchange &exchange)
{
    if (!authorize(exchange)) {
        return;
    }
    const auto body = exchange.readBody(MAX_RPC_BODY_BYTES);
    if (!body) {
        exchange.reply(HTTP_BAD_REQUEST, "{\"error\":\"body\"}");
        return;
    }
    exchange.reply(HTTP_OK, m_rpc.handle(*body));
}

}
