/** \file
 * One gateway process.
 */
#include "gateway.h"

#include "clock.h"
#include "eventlog.h"
#include "listreadplan.h"
#include "requestflow.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
/** Reading configuration and endpoints takes some ten milliseconds after a start, a few hundred on the smallest VMs.
 * Callers who return after an outage come just then. */
constexpr Duration FIRST_CONFIGURATION_LIMIT = milliseconds(500);
constexpr Duration HOUSEKEEPING_INTERVAL = milliseconds(1000);
/** How often idle connections are closed while the process stops. */
constexpr Duration STOP_STEP = milliseconds(100);
constexpr std::size_t MOST_TOLD_SUSPICIONS = 8;
/** A connection that is reset is no proof of a crash, so one more than by the agents, which see their engine end. */
constexpr int CRASHES_TO_QUARANTINE = 3;
/** Part of the connections that an endpoint accepts which the gateways share; the rest covers those still closing. */
constexpr double CONNECTION_SHARE = 0.8;
constexpr int LEAST_CONNECTIONS = 4;

}

Gateway::Gateway(
    EventLoop &loop, const GatewaySettings &settings, const MessageCodec &messages, const StoreCodec &store)
    : m_loop(loop)
    , m_settings(settings)
    , m_messages(messages)
    , m_placement(settings.placement, settings.failureDomain)
    , m_pool(loop)
    , m_retries(settings.retries)
    , m_quarantine(CRASHES_TO_QUARANTINE)
    , m_random(std::random_device{}())
    , m_callers(loop, settings.callers,
          [this](const auto &connection, ReceivedRequest &request) { handleCaller(connection, std::move(request)); })
    , m_readiness(
          loop, settings.readiness, [this](const auto &connection, ReceivedRequest &) { handleReadiness(connection); })
    , m_metricsPage(
          loop, settings.metrics, [this](const auto &connection, ReceivedRequest &) { handleMetrics(connection); })
    , m_store(loop, store, settings.store, *this)
    , m_peers(settings.name)
    , m_peerLink(
          loop, settings.peers, m_peers, [this] { return makeDigest(); }, *this)
    , m_registration(loop, store, settings.store, settings.name, settings.peers,
          [this](const Address &address) { m_peers.addContact(address, m_loop.now()); })
    , m_incarnation(static_cast<std::uint64_t>(currentTime().time_since_epoch().count()))
{
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    m_startedAt = m_loop.now();
    m_loop.callAfter(FIRST_CONFIGURATION_LIMIT, [this] { resumeEarly(); });
    m_store.start();
    m_registration.start();
    m_peerLink.start();
    housekeep();
}

int Gateway::gateways() const
{
    const int known = static_cast<int>(m_peers.livePeerCount()) + 1;
    // Peers that can't be heard still use their parts.
    m_mostGateways = std::max(m_mostGateways, known);
    return m_peers.livePeerCount() == 0 ? std::max(m_mostGateways, m_settings.assumedGateways) : m_mostGateways;
}

PeerDigest Gateway::makeDigest()
{
    PeerDigest out;
    out.name = m_settings.name;
    out.incarnation = m_incarnation;
    out.sequence = ++m_digests;
    out.configurationRevision = m_store.configurationRevision();
    out.demand = m_placement.split().ownDemand(m_loop.now());
    for (const auto &[id, standing] : m_standings) {
        if (standing.inFlight() > 0) {
            out.shares.push_back({endpointHash(id), static_cast<std::uint16_t>(std::min(standing.inFlight(), 65535)),
                static_cast<std::uint32_t>(standing.pendingPrefillTokens())});
        }
    }
    out.suspicions = m_quarantine.suspects(m_loop.now(), MOST_TOLD_SUSPICIONS);
    return out;
}

void Gateway::digestHeard(const PeerDigest &digest)
{
    m_placement.split().setPeerDemand(m_peers.demand());
    m_store.setHasPeers(true);
    m_store.noteConfigurationElsewhere(digest.configurationRevision);
    for (const auto &suspicion : digest.suspicions) {
        m_quarantine.merge(suspicion, m_loop.now());
    }
}

void Gateway::reload(const GatewaySettings &settings)
{
    if (!(settings.store == m_settings.store)) {
        m_store.setAddress(settings.store);
    }
    m_settings.store = settings.store;
    m_settings.stopGrace = settings.stopGrace;
    m_settings.assumedGateways = settings.assumedGateways;
}

void Gateway::beginStop()
{
    m_stop.emplace(m_loop.now(), m_settings.stopGrace);
    m_callers.beginDrain();
    LogEvent("stopping").field("busy_connections", static_cast<long long>(m_callers.busyConnections()));
    stepStop();
}

void Gateway::stepStop()
{
    if (m_stop->closesIdleConnections(m_loop.now())) {
        m_callers.closeIdle();
    }
    m_loop.callAfter(STOP_STEP, [this] { stepStop(); });
}

bool Gateway::accepts(Duration longest) const
{
    return !m_stop || m_stop->accepts(longest, m_loop.now());
}

bool Gateway::isStopped() const
{
    return m_stop && m_stop->isOver(m_callers.busyConnections(), m_loop.now());
}

int Gateway::connectionLimit(const std::string &service) const
{
    const ServiceProfile *profile = m_configuration ? m_configuration->findService(service) : nullptr;
    if (profile == nullptr) {
        return LEAST_CONNECTIONS;
    }
    return std::max(LEAST_CONNECTIONS, static_cast<int>(CONNECTION_SHARE * profile->maxConnections / gateways()));
}

double Gateway::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool Gateway::isReady() const
{
    return m_configuration && m_endpoints.readAt() && !m_stop;
}

