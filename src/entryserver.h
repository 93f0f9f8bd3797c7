/** \file
 * The HTTP server of an entry. It accepts requests from callers and performs the actions that EntryCore returns for
 * them.
 */
#pragma once

#include "admission.h"
#include "agentattempt.h"
#include "callerreply.h"
#include "entryloop.h"
#include "service.h"
#include "settings.h"

#include <atomic>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class ConfigurationService;
class AdminHandler;
class FleetKey;
class ServerExchange;
class ThreadedHttpServer;
class Metrics;

/** HTTP interface of an entry. Each request occupies one server thread until it is finished. */
class EntryServer : public Service
{
public:
    EntryServer(const Settings &settings, std::shared_ptr<EntryLoop> loop,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey,
        std::shared_ptr<AdminHandler> adminHandler, std::shared_ptr<Metrics> metrics);
    ~EntryServer() override;

    void start() override;
    void stop() override;

    /** Fails the readiness check, so that the load balancer sends no new callers. Requests are still accepted. */
    void announceShutdown();
    /**
     * Accepts no new connections and waits at most `timeout` for the requests in progress.
     * \returns whether all requests have ended
     */
    bool drain(Duration timeout);

private:
    /** State of one request while it is being handled. */
    struct RequestContext
    {
        Call call;
        CallerRequest request;
        std::string contentType;
        ServiceKind kind = ServiceKind::Plain;
        CallerReply reply;
        /** Model output sent to the caller so far. An attempt at another endpoint resumes after it. */
        std::string deliveredText;
        std::size_t deliveredPieces = 0;
        TimePoint arrivedAt;
        bool firstPieceSeen = false;
        bool callerDisconnected = false;
    };

    void handle(ServerExchange &exchange);
    void handleCall(ServerExchange &exchange, const std::string &service);
    /** Sends the outcome of a request that is not passed to the core. */
    void refuse(ServerExchange &exchange, const CallerRequest &request, const Outcome &outcome);
    /** Performs the actions of the core for an admitted request until it is finished. */
    void serve(ServerExchange &exchange, RequestContext &context);
    AttemptEnded runAttempt(ServerExchange &exchange, RequestContext &context, const SendAttempt &action);
    AttemptSink makeSink(ServerExchange &exchange, RequestContext &context, const Address &agent);
    /** Returns the body to send to the agent; for a resumed generation it includes the text delivered so far. */
    std::string requestBody(const RequestContext &context) const;
    void finish(ServerExchange &exchange, RequestContext &context, const Outcome &outcome);
    /** Throws UserError if the body of a chat completion is malformed. */
    CallerReply makeReply(const CallerRequest &request, ServiceKind kind) const;
    std::string nextId();
    /** RPC method `process_status`. */
    Json::Value status();

    Settings m_settings;
    std::shared_ptr<EntryLoop> m_loop;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<FleetKey> m_fleetKey;
    std::shared_ptr<AdminHandler> m_adminHandler;
    std::shared_ptr<Metrics> m_metrics;
    std::unique_ptr<ThreadedHttpServer> m_listener;
    std::atomic<bool> m_shuttingDown{false};
    std::atomic<std::uint64_t> m_nextId{0};
    /** Start time in microseconds. Part of each request id, so that ids stay unique after a restart of the entry. */
    std::uint64_t m_incarnation;
};

}
