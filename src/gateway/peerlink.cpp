/** \file
 * Sending and receiving of datagrams between gateways.
 */
#include "peerlink.h"

#include "eventlog.h"
#include "peerdatagram.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Limits on the datagrams read per event-loop iteration, so that a flood of them doesn't delay callers. */
constexpr int MAX_READS_PER_ITERATION = 32;
constexpr Duration MAX_READ_TIME = milliseconds(10);
/** Peers whose coming or going is logged in a round. When a large fleet starts, all are found at once. */
constexpr int MAX_CHANGES_LOGGED = 8;

}

PeerLink::PeerLink(EventLoop &loop, const Address &ownAddress, PeerView &view, std::function<PeerDigest()> makeDigest,
    PeerLinkListener &listener)
    : m_loop(loop)
    , m_socket(Poco::Net::SocketAddress(ownAddress.host, static_cast<Poco::UInt16>(ownAddress.port)), true)
    , m_ownAddress(ownAddress)
    , m_view(view)
    , m_makeDigest(std::move(makeDigest))
    , m_listener(listener)
{
    m_socket.setBlocking(false);
    m_loop.watch(m_socket, Poco::Net::PollSet::POLL_READ, this);
}

PeerLink::~PeerLink()
{
    m_loop.cancel(m_timer);
    m_loop.unwatch(m_socket);
}

void PeerLink::start()
{
    sendRound();
}

void PeerLink::socketReady(int)
{
    char bytes[MAX_DATAGRAM_BYTES];
    for (int i = 0; i < MAX_READS_PER_ITERATION && (i == 0 || m_loop.elapsed() < MAX_READ_TIME); ++i) {
        try {
            Poco::Net::SocketAddress sender;
            const int count = m_socket.receiveFrom(bytes, sizeof(bytes), sender);
            if (count <= 0) {
                return;
            }
            handleDatagram(
                std::string(bytes, static_cast<std::size_t>(count)), {sender.host().toString(), sender.port()});
        } catch (const Poco::Exception &) {
            // An earlier datagram was refused. A peer that is gone is detected by its missing digests.
            return;
        }
    }
}

void PeerLink::handleDatagram(const std::string &bytes, const Address &sender)
{
    if (handleStreamMessage(bytes, sender) || handleUsageMessage(bytes, sender)) {
        return;
    }
    const TimePoint now = m_loop.now();
    if (const auto digest = decodeDigest(bytes, now)) {
        m_view.apply(*digest, sender, now);
        logFound();
        m_listener.digestReceived(*digest);
    } else if (const auto update = decodeListUpdate(bytes)) {
        if (m_view.isLive(sender)) {
            m_listener.endpointListUpdateReceived(*update);
        }
    } else if (const auto question = decodePermitQuestion(bytes, now)) {
        m_listener.permitQuestionReceived(*question, sender);
    } else if (const auto answer = decodePermitAnswer(bytes, now)) {
        m_listener.permitAnswerReceived(*answer);
    } else if (const auto limit = decodeLimitNotice(bytes, now)) {
        if (m_view.isLive(sender)) {
            m_listener.endpointLimitReceived(*limit);
        }
    } else if (PartEvidence evidence; decodePartEvidence(bytes, now, evidence)) {
        if (m_view.isLive(sender)) {
            m_listener.partEvidenceReceived(evidence);
        }
    }
}

