/** \file
 * Exchange, log and metrics of the quarantine of prompt parts.
 */
#include "partwatch.h"

#include "eventlog.h"

namespace Cyclamenturn
{

namespace
{

/** The connections that one crash ends are all lost within this time, so that one message reports them. */
constexpr Duration BROADCAST_DELAY = milliseconds(20);
constexpr Duration CHECK_INTERVAL = milliseconds(100);
constexpr Duration IDLE_CHECK_INTERVAL = milliseconds(5000);
/** Expiry needs no more precision than this many checks. */
constexpr std::size_t CHECKS_PER_EXPIRY = 100;
/** Evidence that is no longer fresh goes along with every this many rounds of digests. */
constexpr std::size_t ROUNDS_PER_REPEAT = 4;

const char *nameOf(SpareReason reason)
{
    switch (reason) {
    case SpareReason::OtherCause:
        return "other_cause";
    case SpareReason::TooFewOtherAnswers:
        return "too_few_other_answers";
    case SpareReason::Answered:
        return "answered";
    case SpareReason::Expired:
        return "expired";
    }
    return "unknown";
}

}

PartWatch::PartWatch(EventLoop &loop, PeerLink &link, Metrics &metrics, std::function<void()> quarantined)
    : m_loop(loop)
    , m_link(link)
    , m_metrics(metrics)
    , m_quarantined(std::move(quarantined))
{
}

PartWatch::~PartWatch()
{
    m_loop.cancel(m_broadcastTimer);
    m_loop.cancel(m_checkTimer);
}

void PartWatch::start()
{
    check();
}

void PartWatch::recordCrash(
    const std::vector<PartKey> &parts, std::uint64_t request, const std::string &team, const std::string &endpoint)
{
    if (parts.empty()) {
        return;
    }
    m_quarantine.recordCrash(parts, request, team, endpoint, m_loop.now());
    m_metrics.count("cyclamenturn_part_crashes", {{"from", "own"}});
    if (m_isIdle) {
        scheduleCheck();
    }
    if (!m_isBroadcastPending) {
        m_isBroadcastPending = true;
        m_broadcastTimer = m_loop.callAfter(BROADCAST_DELAY, [this] { broadcast(); });
    }
}

void PartWatch::broadcast()
{
    m_isBroadcastPending = false;
    m_link.broadcast(encodePartEvidence(m_quarantine.evidence(m_loop.now()), m_loop.now()));
}

void PartWatch::evidenceReceived(const PartEvidence &evidence)
{
    m_quarantine.merge(evidence, m_loop.now());
    m_metrics.count("cyclamenturn_part_crashes", {{"from", "peer"}}, static_cast<double>(evidence.crashes.size()));
    if (m_isIdle) {
        scheduleCheck();
    }
}

std::string PartWatch::roundMessage()
{
    const TimePoint now = m_loop.now();
    if (!m_quarantine.hasFreshCrash(now) && ++m_round % ROUNDS_PER_REPEAT != 0) {
        return {};
    }
    const PartEvidence evidence = m_quarantine.evidence(now);
    return evidence.isEmpty() ? std::string() : encodePartEvidence(evidence, now);
}

void PartWatch::scheduleCheck()
{
    m_isIdle = m_quarantine.suspectCount() == 0;
    m_loop.cancel(m_checkTimer);
    m_checkTimer = m_loop.callAfter(m_isIdle ? IDLE_CHECK_INTERVAL : CHECK_INTERVAL, [this] { check(); });
}

void PartWatch::check()
{
    const TimePoint now = m_loop.now();
    const auto verdicts = m_quarantine.takeNewVerdicts(now);
    for (const auto &verdict : verdicts) {
        m_metrics.count("cyclamenturn_parts_quarantined");
        LogEvent("part_quarantined", LogEvent::Level::Warning)
            .field("part", std::to_string(verdict.part))
            .field("place", partPlace(verdict.part))
            .field("crashes", verdict.crashes)
            .field("for_ms", toMilliseconds(verdict.until - now));
    }
    for (const auto &spared : m_quarantine.takeSparedParts(now)) {
        LogEvent(spared.wasQuarantined ? "part_released" : "part_spared")
            .field("part", std::to_string(spared.part))
            .field("place", partPlace(spared.part))
            .field("crashes", spared.crashes)
            .field("reason", nameOf(spared.reason))
            .field("answered_before", spared.wasAnswered ? 1 : 0);
    }
    if (++m_checks % CHECKS_PER_EXPIRY == 0) {
        m_quarantine.expire(now);
    }
    m_metrics.set("cyclamenturn_part_suspects", {}, static_cast<double>(m_quarantine.suspectCount()));
    m_metrics.set("cyclamenturn_part_quarantines", {}, static_cast<double>(m_quarantine.quarantinedCount()));
    scheduleCheck();
    if (!verdicts.empty()) {
        m_quarantined();
    }
}

}
