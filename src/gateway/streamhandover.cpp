/** \file
 * Exchange of origins of streams around the restart of a gateway.
 */
#include "streamhandover.h"

#include "eventlog.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr Duration ASK_INTERVAL = milliseconds(50);
/** Gateways that are asked at a time. */
constexpr int ASKED_AT_A_TIME = 32;
constexpr Duration REPEAT_AFTER = milliseconds(500);
constexpr int MAX_TIMES_ASKED = 2;

/** Enough for a full table that is passed on to two gateways, with a last part for each of some hundred gateways. */
constexpr std::size_t MAX_QUEUED = 2 * StreamOrigins::MAX_STREAMS / MAX_ORIGINS_IN_DATAGRAM + 512;

/** Until a gateway that stops has ended, others may tell it to keep origins. */
constexpr Duration PASS_ON_INTERVAL = milliseconds(500);
/** Origins that are ranked in one step of a background task. */
constexpr std::size_t ORIGINS_PER_STEP = 32;

}

StreamHandover::StreamHandover(
    EventLoop &loop, std::string ownName, PeerView &peers, PeerLink &link, StreamOrigins &origins, Metrics &metrics)
    : m_loop(loop)
    , m_ownName(std::move(ownName))
    , m_peers(peers)
    , m_link(link)
    , m_origins(origins)
    , m_metrics(metrics)
{
}

StreamHandover::~StreamHandover()
{
    m_loop.cancel(m_askTimer);
    m_loop.cancel(m_sendTimer);
    m_loop.cancel(m_passOnTimer);
    m_loop.cancelTask(m_passingOnTask);
}

void StreamHandover::start()
{
    m_startedAt = m_loop.now();
    askOthers();
}

bool StreamHandover::isAskDue(const Asked &asked, std::size_t gateways) const
{
    if (asked.times == 0) {
        return true;
    }
    return gateways <= SMALL_FLEET && asked.times < MAX_TIMES_ASKED && m_loop.now() - asked.last >= REPEAT_AFTER;
}

void StreamHandover::askOthers()
{
    if (m_loop.now() - m_startedAt >= ASKING_TIME) {
        m_asked.clear();
        return;
    }
    const std::string question = encodeStreamOriginsQuestion({gatewayHash(m_ownName)});
    const std::vector<std::string> names = m_peers.members();
    int sent = 0;
    for (const std::string &name : names) {
        Asked &asked = m_asked[name];
        const auto address = m_peers.addressOf(name);
        if (sent < ASKED_AT_A_TIME && address && isAskDue(asked, names.size())) {
            m_link.send(question, *address);
            ++asked.times;
            asked.last = m_loop.now();
            ++sent;
        }
    }
    m_metrics.count("cyclamenturn_stream_origins_questions", {}, static_cast<double>(sent));
    m_askTimer = m_loop.callAfter(ASK_INTERVAL, [this] { askOthers(); });
}

void StreamHandover::questionReceived(const StreamOriginsQuestion &question, const Address &from)
{
    m_stopping.erase(question.gateway);
    post(m_origins.ownedBy(question.gateway, m_loop.now()), from);
}

void StreamHandover::originsReceived(const std::vector<AgedOrigin> &origins, const std::vector<std::string> &gateways)
{
    for (const AgedOrigin &item : origins) {
        const auto owners = ownerHashes(rankedGateways(item.origin.stream, gateways, STREAM_OWNERS_ASKED));
        m_origins.note(item.origin, owners, m_loop.now() - item.age);
    }
    m_metrics.count("cyclamenturn_stream_origins_received", {}, static_cast<double>(origins.size()));
}

void StreamHandover::beginStop()
{
    m_link.broadcast(encodeStopNotice({gatewayHash(m_ownName)}));
    passOn();
}

void StreamHandover::stopNoticeReceived(const StopNotice &notice)
{
    const std::vector<std::string> names = m_peers.members();
    const bool isKnown = std::any_of(
        names.begin(), names.end(), [&notice](const auto &name) { return gatewayHash(name) == notice.gateway; });
    if (isKnown) {
        m_stopping[notice.gateway] = m_loop.now();
    }
}

