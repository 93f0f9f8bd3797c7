/** \file
 * Exchange of the origins of streams between gateways.
 */
#include "streambroker.h"

#include "streamowners.h"

#include <algorithm>
#include <random>

namespace Cyclamenturn
{

namespace
{

/** A gateway answers within a few milliseconds, small and busy ones within a few tens. */
constexpr Duration OWNERS_TIMEOUT = milliseconds(80);
constexpr Duration LAST_ROUND_TIMEOUT = milliseconds(150);
/** If the owners don't know a stream, so many others are asked: the gateway that began it may be among them. */
constexpr std::size_t MAX_ASKED_LAST = 32;
/** A store that is well answers within a few milliseconds. */
constexpr Duration LIST_TIMEOUT = milliseconds(500);
/** After its start, a gateway learns of the others within this time, and asks again until then. */
constexpr Duration SETTLING_TIME = milliseconds(600);

}

StreamBroker::StreamBroker(
    EventLoop &loop, std::string ownName, PeerView &peers, PeerLink &link, Metrics &metrics, ListedVersions &versions)
    : m_loop(loop)
    , m_ownName(std::move(ownName))
    , m_peers(peers)
    , m_link(link)
    , m_metrics(metrics)
    , m_versions(versions)
    , m_handover(loop, m_ownName, peers, link, m_origins, metrics)
    , m_nextId(std::random_device{}())
{
}

StreamBroker::~StreamBroker()
{
    for (const auto &[id, pending] : m_pending) {
        m_loop.cancel(pending.timer);
    }
}

void StreamBroker::start()
{
    m_startedAt = m_loop.now();
    m_handover.start();
}

void StreamBroker::beginStop()
{
    m_handover.beginStop();
}

bool StreamBroker::isSettled() const
{
    return m_loop.now() - m_startedAt >= SETTLING_TIME;
}

const std::vector<std::string> &StreamBroker::gateways()
{
    if (m_membersVersion != m_peers.membersVersion()) {
        m_membersVersion = m_peers.membersVersion();
        m_gateways = m_peers.members();
        m_gateways.push_back(m_ownName);
    }
    return m_gateways;
}

std::vector<std::string> StreamBroker::note(const StreamOrigin &origin)
{
    std::vector<std::string> owners = rankedGateways(origin.stream, gateways(), STREAM_OWNERS_ASKED);
    m_origins.note(origin, ownerHashes(owners), m_loop.now());
    return owners;
}

void StreamBroker::noteBegun(const StreamOrigin &origin)
{
    const std::vector<std::string> owners = note(origin);
    const std::string bytes = encodeStreamNote(origin);
    std::size_t copies = 0;
    for (const std::string &name : owners) {
        const auto address = name == m_ownName ? std::nullopt : m_peers.addressOf(name);
        if (address && copies < STREAM_COPIES) {
            m_link.send(bytes, *address);
            ++copies;
        }
    }
    m_metrics.count("cyclamenturn_stream_notes_sent", {}, static_cast<double>(copies));
}

void StreamBroker::resolve(const StreamQuestion &question, Handler handler)
{
    if (const auto known = m_origins.find(question.stream, m_loop.now())) {
        handler(known, "origin");
        return;
    }
    if (m_pending.size() >= MAX_PENDING) {
        handler(std::nullopt, "unknown");
        return;
    }
    const std::uint32_t id = ++m_nextId;
    Pending &pending = m_pending[id];
    pending.question = question;
    pending.question.id = id;
    pending.handler = std::move(handler);
    pending.startedAt = m_loop.now();
    if (question.stream == 0 && m_versions.soleVersion(question.service, question.span)) {
        continueWithoutOrigin(id);
        return;
    }
    ask(id, rankedGateways(question.stream, gateways(), STREAM_OWNERS_ASKED), OWNERS_TIMEOUT);
}

void StreamBroker::ask(std::uint32_t id, const std::vector<std::string> &names, Duration timeout)
{
    Pending &pending = m_pending.at(id);
    const std::string bytes = encodeStreamQuestion(pending.question);
    pending.unanswered = 0;
    for (const std::string &name : names) {
        const auto address = name == m_ownName ? std::nullopt : m_peers.addressOf(name);
        if (address) {
            m_link.send(bytes, *address);
            ++pending.unanswered;
        }
    }
    m_metrics.count("cyclamenturn_stream_questions_sent", {}, static_cast<double>(pending.unanswered));
    const bool isNobodyAsked = pending.unanswered == 0 && isSettled();
    pending.timer = m_loop.callAfter(isNobodyAsked ? Duration(0) : timeout, [this, id] { endRound(id); });
}

void StreamBroker::endRound(std::uint32_t id)
{
    Pending &pending = m_pending.at(id);
    if (pending.isListAwaited) {
        return;
    }
    m_loop.cancel(pending.timer);
    if (!pending.isLastRound) {
        pending.isLastRound = true;
        ask(id, rankedGateways(pending.question.stream, gateways(), MAX_ASKED_LAST), LAST_ROUND_TIMEOUT);
    } else if (!isSettled()) {
        pending.isLastRound = false;
        ask(id, rankedGateways(pending.question.stream, gateways(), STREAM_OWNERS_ASKED), OWNERS_TIMEOUT);
    } else {
        continueWithoutOrigin(id);
    }
}

void StreamBroker::continueWithoutOrigin(std::uint32_t id)
{
    Pending &pending = m_pending.at(id);
    std::optional<VersionKey> sole = m_versions.soleVersion(pending.question.service, pending.question.span);
    if (!sole && !pending.isContradictory) {
        sole = pending.soleVersion;
    }
    if (!sole) {
        finish(id, std::nullopt, "unknown");
        return;
    }
    // A gateway that stood still or was cut off doesn't know which versions have joined meanwhile.
    pending.isListAwaited = true;
    pending.timer = m_loop.callAfter(LIST_TIMEOUT, [this, id, version = *sole] { listRead(id, version, false); });
    m_versions.readList([this, id, version = *sole](bool isRead) { listRead(id, version, isRead); });
}

void StreamBroker::listRead(std::uint32_t id, VersionKey version, bool isRead)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const bool isSole = isRead && m_versions.soleVersion(found->second.question.service, Duration()) == version;
    finish(id, isSole ? std::optional(version) : std::nullopt,
        isSole       ? "sole_version"
            : isRead ? "other_version_listed"
                     : "list_unread");
}

