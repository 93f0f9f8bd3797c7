/** \file
 * The agent's HTTP side: takes calls from entries and streams their answers back.
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
class ControlPages;
class ServerExchange;
class ThreadedHttpServer;

class AgentDoor : public Service
{
public:
    AgentDoor(const Settings &settings, std::shared_ptr<AgentCalls> calls, std::shared_ptr<AgentLoop> loop,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<ControlPages> pages);
    ~AgentDoor() override;

    void start() override;
    void stop() override;

    /** Refuses handshakes from now on, and waits until no answer is being sent and no announced call may come any more,
     * at most `timeout`. */
    void waitIdle(Duration timeout);

private:
    void handle(ServerExchange &exchange);
    void handleHandshake(ServerExchange &exchange);
    void handleNewCall(ServerExchange &exchange);
    void handleResume(ServerExchange &exchange, const std::string &callId);
    void handleCancel(ServerExchange &exchange, const std::string &callId);
    std::shared_ptr<AnswerBuffer> accept(const CallHeader &header, std::string body);
    void stream(ServerExchange &exchange, const std::shared_ptr<AnswerBuffer> &answer, std::size_t from);
    void sendFrames(std::ostream &out, AnswerBuffer &answer, std::size_t from);
    Json::Value queryKey(const Json::Value &parameters);
    Json::Value status();

    Settings m_settings;
    std::shared_ptr<AgentCalls> m_calls;
    std::shared_ptr<AgentLoop> m_loop;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<ControlPages> m_pages;
    std::unique_ptr<ThreadedHttpServer> m_listener;
    std::atomic<bool> m_leaving{false};
};

}
