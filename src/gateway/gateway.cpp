/** \file
 * One gateway process: its servers, its link to the store and its exchange with the other gateways.
 */
#include "gateway.h"

#include "admitrequest.h"
#include "clock.h"
#include "eventlog.h"
#include "listreadplan.h"
#include "requestflow.h"

#include <algorithm>
#include <utility>

namespace Cyclamenturn
{

namespace
{

/** Requests wait this long after a start for the first configuration. Reading configuration and endpoints takes some
 * ten milliseconds, and a few hundred on the smallest VMs. Callers that retry after an outage arrive in this time. */
constexpr Duration FIRST_CONFIGURATION_TIMEOUT = milliseconds(500);
/** All gateways register again after a restoration of the store, with two writes each. At this rate they take half of
 * the 400 writes per second that the platform's store accepts. */
constexpr Duration REGISTRATION_SPREAD_PER_GATEWAY = milliseconds(10);
constexpr Duration HOUSEKEEPING_INTERVAL = milliseconds(1000);
/** Interval at which idle caller connections are closed while the process stops. */
constexpr Duration STOP_STEP_INTERVAL = milliseconds(100);
/** A reset connection doesn't prove a crash, so this is one more than the agents' limit: they see their engine exit. */
constexpr int CRASHES_TO_QUARANTINE = 3;
/** Share of the connections accepted by an endpoint that the gateways use; the rest covers connections still
 * closing. */
constexpr double CONNECTION_SHARE = 0.8;
constexpr int MIN_CONNECTIONS = 4;

}

Gateway::Gateway(
    EventLoop &loop, const GatewaySettings &settings, const MessageCodec &messages, const StoreCodec &store)
    : m_loop(loop)
    , m_settings(settings)
    , m_messages(messages)
    , m_placement(settings.placement, settings.failureDomain)
    , m_pool(loop, [this](const std::string &endpointId) { unexpectedDataReceived(endpointId); })
    , m_requestMemory(std::make_shared<RequestMemory>(
          RequestMemory::capacityOf(static_cast<std::size_t>(settings.memoryMegabytes))))
    , m_retries(settings.retries)
    , m_quarantine(CRASHES_TO_QUARANTINE, CrashQuarantine::QUARANTINE_TIME)
    , m_random(std::random_device{}())
    , m_callerServer(
          loop, settings.callers,
          [this](const auto &connection, ReceivedRequest &request) { handleCaller(connection, std::move(request)); },
          m_requestMemory)
    , m_readinessServer(
          loop, settings.readiness, [this](const auto &connection, ReceivedRequest &) { handleReadiness(connection); },
          m_requestMemory)
    , m_metricsServer(
          loop, settings.metrics, [this](const auto &connection, ReceivedRequest &) { handleMetrics(connection); },
          m_requestMemory)
    , m_store(loop, store, settings.store, *this)
    , m_peers(settings.name)
    , m_engineModels(settings.placement.engine, settings.placement.engineEstimates, m_peers)
    , m_peerLink(
          loop, settings.peers, m_peers, [this] { return makeDigest(); }, *this)
    , m_parts(loop, m_peerLink, m_metrics, [this] { withdrawQuarantinedPrompts(); })
    , m_permits(loop, settings.name, m_peers, m_peerLink, m_metrics)
    , m_statements(m_permits, m_metrics)
    , m_streams(loop, settings.name, m_peers, m_peerLink, m_metrics, *this)
    , m_registration(loop, store, settings.store, settings.name, settings.peers,
          [this](const auto &name, const Address &address) { m_peers.addContact(name, address, m_loop.now()); })
    , m_startTimeOfDay(currentTime())
{
    m_peerLink.setEvidenceSource([this] { return m_parts.roundMessage(); });
    makeUsageDuty(store);
    m_callerServer.setRejectionHandler([this](const RejectedRequest &request) { return handleRejection(request); });
    m_callerServer.setLimitHandler([this](const char *limit) { connectionClosedAtLimit(limit); });
    limitServers();
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    m_startedAt = m_loop.now();
    m_loop.callAfter(FIRST_CONFIGURATION_TIMEOUT, [this] { resumeWaitingFlows(); });
    m_store.start();
    m_registration.start();
    m_peerLink.start();
    m_parts.start();
    m_permits.start();
    m_streams.start();
    startUsage();
    housekeep();
}

int Gateway::gatewayCount() const
{
    const int known = static_cast<int>(m_peers.livePeerCount()) + 1;
    // Peers whose digests don't arrive still use their part of the limits, so the count never goes down.
    m_maxGateways = std::max(m_maxGateways, known);
    return m_peers.livePeerCount() == 0 ? std::max(m_maxGateways, m_settings.assumedGateways) : m_maxGateways;
}

std::optional<VersionKey> Gateway::soleVersion(ServiceKey service, Duration span) const
{
    return m_versions.soleVersion(service, span, m_loop.now());
}

void Gateway::refreshList(std::function<void(bool isRead)> handler)
{
    m_store.readListFor(std::move(handler));
}

void Gateway::readList(std::function<void(bool isRead)> handler)
{
    m_store.readListFor(std::move(handler));
}

void Gateway::forEachFlow(const std::function<void(RequestFlow &flow)> &function)
{
    // A request that ends removes itself from m_flows.
    std::vector<std::shared_ptr<RequestFlow>> flows;
    for (const auto &[key, flow] : m_flows) {
        flows.push_back(flow);
    }
    for (const auto &flow : flows) {
        function(*flow);
    }
}

void Gateway::withdrawQuarantinedPrompts()
{
    forEachFlow([](RequestFlow &flow) { flow.withdrawIfQuarantined(); });
}

ConfigurationDoubt Gateway::configurationDoubt() const
{
    const ConfigurationSelection &selection = m_store.configurationSelection();
    ConfigurationKnowledge knowledge;
    knowledge.version = selection.version();
    knowledge.confirmedAt = m_store.configurationConfirmedAt();
    knowledge.newestPeerVersion = m_peers.newestConfigurationVersion();
    knowledge.isDecoding = m_store.isDecoding();
    knowledge.isLatestUnreadable = selection.isLatestUnreadable();
    knowledge.isOlderInStore = selection.hasDeferred();
    return doubtConfiguration(knowledge, m_settings.confirmationTimeout, m_loop.now());
}

bool Gateway::isCatchingUp() const
{
    return m_configuration && !m_hasCaughtUp
        && m_peers.newestConfigurationVersion() > m_store.configurationSelection().version();
}

void Gateway::noteCaughtUp()
{
    if (m_configuration && m_peers.livePeerCount() > 0 && !isCatchingUp()) {
        m_hasCaughtUp = true;
    }
}

void Gateway::recheckConfiguration()
{
    if (!m_store.isDecoding()) {
        m_store.recheckConfiguration("refusal_in_doubt");
    }
}

void Gateway::reload(const GatewaySettings &settings)
{
    if (!(settings.store == m_settings.store)) {
        m_list.forgetRevision();
        m_endpoints.forgetRevision();
        m_store.setAddress(settings.store);
        m_registration.setStore(settings.store);
        if (m_usageDuty) {
            m_usageDuty->setStore(settings.store);
        }
    }
    m_settings.store = settings.store;
    m_settings.stopGrace = settings.stopGrace;
    m_settings.assumedGateways = settings.assumedGateways;
    m_settings.confirmationTimeout = settings.confirmationTimeout;
}

void Gateway::beginStop()
{
    m_stop.emplace(m_loop.now(), m_settings.stopGrace);
    m_callerServer.beginDrain();
    m_streams.beginStop();
    if (m_usage) {
        m_usage->beginStop();
    }
    if (m_usageDuty) {
        m_usageDuty->beginStop();
    }
    forEachFlow([](RequestFlow &flow) { flow.limitToStop(); });
    LogEvent("stopping").field("busy_connections", static_cast<long long>(m_callerServer.busyConnectionCount()));
    continueStop();
}

void Gateway::continueStop()
{
    if (m_stop->closesIdleConnections(m_loop.now())) {
        m_callerServer.closeIdleConnections();
    }
    m_loop.callAfter(STOP_STEP_INTERVAL, [this] { continueStop(); });
}

bool Gateway::accepts(Duration maxDuration, bool isRepeatable) const
{
    return !m_stop || m_stop->accepts(maxDuration, isRepeatable, m_loop.now());
}

std::optional<TimePoint> Gateway::endOfAnswers() const
{
    return m_stop ? std::optional<TimePoint>(m_stop->endOfAnswers()) : std::nullopt;
}

bool Gateway::isStopped() const
{
    return m_stop && m_stop->isOver(m_callerServer.unfinishedConnectionCount(), m_loop.now());
}

int Gateway::connectionLimit(const std::string &service) const
{
    const ServiceProfile *profile = m_configuration ? m_configuration->findService(service) : nullptr;
    if (profile == nullptr) {
        return MIN_CONNECTIONS;
    }
    return std::max(MIN_CONNECTIONS, static_cast<int>(CONNECTION_SHARE * profile->maxConnections / gatewayCount()));
}

double Gateway::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool Gateway::isReady() const
{
    return m_configuration && m_endpoints.readAt() && !m_stop;
}

void Gateway::becomeReady()
{
    LogEvent("ready").field("waiting_requests", static_cast<long long>(m_waitingFlows.size()));
    resumeWaitingFlows();
}

bool Gateway::awaitsFirstConfiguration() const
{
    return !isReady() && !m_stop && m_loop.now() - m_startedAt < FIRST_CONFIGURATION_TIMEOUT;
}

void Gateway::resumeWhenReady(RequestFlow *flow)
{
    m_waitingFlows.push_back(m_flows.at(flow));
}

void Gateway::resumeWaitingFlows()
{
    const auto waitingFlows = std::move(m_waitingFlows);
    m_waitingFlows.clear();
    for (const auto &item : waitingFlows) {
        if (const auto flow = item.lock()) {
            flow->resume();
        }
    }
}

void Gateway::remove(RequestFlow *flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        return;
    }
    if (m_endedFlows.empty()) {
        m_loop.callAt(m_loop.now(), [this] { std::exchange(m_endedFlows, {}); });
    }
    m_endedFlows.push_back(std::move(found->second));
    m_flows.erase(found);
}