void StreamBroker::finish(std::uint32_t id, std::optional<VersionKey> version, const char *source)
{
    const auto found = m_pending.find(id);
    const Pending pending = std::move(found->second);
    m_loop.cancel(pending.timer);
    m_pending.erase(found);
    m_metrics.observe("cyclamenturn_stream_question_seconds", {{"source", source}}, m_loop.now() - pending.startedAt);
    pending.handler(version, source);
}

void StreamBroker::noteReceived(const StreamOrigin &origin)
{
    note(origin);
}

void StreamBroker::originsAsked(const StreamOriginsQuestion &question, const Address &from)
{
    m_handover.questionReceived(question, from);
}

void StreamBroker::stopNoticeReceived(const StopNotice &notice)
{
    m_handover.stopNoticeReceived(notice);
}

void StreamBroker::originsReceived(const std::vector<AgedOrigin> &origins)
{
    m_handover.originsReceived(origins, gateways());
}

void StreamBroker::questionReceived(const StreamQuestion &question, const Address &from)
{
    StreamAnswer answer{question.id, question.stream, m_origins.find(question.stream, m_loop.now()), false};
    if (!answer.version) {
        answer.version = m_versions.soleVersion(question.service, question.span);
        answer.isSole = true;
    }
    m_link.send(encodeStreamAnswer(answer), from);
}

void StreamBroker::answerReceived(const StreamAnswer &answer)
{
    const auto found = m_pending.find(answer.id);
    if (found == m_pending.end() || found->second.question.stream != answer.stream) {
        return;
    }
    if (answer.version && !answer.isSole) {
        note({answer.stream, *answer.version});
        finish(answer.id, answer.version, "origin");
        return;
    }
    // Another gateway may still know the origin, which counts more than what a list has shown.
    Pending &pending = found->second;
    if (answer.version) {
        const bool isOther = pending.soleVersion && *pending.soleVersion != *answer.version;
        pending.isContradictory = pending.isContradictory || isOther;
        pending.soleVersion = answer.version;
    }
    if (pending.unanswered > 0 && --pending.unanswered == 0) {
        endRound(answer.id);
    }
}

void StreamBroker::expire()
{
    m_origins.expire(m_loop.now());
    m_metrics.set("cyclamenturn_stream_origins", {}, static_cast<double>(m_origins.size()));
}

}