void Gateway::noteReady()
{
    LogEvent("ready").field("waiting_requests", static_cast<long long>(m_early.size()));
    resumeEarly();
}

bool Gateway::awaitsFirstConfiguration() const
{
    return !isReady() && !m_stop && m_loop.now() - m_startedAt < FIRST_CONFIGURATION_LIMIT;
}

void Gateway::resumeWhenReady(RequestFlow *flow)
{
    m_early.push_back(m_flows.at(flow));
}

void Gateway::resumeEarly()
{
    const auto early = std::move(m_early);
    m_early.clear();
    for (const auto &item : early) {
        if (const auto flow = item.lock()) {
            flow->resume();
        }
    }
}

void Gateway::handleCaller(const HttpServerConnectionPtr &connection, ReceivedRequest request)
{
    const auto flow = std::make_shared<RequestFlow>(*this, connection, std::move(request));
    m_flows.emplace(flow.get(), flow);
    flow->start();
}

void Gateway::remove(RequestFlow *flow)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end()) {
        m_loop.callAt(m_loop.now(), [kept = found->second] {});
        m_flows.erase(found);
    }
}

void Gateway::handleReadiness(const HttpServerConnectionPtr &connection)
{
    connection->sendAnswer({isReady() ? OK : UNAVAILABLE, "", {}}, isReady() ? "ready\n" : "not ready\n");
}

void Gateway::handleMetrics(const HttpServerConnectionPtr &connection)
{
    HttpResponseHead head{OK, "", {}};
    head.fields.add("Content-Type", "text/plain; version=0.0.4");
    connection->sendAnswer(std::move(head), m_metrics.render());
}

void Gateway::housekeep()
{
    const TimePoint now = m_loop.now();
    m_pool.expire(now);
    m_store.setHasPeers(m_peers.livePeerCount() > 0);
    m_quarantine.expire(now);
    m_metrics.set("cyclamenturn_store_calls", {}, static_cast<double>(m_store.calls()));
    m_metrics.set("cyclamenturn_endpoint_connections_opened", {}, static_cast<double>(m_pool.opened()));
    m_metrics.set("cyclamenturn_caller_connections", {}, static_cast<double>(m_callers.connections()));
    m_metrics.set("cyclamenturn_log_lines_dropped", {}, static_cast<double>(droppedLogLines()));
    if (const std::size_t suppressed = m_logBudget.takeSuppressed()) {
        m_metrics.count("cyclamenturn_log_lines_suppressed", {}, static_cast<double>(suppressed));
        LogEvent("log_lines_suppressed").field("lines", static_cast<long long>(suppressed));
    }
    m_loop.callAfter(HOUSEKEEPING_INTERVAL, [this] { housekeep(); });
}

void Gateway::configurationRead(RoutingConfigurationPtr configuration, std::uint64_t revision)
{
    const bool wasReady = isReady();
    m_configuration = std::move(configuration);
    const CallerLimits &limits = m_configuration->limits();
    HttpServerLimits server;
    server.message = {limits.headerBytes, limits.bodyBytes};
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    m_callers.setLimits(server);
    m_metrics.set("cyclamenturn_configuration_version", {}, static_cast<double>(m_configuration->version()));
    LogEvent("configuration_in_force")
        .field("version", static_cast<long long>(m_configuration->version()))
        .field("revision", static_cast<long long>(revision))
        .field("routes", static_cast<long long>(m_configuration->routes().size()));
    if (!wasReady && isReady()) {
        noteReady();
    }
}

void Gateway::endpointsRead(const std::vector<EndpointRecord> &list, std::uint64_t revision)
{
    const TimePoint now = m_loop.now();
    m_metrics.count("cyclamenturn_endpoint_lists", {{"from", "store"}});
    m_list.replace(list, revision, now);
    if (const auto news = encodeListUpdate(m_list.recentChanges(now))) {
        m_peerLink.broadcast(*news);
    }
    believeList();
}

void Gateway::listNewsHeard(const EndpointListUpdate &news)
{
    if (!m_list.merge(news, m_loop.now())) {
        m_metrics.count("cyclamenturn_endpoint_lists", {{"from", "peer_unusable"}});
        return;
    }
    m_metrics.count("cyclamenturn_endpoint_lists", {{"from", "peer"}});
    m_store.noteEndpointsReadElsewhere();
    believeList();
}

Duration Gateway::listReadWait()
{
    return listReadDelay(m_settings.listInterval, static_cast<int>(m_peers.livePeerCount()) + 1, draw());
}

void Gateway::believeList()
{
    const bool wasReady = isReady();
    for (const auto &change : m_endpoints.apply(m_list.records(), m_list.revision(), m_loop.now())) {
        const std::string &id = change.record.id;
        switch (change.kind) {
        case EndpointChange::Kind::Added:
            logChange("endpoint_added", change.record);
            break;
        case EndpointChange::Kind::Restarted:
            logChange("endpoint_restarted", change.record);
            m_pool.dropIdle(id);
            m_standings.erase(id);
            break;
        case EndpointChange::Kind::Leaving:
            logChange("endpoint_leaving", change.record);
            m_pool.dropIdle(id);
            break;
        case EndpointChange::Kind::Removed:
            logChange("endpoint_gone", change.record);
            m_pool.dropIdle(id);
            m_standings.erase(id);
            break;
        }
    }
    if (!wasReady && isReady()) {
        noteReady();
    }
}

void Gateway::logChange(const char *event, const EndpointRecord &record) const
{
    LogEvent(event)
        .field("endpoint", record.id)
        .field("service", record.service)
        .field("address", toString(record.address))
        .field("revision", static_cast<long long>(m_list.revision()));
}

void Gateway::endpointsReadFailed()
{
    m_endpoints.noteReadFailed();
}

}