void Gateway::housekeep()
{
    const TimePoint now = m_loop.now();
    reportLoopLoad();
    m_pool.expire(now);
    m_quarantine.expire(now);
    m_permits.expire();
    m_statements.expire(m_endpoints, now);
    m_streams.expire();
    m_incarnations.expire(now);
    m_metrics.set("cyclamenturn_endpoints_not_as_listed", {}, static_cast<double>(m_incarnations.statedCount()));
    reportPeers();
    reportEngines();
    attendUsageDuty();
    m_metrics.set("cyclamenturn_response_memory_bytes", {}, static_cast<double>(m_responseMemory.used()));
    reportRequestMemory();
    for (const auto &[kind, calls] : m_store.calls()) {
        m_metrics.set("cyclamenturn_store_calls", {{"kind", kind}}, static_cast<double>(calls));
    }
    for (const auto &[kind, calls] : m_registration.calls()) {
        m_metrics.set("cyclamenturn_store_calls", {{"kind", kind}}, static_cast<double>(calls));
    }
    m_metrics.set("cyclamenturn_endpoint_connections_opened", {}, static_cast<double>(m_pool.opened()));
    m_metrics.set("cyclamenturn_caller_connections", {}, static_cast<double>(m_callerServer.connectionCount()));
    m_metrics.set("cyclamenturn_log_lines_dropped", {}, static_cast<double>(droppedLogLines()));
    if (const std::size_t suppressed = m_logBudget.takeSuppressed()) {
        m_metrics.count("cyclamenturn_log_lines_suppressed", {}, static_cast<double>(suppressed));
        LogEvent("log_lines_suppressed").field("lines", static_cast<long long>(suppressed));
    }
    m_loop.callAfter(HOUSEKEEPING_INTERVAL, [this] { housekeep(); });
}

