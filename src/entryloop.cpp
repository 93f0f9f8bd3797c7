/** \file
 * The event loop and the heartbeat thread of an entry.
 */
#include "entryloop.h"

#include "clock.h"
#include "configurationservice.h"
#include "errors.h"
#include "eventlog.h"
#include "fleetkey.h"
#include "httpexchange.h"
#include "jsoncodec.h"
#include "metrics.h"
#include "rendezvoushash.h"

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t RING_SIZE = 16384;
constexpr std::size_t HEARTBEAT_RING_SIZE = 16;
/** A request has at most one unfinished action. The remaining space is for actions that arrive late. */
constexpr std::size_t MAILBOX_SIZE = 4;
constexpr Duration POLL_INTERVAL = milliseconds(100);
constexpr Duration PUBLISH_INTERVAL = milliseconds(500);
constexpr HttpTimeouts HEARTBEAT_TIMEOUTS{milliseconds(300), milliseconds(300)};
constexpr int HTTP_OK = 200;

}

EntryLoop::EntryLoop(const Settings &settings, std::shared_ptr<ConfigurationService> configuration,
    std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<Metrics> metrics)
    : m_settings(settings)
    , m_configuration(std::move(configuration))
    , m_fleetKey(std::move(fleetKey))
    , m_metrics(std::move(metrics))
    , m_core(settings.entryPolicy, settings.failureDomain, contentHash(settings.name))
    , m_events(RING_SIZE)
    , m_heartbeats(HEARTBEAT_RING_SIZE)
    , m_endpointsStatus(Json::arrayValue)
{
}

EntryLoop::~EntryLoop() = default;

void EntryLoop::start()
{
    m_configuration->subscribe(
        [this](FleetConfigurationPtr configuration) { report(EntryConfigurationApplied{std::move(configuration)}); });
    m_thread = std::thread([this] { processEvents(); });
    m_heartbeatThread = std::thread([this] { sendHeartbeats(); });
}

void EntryLoop::stop()
{
    m_events.close();
    m_heartbeats.close();
    m_thread.join();
    m_heartbeatThread.join();
}

std::shared_ptr<RequestMailbox> EntryLoop::admit(const Call &call)
{
    auto mailbox = std::make_shared<RequestMailbox>(MAILBOX_SIZE);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_mailboxes.emplace(call.id, mailbox);
    }
    if (m_events.tryPush(CallAdmitted{call})) {
        return mailbox;
    }
    closeMailbox(call.id);
    return nullptr;
}

void EntryLoop::report(EntryEvent event)
{
    m_events.pushBlocking(std::move(event));
}

void EntryLoop::closeMailbox(const std::string &callId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_mailboxes.erase(callId);
}

Json::Value EntryLoop::endpointsStatus() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_endpointsStatus;
}

void EntryLoop::processEvents()
{
    TimePoint lastTick;
    while (!m_events.isClosed()) {
        const auto event = m_events.pop(EntryCore::TICK_INTERVAL);
        const TimePoint now = currentTime();
        if (event) {
            for (const auto &action : m_core.handle(*event, now)) {
                perform(action);
            }
        }
        if (now - lastTick >= EntryCore::TICK_INTERVAL) {
            lastTick = now;
            for (const auto &action : m_core.handle(EntryTick(), now)) {
                perform(action);
            }
        }
        if (now - m_lastPublished >= PUBLISH_INTERVAL) {
            publishStatus(now);
        }
    }
}

void EntryLoop::perform(const EntryAction &action)
{
    if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action)) {
        if (!m_heartbeats.tryPush(*heartbeat)) {
            m_metrics->count("cyclamenturn_heartbeats_skipped_total");
        }
        return;
    }
    const std::string callId = std::visit(
        [](const auto &item) {
            if constexpr (std::is_same_v<std::decay_t<decltype(item)>, SendHeartbeat>) {
                return std::string();
            } else {
                return item.callId;
            }
        },
        action);
    std::shared_ptr<RequestMailbox> mailbox;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_mailboxes.find(callId);
        if (it == m_mailboxes.end()) {
            return;
        }
        mailbox = it->second;
    }
    if (!mailbox->tryPush(action)) {
        throw InternalError("a request has more unfinished actions than its mailbox holds");
    }
}

void EntryLoop::publishStatus(TimePoint now)
{
    m_lastPublished = now;
    Json::Value status(Json::arrayValue);
    for (const auto &[name, view] : m_core.membership().views()) {
        Json::Value item;
        item["endpoint"] = name;
        item["service"] = view.spec.service;
        item["failure_domain"] = view.spec.failureDomain;
        item["address"] = view.spec.host + ":" + std::to_string(view.spec.port);
        item["state"] = toString(m_core.membership().state(view, now));
        item["revision"] = Json::UInt64(view.status.revision);
        item["running"] = view.status.running;
        item["queued"] = view.status.queued;
        item["slots"] = view.spec.slots;
        status.append(item);
    }
    for (const auto &[reason, count] : m_core.retries()) {
        m_metrics->set("cyclamenturn_retries", {{"reason", toString(reason)}}, static_cast<double>(count));
    }
    m_metrics->set("cyclamenturn_entry_in_progress", {}, static_cast<double>(m_core.inProgress()));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_endpointsStatus = std::move(status);
}

void EntryLoop::sendHeartbeats()
{
    while (!m_heartbeats.isClosed()) {
        if (const auto heartbeat = m_heartbeats.pop(POLL_INTERVAL)) {
            sendHeartbeat(*heartbeat);
        }
    }
}

void EntryLoop::sendHeartbeat(const SendHeartbeat &heartbeat)
{
    const Address address{heartbeat.host, heartbeat.port};
    HttpRequest request;
    request.path = "/v1/handshake";
    request.headers["Authorization"] = "Bearer " + m_fleetKey->current();
    request.headers["X-From"] = toString(m_settings.advertised);
    request.headers["X-Revision"] = std::to_string(m_configuration->revision());
    m_metrics->count("cyclamenturn_heartbeats_total");
    try {
        const HttpResponse response = httpExchange(address, request, HEARTBEAT_TIMEOUTS);
        if (response.status != HTTP_OK) {
            throw ExchangeBrokenError("HTTP status " + std::to_string(response.status));
        }
        const auto agentStatus = AgentStatus::fromJson(parseJson(response.body));
        m_configuration->handleRemoteRevision(address, agentStatus.revision);
        report(AgentReportReceived{agentStatus});
    } catch (const std::runtime_error &error) {
        report(HeartbeatFailed{heartbeat.endpoint});
    }
}

}
