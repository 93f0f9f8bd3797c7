/** \file
 * Evidence about requests that crash endpoints, from the attempts of one request.
 */
#include "crashwitness.h"

#include "partwatch.h"
#include "requesttraits.h"

#include "crashquarantine.h"
#include "eventlog.h"
#include "metrics.h"
#include "rendezvoushash.h"
#include "transport/eventloop.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

std::string sharedPartIds(const PromptTraits &prompt)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        out += (i > 0 ? "," : "") + prompt.parts[i].id;
    }
    return out;
}

}

CrashWitness::CrashWitness(EventLoop &loop, const CrashEvidenceStores &stores)
    : m_loop(loop)
    , m_stores(stores)
{
}

void CrashWitness::setRequest(const std::string &attemptId, const std::string &team, std::uint64_t fingerprint,
    const std::optional<PromptTraits> &prompt)
{
    m_attemptId = attemptId;
    m_team = team;
    m_fingerprint = fingerprint;
    if (prompt) {
        m_parts = sharedParts(*prompt);
        m_partIds = sharedPartIds(*prompt);
    }
}

void CrashWitness::attemptStarted(const std::string &endpointId, const std::string &incarnation)
{
    m_endpointId = endpointId;
    m_incarnation = incarnation;
    m_sentAt = m_loop.now();
    m_lastActivityAt = m_sentAt;
    m_isAnswered = false;
}

void CrashWitness::responded()
{
    m_stores.requests.noteResponse(m_incarnation, m_sentAt);
    m_stores.parts.quarantine().noteResponse(m_incarnation);
}

void CrashWitness::byteReceived()
{
    m_lastActivityAt = m_loop.now();
}

void CrashWitness::answerBegan()
{
    m_isAnswered = true;
    m_stores.parts.quarantine().noteAnswer(m_parts, m_loop.now());
}

void CrashWitness::completed()
{
    m_stores.requests.clearSuspect(m_fingerprint, m_loop.now());
}

void CrashWitness::connectionRefused()
{
    m_stores.requests.noteRefusedConnection(m_incarnation, m_loop.now());
    m_stores.parts.quarantine().noteEndpointEnded(m_incarnation, m_loop.now());
}

void CrashWitness::connectionLost()
{
    if (m_stores.requests.hasEndedBefore(m_incarnation, m_sentAt)) {
        noteIgnoredEvidence("connection_lost");
        return;
    }
    m_stores.requests.recordCrash(m_fingerprint, m_incarnation, m_loop.now());
    if (!m_isAnswered) {
        m_stores.parts.recordCrash(m_parts, m_fingerprint, m_team, m_incarnation);
    }
    m_stores.metrics.count("cyclamenturn_crash_reports", {{"from", "own"}});
    logEvidence("crash_suspected", "connection_lost");
}

void CrashWitness::abandoned(Duration enough)
{
    const TimePoint now = m_loop.now();
    if (now - m_lastActivityAt < std::min(enough, CrashQuarantine::SILENCE_TIME)) {
        return;
    }
    if (m_stores.requests.wasSilentBefore(m_incarnation, m_sentAt, m_fingerprint)) {
        noteIgnoredEvidence("silence");
        return;
    }
    m_stores.requests.recordSilence(m_fingerprint, m_incarnation, m_lastActivityAt, now);
    if (!m_isAnswered) {
        m_stores.parts.quarantine().recordSilence(m_parts, m_fingerprint, m_team, m_incarnation, m_lastActivityAt);
    }
    m_stores.metrics.count("cyclamenturn_crash_reports", {{"from", "own"}});
    logEvidence("crash_suspected", "silence");
}

bool CrashWitness::isRequestQuarantined() const
{
    return m_stores.requests.isQuarantined(m_fingerprint, m_loop.now());
}

const std::optional<PartVerdict> &CrashWitness::judgeParts()
{
    if (!m_parts.empty()) {
        m_verdict = m_stores.parts.quarantine().verdict(m_parts, m_team, m_loop.now());
    }
    return m_verdict;
}

void CrashWitness::log(LogEvent &event) const
{
    if (const int crashes = m_stores.requests.crashes(m_fingerprint, m_loop.now())) {
        event.field("fingerprint", std::to_string(m_fingerprint)).field("crashes", crashes);
    }
    if (m_verdict) {
        event.field("part", std::to_string(m_verdict->part)).field("part_crashes", m_verdict->crashes);
    }
}

void CrashWitness::logEvidence(const char *event, const char *evidence) const
{
    const TimePoint now = m_loop.now();
    const CrashTally tally = m_stores.requests.tally(m_fingerprint, now);
    LogEvent(event)
        .field("request", m_attemptId)
        .field("fingerprint", std::to_string(m_fingerprint))
        .field("endpoint", m_endpointId)
        .field("evidence", evidence)
        .field("silent_ms", toMilliseconds(now - m_lastActivityAt))
        .field("answered", m_isAnswered ? 1 : 0)
        .field("parts", m_partIds)
        .field("crashes", tally.counted)
        .field("withdrawn", tally.withdrawn)
        .field("pending", tally.pending)
        .field("disputed", tally.disputed);
}

void CrashWitness::noteIgnoredEvidence(const char *evidence) const
{
    m_stores.metrics.count("cyclamenturn_crash_evidence_ignored", {{"evidence", evidence}});
    logEvidence("crash_evidence_ignored", evidence);
}

}
