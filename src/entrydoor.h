/** \file
 * The entry's HTTP side: takes callers' requests and carries out what the core decides for each.
 */
#pragma once

#include "admission.h"
#include "agentlink.h"
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
class ControlPages;
class FleetKey;
class ServerExchange;
class ThreadedHttpServer;
class Metrics;

class EntryDoor : public Service
{
public:
    EntryDoor(const Settings &settings, std::shared_ptr<EntryLoop> loop,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey,
        std::shared_ptr<ControlPages> pages, std::shared_ptr<Metrics> metrics);
    ~EntryDoor() override;

    void start() override;
    void stop() override;

    /** Fails the readiness check, so that the balancer sends no new callers; goes on serving. */
    void announceLeaving();
    /** Closes the door and waits for the requests in progress. Returns true when all have ended. */
    bool drain(Duration timeout);

private:
    /** One request while its thread works on it. */
    struct Progress
    {
        Call call;
        CallerRequest request;
        std::string contentType;
        ServiceKind kind = ServiceKind::Plain;
        CallerReply reply;
        /** Delivered to the caller so far; the next endpoint goes on from here. */
        std::string delivered;
        std::size_t pieces = 0;
        TimePoint arrivedAt;
        bool firstPieceSeen = false;
        bool callerGone = false;
    };

    void handle(ServerExchange &exchange);
    void handleCall(ServerExchange &exchange, const std::string &service);
    void refuse(ServerExchange &exchange, const CallerRequest &request, const Outcome &outcome);
    void serve(ServerExchange &exchange, Progress &progress);
    AttemptEnded attempt(ServerExchange &exchange, Progress &progress, const SendAttempt &action);
    AttemptSink makeSink(ServerExchange &exchange, Progress &progress, const Address &agent);
    std::string bodyFor(const Progress &progress) const;
    void finish(ServerExchange &exchange, Progress &progress, const Outcome &outcome);
    /** Throws UserError when the body of a chat completion has another form. */
    CallerReply makeReply(const CallerRequest &request, ServiceKind kind) const;
    std::string nextId();
    Json::Value status();

    Settings m_settings;
    std::shared_ptr<EntryLoop> m_loop;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<FleetKey> m_fleetKey;
    std::shared_ptr<ControlPages> m_pages;
    std::shared_ptr<Metrics> m_metrics;
    std::unique_ptr<ThreadedHttpServer> m_listener;
    std::atomic<bool> m_leaving{false};
    std::atomic<std::uint64_t> m_nextId{0};
    /** Makes the ids of two lives of one entry differ. */
    std::uint64_t m_incarnation;
};

}
