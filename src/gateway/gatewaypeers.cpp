/** \file
 * What a gateway tells the other ones, and what it does with their messages.
 */
#include "gateway.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

PeerDigest Gateway::makeDigest()
{
    PeerDigest out;
    out.name = m_settings.name;
    out.incarnation = static_cast<std::uint64_t>(m_startTimeOfDay.time_since_epoch().count());
    m_digestSequence = nextDigestSequence(m_digestSequence, m_startTimeOfDay + (m_loop.now() - m_startedAt));
    out.sequence = m_digestSequence;
    out.heartbeats = m_peers.heartbeats(m_loop.now(), randomFraction());
    if (isRollDue(out.sequence)) {
        out.roll = m_peers.roll(HeartbeatNumber(out.sequence));
    }
    out.introductions = m_peers.introductions(m_loop.now());
    out.configurationRevision = m_store.latestConfigurationRevision();
    out.configurationVersion = m_store.configurationSelection().version();
    out.configurationConfirmedAt = m_store.configurationConfirmedAt();
    out.demand = m_placement.split().ownDemand(m_loop.now());
    out.engines = m_engineModels.summaries(m_loop.now());
    for (const auto &[id, statistics] : m_statistics) {
        if (statistics.inFlight() > 0) {
            const double pace = statistics.pace().value().value_or(0);
            out.endpointRequests.push_back(
                {endpointHash(id), static_cast<std::uint16_t>(std::min(statistics.inFlight(), 65535)),
                    static_cast<std::uint32_t>(statistics.pendingPrefillTokens()),
                    static_cast<std::uint16_t>(std::lround(pace * 100))});
        }
    }
    auto selection = m_quarantine.reports(m_loop.now(), PeerDigest::MAX_CRASHES, randomFraction());
    out.crashes = std::move(selection.reports);
    out.clearedSuspects
        = m_quarantine.clearedSuspects(m_loop.now(), PeerDigest::MAX_CLEARED_SUSPECTS, randomFraction());
    out.sightings = m_quarantine.sightings(m_loop.now(), PeerDigest::MAX_SIGHTINGS, randomFraction());
    m_metrics.set("cyclamenturn_crash_suspects", {}, static_cast<double>(m_quarantine.suspectCount()));
    m_metrics.count("cyclamenturn_crash_reports_left_out", {}, static_cast<double>(selection.leftOut));
    return out;
}

void Gateway::permitQuestionReceived(const PermitQuestion &question, const Address &from)
{
    m_permits.questionReceived(question, from);
}

void Gateway::permitAnswerReceived(const PermitAnswer &answer)
{
    m_permits.answerReceived(answer);
}

void Gateway::endpointLimitReceived(const EndpointLimit &limit)
{
    m_permits.limitReceived(limit);
}

void Gateway::partEvidenceReceived(const PartEvidence &evidence)
{
    m_parts.evidenceReceived(evidence);
}

void Gateway::streamNoteReceived(const StreamOrigin &origin)
{
    m_streams.noteReceived(origin);
}

void Gateway::streamQuestionReceived(const StreamQuestion &question, const Address &from)
{
    m_streams.questionReceived(question, from);
}

void Gateway::streamAnswerReceived(const StreamAnswer &answer)
{
    m_streams.answerReceived(answer);
}

void Gateway::streamOriginsAsked(const StreamOriginsQuestion &question, const Address &from)
{
    m_streams.originsAsked(question, from);
}

void Gateway::stopNoticeReceived(const StopNotice &notice)
{
    m_streams.stopNoticeReceived(notice);
}

void Gateway::streamOriginsReceived(const std::vector<AgedOrigin> &origins)
{
    m_streams.originsReceived(origins);
}

void Gateway::noteUnlistedUse(const EndpointRecord &endpoint)
{
    const UnlistedIncarnation notice{serviceKey(endpoint.service), incarnationKey(endpoint)};
    if (m_versions.noteUnlisted(notice, m_loop.now())) {
        m_peerLink.broadcast(encodeUnlistedIncarnation(notice));
        m_metrics.count("cyclamenturn_unlisted_incarnations", {{"from", "response"}});
    }
}

void Gateway::unlistedIncarnationReceived(const UnlistedIncarnation &notice)
{
    const bool isListedHere = m_incarnations.versionOf(notice.incarnation) != notice.incarnation;
    if (!isListedHere && m_versions.noteUnlisted(notice, m_loop.now())) {
        m_metrics.count("cyclamenturn_unlisted_incarnations", {{"from", "peer"}});
    }
}

void Gateway::digestReceived(const PeerDigest &digest)
{
    m_permits.noteHeard(digest.name);
    m_placement.split().setPeerDemand(m_peers.demand());
    m_store.handlePeerConfigurationRevision(digest.configurationRevision);
    m_store.handlePeerConfirmation(digest.configurationRevision, digest.configurationConfirmedAt);
    noteCaughtUp();
    for (const auto &cleared : digest.clearedSuspects) {
        m_quarantine.merge(cleared, m_loop.now());
    }
    for (const auto &sighting : digest.sightings) {
        m_quarantine.merge(sighting);
    }
    for (const auto &report : digest.crashes) {
        m_quarantine.merge(report, m_loop.now());
        m_metrics.count("cyclamenturn_crash_reports", {{"from", "peer"}});
    }
}

void Gateway::reportPeers()
{
    constexpr std::size_t SAMPLES = 4;
    m_metrics.set("cyclamenturn_live_peers", {}, static_cast<double>(m_peers.livePeerCount()));
    const bool isAlone = m_peers.livePeerCount() == 0;
    if (isAlone && m_hadPeers) {
        // The watch may be long, as the peers would tell of a change that it misses.
        m_store.recheckConfiguration("peers_silent");
    }
    m_hadPeers = !isAlone;
    const std::vector<Duration> ages = m_peers.heartbeatAges(m_loop.now());
    for (std::size_t i = 0; i < std::min(SAMPLES, ages.size()); ++i) {
        const auto sample = static_cast<std::size_t>(randomFraction() * static_cast<double>(ages.size()));
        m_metrics.observe("cyclamenturn_peer_heartbeat_age_seconds", {}, ages[sample]);
    }
}

void Gateway::endpointListUpdateReceived(const EndpointListUpdate &update)
{
    if (!m_list.merge(update, m_loop.now())) {
        m_metrics.count("cyclamenturn_endpoint_lists", {{"from", "peer_unusable"}});
        return;
    }
    m_metrics.count("cyclamenturn_endpoint_lists", {{"from", "peer"}});
    m_store.postponeListRead();
    applyEndpointList();
}

}