void Gateway::configurationRead(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin)
{
    const bool wasReady = isReady();
    m_configuration = std::move(configuration);
    noteCaughtUp();
    const CallerLimits &limits = m_configuration->limits();
    HttpServerLimits server = m_callerServer.limits();
    server.message = {limits.headerBytes, limits.bodyBytes};
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    m_callerServer.setLimits(server);
    m_metrics.set("cyclamenturn_configuration_version", {}, static_cast<double>(m_configuration->version()));
    LogEvent("configuration_in_force")
        .field("version", static_cast<long long>(m_configuration->version()))
        .field("revision", static_cast<long long>(origin.revision.revision))
        .field("era", static_cast<long long>(origin.revision.era))
        .field("source", origin.source)
        .field("routes", static_cast<long long>(m_configuration->routes().size()));
    if (!wasReady && isReady()) {
        becomeReady();
    }
}

void Gateway::endpointsRead(const std::vector<EndpointRecord> &list, const StoreRevision &revision)
{
    const TimePoint now = m_loop.now();
    m_metrics.count("cyclamenturn_endpoint_lists", {{"from", "store"}});
    m_list.replace(list, revision, now);
    if (const auto update = encodeListUpdate(m_list.recentChanges(now))) {
        m_peerLink.broadcast(*update);
    }
    applyEndpointList();
}

