/** \file
 * Sending and receiving of counts.
 */
#include "usageexchange.h"

#include "clock.h"
#include "eventlog.h"

namespace Cyclamenturn
{

namespace
{

/** Missing gateways named in a log line. */
constexpr std::size_t MAX_NAMES_LOGGED = 8;

}

UsageExchange::UsageExchange(EventLoop &loop, const std::string &ownName, std::uint64_t incarnation,
    Duration windowLength, PeerView &peers, PeerLink &link, Metrics &metrics)
    : m_loop(loop)
    , m_peers(peers)
    , m_link(link)
    , m_metrics(metrics)
    , m_protocol(ownName, incarnation, windowLength)
{
}

UsageExchange::~UsageExchange()
{
    m_loop.cancel(m_timer);
}

UsageClock UsageExchange::clock() const
{
    return {m_loop.now(), currentTime()};
}

void UsageExchange::start()
{
    tick();
}

void UsageExchange::count(const std::string &team)
{
    m_protocol.count(team, clock());
    m_metrics.count("cyclamenturn_usage_requests");
}

void UsageExchange::beginStop()
{
    m_protocol.beginStop();
}

void UsageExchange::finishStop()
{
    send(m_protocol.finishStop(m_peers.liveNames(), clock()));
}

void UsageExchange::tick()
{
    send(m_protocol.tick(m_peers.liveNames(), clock()));
    m_metrics.set("cyclamenturn_usage_entries", {}, static_cast<double>(m_protocol.table().entryCount()));
    m_timer = m_loop.callAfter(UsageProtocol::TICK, [this] { tick(); });
}

void UsageExchange::send(const std::vector<UsageMessage> &messages)
{
    for (const UsageMessage &message : messages) {
        const auto address = m_peers.addressOf(message.to);
        if (!address) {
            continue;
        }
        if (const auto *query = std::get_if<UsageQuery>(&message.content)) {
            send(encodeUsageQuery(*query), *address, "query");
        } else {
            send(std::get<UsageStatement>(message.content), *address, "copy");
        }
    }
}

void UsageExchange::send(const UsageStatement &statement, const Address &to, const char *kind)
{
    for (const std::string &bytes : encodeUsageCounts(statement)) {
        send(bytes, to, kind);
    }
}

void UsageExchange::send(const std::string &bytes, const Address &to, const char *kind)
{
    m_link.send(bytes, to);
    m_metrics.count("cyclamenturn_usage_datagrams_sent", {{"kind", kind}});
    m_metrics.count("cyclamenturn_usage_bytes_sent", {{"kind", kind}}, static_cast<double>(bytes.size()));
}

void UsageExchange::queryReceived(const UsageQuery &query, const Address &from)
{
    const std::string formerHolder = m_protocol.holder();
    const std::uint64_t formerToken = m_protocol.holderToken();
    const std::vector<UsageStatement> answers = m_protocol.answer(query, clock());
    if (formerHolder != m_protocol.holder() || formerToken != m_protocol.holderToken()) {
        LogEvent("usage_holder_heard")
            .field("holder", m_protocol.holder())
            .field("token", static_cast<long long>(m_protocol.holderToken()))
            .field("former", formerHolder);
    }
    for (const UsageStatement &statement : answers) {
        send(statement, from, "answer");
    }
}

void UsageExchange::countsReceived(const UsageStatement &statement)
{
    if (!m_protocol.receive(statement, clock())) {
        m_metrics.count("cyclamenturn_usage_statements_refused");
    }
}

void UsageExchange::begin(std::uint64_t fencingToken)
{
    m_protocol.begin(fencingToken);
}

void UsageExchange::end()
{
    m_protocol.end();
}

std::optional<ClosedWindow> UsageExchange::closedWindow(std::int64_t window, TimePoint)
{
    const bool wasClosed = m_protocol.table().hasResult(window);
    auto out = m_protocol.closedWindow(window, clock());
    if (out && !wasClosed) {
        logClosed(*out);
    }
    return out;
}

void UsageExchange::logClosed(const ClosedWindow &closed) const
{
    std::string names;
    const std::vector<std::string> missing = m_protocol.table().missing(closed.counts.window);
    for (std::size_t i = 0; i < missing.size() && i < MAX_NAMES_LOGGED; ++i) {
        names += (i == 0 ? "" : ",") + missing[i];
    }
    LogEvent("usage_window_closed")
        .field("window", static_cast<long long>(closed.counts.window))
        .field("requests", static_cast<long long>(requestsIn(closed.counts)))
        .field("teams", static_cast<long long>(closed.counts.byTeam.size()))
        .field("closed", closed.closedGateways)
        .field("missing", closed.missingGateways)
        .field("missing_names", names);
}

std::optional<TimePoint> UsageExchange::lastAskedAt() const
{
    return m_protocol.lastAskedAt();
}

bool UsageExchange::hearsMostGateways(TimePoint now) const
{
    return m_protocol.hearsMostGateways(m_peers.liveNames(), now);
}

}