bool PeerLink::handleStreamMessage(const std::string &bytes, const Address &sender)
{
    // At a gateway that has just started, and in large fleets, few senders count as live.
    switch (static_cast<DatagramKind>(bytes.front())) {
    case DatagramKind::StreamNote:
        if (const auto origin = decodeStreamNote(bytes); origin && m_view.isKnown(sender)) {
            m_listener.streamNoteReceived(*origin);
        }
        return true;
    case DatagramKind::StreamQuestion:
        if (const auto question = decodeStreamQuestion(bytes)) {
            m_listener.streamQuestionReceived(*question, sender);
        }
        return true;
    case DatagramKind::StreamAnswer:
        if (const auto answer = decodeStreamAnswer(bytes); answer && m_view.isKnown(sender)) {
            m_listener.streamAnswerReceived(*answer);
        }
        return true;
    case DatagramKind::StreamOriginsQuestion:
        if (const auto question = decodeStreamOriginsQuestion(bytes); question && m_view.isKnown(sender)) {
            m_listener.streamOriginsAsked(*question, sender);
        }
        return true;
    case DatagramKind::StopNotice:
        if (const auto notice = decodeStopNotice(bytes); notice && m_view.isKnown(sender)) {
            m_listener.stopNoticeReceived(*notice);
        }
        return true;
    case DatagramKind::StreamOrigins:
        if (const auto origins = decodeStreamOrigins(bytes); origins && m_view.isKnown(sender)) {
            m_listener.streamOriginsReceived(*origins);
        }
        return true;
    case DatagramKind::UnlistedIncarnation:
        if (const auto notice = decodeUnlistedIncarnation(bytes); notice && m_view.isKnown(sender)) {
            m_listener.unlistedIncarnationReceived(*notice);
        }
        return true;
    default:
        return false;
    }
}

bool PeerLink::handleUsageMessage(const std::string &bytes, const Address &sender)
{
    switch (static_cast<DatagramKind>(bytes.front())) {
    case DatagramKind::UsageQuery:
        if (const auto query = decodeUsageQuery(bytes); query && m_view.isKnown(sender)) {
            m_listener.usageQueryReceived(*query, sender);
        }
        return true;
    case DatagramKind::UsageCounts:
        if (const auto statement = decodeUsageCounts(bytes); statement && m_view.isKnown(sender)) {
            m_listener.usageCountsReceived(*statement);
        }
        return true;
    default:
        return false;
    }
}

void PeerLink::send(const std::string &bytes, const Address &to)
{
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
            Poco::Net::SocketAddress(to.host, static_cast<Poco::UInt16>(to.port)));
    } catch (const Poco::Exception &) {
        // Datagrams may be lost in any case; the next round sends a newer digest.
    }
}

void PeerLink::broadcast(const std::string &bytes)
{
    for (const Address &address : m_view.liveAddresses()) {
        send(bytes, address);
    }
}

bool PeerLink::isNextChangeLogged()
{
    return ++m_changes <= MAX_CHANGES_LOGGED;
}

void PeerLink::logFound()
{
    for (const auto &name : m_view.takeFound()) {
        const auto address = m_view.addressOf(name);
        if (address && isNextChangeLogged()) {
            LogEvent("peer_found")
                .field("peer", name)
                .field("address", toString(*address))
                .field("live", static_cast<long long>(m_view.livePeerCount()));
        }
    }
}

void PeerLink::sendRound()
{
    if (m_changes > MAX_CHANGES_LOGGED) {
        LogEvent("peer_changes_not_logged")
            .field("count", static_cast<long long>(m_changes - MAX_CHANGES_LOGGED))
            .field("live", static_cast<long long>(m_view.livePeerCount()));
    }
    m_changes = 0;
    for (const auto &name : m_view.expire(m_loop.now())) {
        if (isNextChangeLogged()) {
            LogEvent("peer_silent").field("peer", name).field("live", static_cast<long long>(m_view.livePeerCount()));
        }
    }
    const std::vector<Address> addresses = m_rounds.next(m_view.addresses());
    if (!addresses.empty()) {
        const std::string bytes = encodeDigest(m_makeDigest(), m_loop.now());
        const std::string evidence = m_makeEvidence ? m_makeEvidence() : std::string();
        for (const Address &address : addresses) {
            send(bytes, address);
            if (!evidence.empty()) {
                send(evidence, address);
            }
        }
    }
    m_timer = m_loop.callAfter(DigestRounds::INTERVAL, [this] { sendRound(); });
}

}