Duration Gateway::delayUntilListRead()
{
    return listReadDelay(m_settings.listInterval, static_cast<int>(m_peers.livePeerCount()) + 1, randomFraction());
}

Duration Gateway::configurationWatchDuration()
{
    return Cyclamenturn::configurationWatchDuration(static_cast<int>(m_peers.livePeerCount()) + 1, randomFraction());
}

Duration Gateway::storeRetryDelay()
{
    return Cyclamenturn::storeRetryDelay(static_cast<int>(m_peers.livePeerCount()) + 1, randomFraction());
}

void Gateway::applyEndpointList()
{
    if (m_list.generation() == m_appliedList && m_endpoints.confirm(m_list.revision(), m_loop.now())) {
        m_versions.confirm(m_loop.now());
        return;
    }
    m_appliedList = m_list.generation();
    const bool wasReady = isReady();
    const std::vector<EndpointRecord> records = m_list.records();
    m_versions.update(records, m_loop.now());
    m_incarnations.noteListed(records, m_loop.now());
    for (const auto &change : m_endpoints.apply(records, m_list.revision(), m_loop.now())) {
        const std::string &id = change.record.id;
        switch (change.kind) {
        case EndpointChange::Kind::Added:
            logChange("endpoint_added", change.record);
            break;
        case EndpointChange::Kind::Restarted:
            logChange("endpoint_restarted", change.record);
            m_quarantine.noteEndpointEnded(change.previous.incarnationName(), m_loop.now());
            m_parts.quarantine().noteEndpointEnded(change.previous.incarnationName(), m_loop.now());
            m_permits.forget(change.previous.incarnationName());
            m_pool.closeFormerConnections(m_incarnations.current(change.record));
            m_statistics.erase(id);
            break;
        case EndpointChange::Kind::Leaving:
            logChange("endpoint_leaving", change.record);
            m_pool.closeIdleConnections(id);
            break;
        case EndpointChange::Kind::Removed:
            logChange("endpoint_gone", change.record);
            m_parts.quarantine().noteEndpointEnded(change.record.incarnationName(), m_loop.now());
            m_permits.forget(change.record.incarnationName());
            m_pool.closeIdleConnections(id);
            m_statistics.erase(id);
            break;
        }
    }
    if (!wasReady && isReady()) {
        becomeReady();
    }
}

void Gateway::unexpectedDataReceived(const std::string &endpointId)
{
    LogEvent("unexpected_data", LogEvent::Level::Warning).field("endpoint", endpointId);
    m_metrics.count("cyclamenturn_unbounded_responses", {{"where", "idle"}});
    m_statistics[endpointId].noteResult(EndpointResult::Unbounded, m_loop.now());
}

void Gateway::logChange(const char *event, const EndpointRecord &record) const
{
    LogEvent(event)
        .field("endpoint", record.id)
        .field("service", record.service)
        .field("version", record.version)
        .field("version_key", versionText(versionKey(record)))
        .field("incarnation", record.incarnationName())
        .field("started_at_ms", static_cast<long long>(record.startedAtMs))
        .field("address", toString(record.address))
        .field("revision", static_cast<long long>(m_list.revision().revision))
        .field("era", static_cast<long long>(m_list.revision().era));
}

void Gateway::storeRestored()
{
    attendUsageDuty();
    const Duration spread = gatewayCount() * REGISTRATION_SPREAD_PER_GATEWAY;
    m_registration.registerAgain(
        Duration(static_cast<std::int64_t>(randomFraction() * static_cast<double>(spread.count()))));
}

void Gateway::endpointsReadFailed()
{
    m_endpoints.noteReadFailed();
}

}
