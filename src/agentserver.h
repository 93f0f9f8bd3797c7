/** \file
 * The HTTP server of an agent. It accepts calls from entries and streams the responses back to them.
 */
#pragma once

#include "agentcalls.h"
#include "service.h"
#include "settings.h"
#include "wire.h"

#include <atomic>
#include <memory>

namespace Cyclamenturn
{

class AgentLoop;
class ConfigurationService;
class AdminHandler;
class ServerExchange;
class ThreadedHttpServer;

/**
 * HTTP interface of an agent: handshakes, calls, resumed response streams, cancellations, and the administrative paths
 * of AdminHandler.
 */
class AgentServer : public Service
{
public:
    AgentServer(const Settings &settings, std::shared_ptr<AgentCalls> calls, std::shared_ptr<AgentLoop> loop,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<AdminHandler> adminHandler);
    ~AgentServer() override;

    void start() override;
    void stop() override;

    /**
     * Refuses handshakes from now on. Waits at most `timeout` until no response is being sent and no call is expected
     * any more after an earlier handshake.
     */
    void drain(Duration timeout);

private:
    void handle(ServerExchange &exchange);
    void handleHandshake(ServerExchange &exchange);
    void handleNewCall(ServerExchange &exchange);
    void handleResume(ServerExchange &exchange, const std::string &callId);
    void handleCancel(ServerExchange &exchange, const std::string &callId);
    /**
     * Adds the call to the table and passes it to the agent core.
     * \returns the response of the call, or the existing response if a call with this id is already in the table
     */
    std::shared_ptr<ResponseBuffer> accept(const CallHeader &header, std::string body);
    /** Sends the response from `firstPiece` on. While it does so, the response counts as having a reader. */
    void streamResponse(
        ServerExchange &exchange, const std::shared_ptr<ResponseBuffer> &response, std::size_t firstPiece);
    /** Sends frames until the response has ended or the connection is closed. */
    void sendFrames(std::ostream &out, ResponseBuffer &response, std::size_t firstPiece);
    /**
     * RPC method `key_query`: returns the state of an idempotency key at this agent, and the stored response if it is
     * short. Throws UserError if the agent core does not look up the key in time.
     */
    Json::Value queryKey(const Json::Value &parameters);
    /** RPC method `process_status`. */
    Json::Value status();

    Settings m_settings;
    std::shared_ptr<AgentCalls> m_calls;
    std::shared_ptr<AgentLoop> m_loop;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<AdminHandler> m_adminHandler;
    std::unique_ptr<ThreadedHttpServer> m_listener;
    std::atomic<bool> m_shuttingDown{false};
};

}