std::vector<std::string> StreamHandover::stayingGateways() const
{
    std::vector<std::string> out;
    for (const std::string &name : m_peers.members()) {
        const auto stopping = m_stopping.find(gatewayHash(name));
        const bool isStopping
            = stopping != m_stopping.end() && m_loop.now() - stopping->second < PeerView::CONTACT_RETENTION;
        if (m_peers.isLiveName(name) && !isStopping) {
            out.push_back(name);
        }
    }
    return out.empty() ? m_peers.members() : out;
}

void StreamHandover::passOn()
{
    m_passOnTimer = m_loop.callAfter(PASS_ON_INTERVAL, [this] { passOn(); });
    if (m_passingOn.next < m_passingOn.origins.size()) {
        return;
    }
    m_passingOn = {m_origins.notedAfter(m_passedOnCount, m_loop.now()), 0, stayingGateways(), {}};
    m_passedOnCount = m_origins.notedCount();
    if (m_passingOn.origins.empty()) {
        return;
    }
    LogEvent("stream_origins_passed_on")
        .field("origins", static_cast<long long>(m_passingOn.origins.size()))
        .field("gateways", static_cast<long long>(m_passingOn.gateways.size()));
    m_passingOnTask = m_loop.addTask([this] { return continuePassingOn(); });
}

bool StreamHandover::continuePassingOn()
{
    PassingOn &state = m_passingOn;
    const std::size_t end = std::min(state.next + ORIGINS_PER_STEP, state.origins.size());
    for (; state.next < end; ++state.next) {
        const AgedOrigin &item = state.origins[state.next];
        for (const std::string &name : rankedGateways(item.origin.stream, state.gateways, STREAM_COPIES)) {
            state.batches[name].push_back(item);
        }
    }
    const bool isLast = state.next == state.origins.size();
    for (auto &[name, batch] : state.batches) {
        const std::size_t whole = batch.size() - batch.size() % MAX_ORIGINS_IN_DATAGRAM;
        const auto rest = batch.begin() + static_cast<std::ptrdiff_t>(isLast ? batch.size() : whole);
        const auto address = m_peers.addressOf(name);
        if (address && rest != batch.begin()) {
            post(std::vector<AgedOrigin>(batch.begin(), rest), *address);
        }
        batch.erase(batch.begin(), rest);
    }
    return !isLast;
}

void StreamHandover::post(const std::vector<AgedOrigin> &origins, const Address &to)
{
    for (std::size_t begin = 0; begin < origins.size(); begin += MAX_ORIGINS_IN_DATAGRAM) {
        if (m_queue.size() >= MAX_QUEUED) {
            m_metrics.count("cyclamenturn_stream_origins_left_out", {}, static_cast<double>(origins.size() - begin));
            break;
        }
        const std::size_t end = std::min(begin + MAX_ORIGINS_IN_DATAGRAM, origins.size());
        const std::vector<AgedOrigin> part(
            origins.begin() + static_cast<std::ptrdiff_t>(begin), origins.begin() + static_cast<std::ptrdiff_t>(end));
        m_queue.emplace_back(to, encodeStreamOrigins(part));
        m_metrics.count("cyclamenturn_stream_origins_sent", {}, static_cast<double>(part.size()));
    }
    if (!m_isSending) {
        m_isSending = true;
        sendQueued();
    }
}

void StreamHandover::sendQueued()
{
    // Before it ends, a turn without datagrams follows the last one, so that no more are sent at a time.
    m_isSending = !m_queue.empty();
    if (!m_isSending) {
        return;
    }
    for (int i = 0; i < SENT_AT_A_TIME && !m_queue.empty(); ++i) {
        const auto &[to, bytes] = m_queue.front();
        m_link.send(bytes, to);
        m_metrics.count("cyclamenturn_stream_origins_bytes_sent", {}, static_cast<double>(bytes.size()));
        m_queue.pop_front();
    }
    m_sendTimer = m_loop.callAfter(SEND_INTERVAL, [this] { sendQueued(); });
}

}
