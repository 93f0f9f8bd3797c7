/** \file
 * Datagrams between gateways.
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

/** Datagrams read in one turn, so that a flood doesn't starve callers. */
constexpr int MOST_READS = 32;

}

PeerLink::PeerLink(EventLoop &loop, const Address &own, PeerView &view, std::function<PeerDigest()> makeDigest,
    PeerLinkListener &listener)
    : m_loop(loop)
    , m_socket(Poco::Net::SocketAddress(own.host, static_cast<Poco::UInt16>(own.port)), true)
    , m_own(own)
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
    char bytes[LARGEST_DATAGRAM];
    for (int i = 0; i < MOST_READS; ++i) {
        try {
            Poco::Net::SocketAddress sender;
            const int count = m_socket.receiveFrom(bytes, sizeof(bytes), sender);
            if (count <= 0) {
                return;
            }
            handle(std::string(bytes, static_cast<std::size_t>(count)), {sender.host().toString(), sender.port()});
        } catch (const Poco::Exception &) { // an earlier datagram was refused; the peer's silence tells the rest
            return;
        }
    }
}

void PeerLink::handle(const std::string &bytes, const Address &sender)
{
    const TimePoint now = m_loop.now();
    if (const auto digest = decodeDigest(bytes, now)) {
        if (m_view.apply(*digest, sender, now)) {
            LogEvent("peer_found").field("peer", digest->name).field("address", toString(sender));
        }
        m_listener.digestHeard(*digest);
    } else if (const auto news = decodeListUpdate(bytes)) {
        if (m_view.isLive(sender)) {
            m_listener.listNewsHeard(*news);
        }
    }
}

void PeerLink::send(const std::string &bytes, const Address &to)
{
    try {
        m_socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
            Poco::Net::SocketAddress(to.host, static_cast<Poco::UInt16>(to.port)));
    } catch (const Poco::Exception &) { // datagrams may be lost anyway; the next round sends newer figures
    }
}

void PeerLink::broadcast(const std::string &bytes)
{
    for (const Address &address : m_view.liveAddresses()) {
        send(bytes, address);
    }
}

void PeerLink::sendRound()
{
    for (const auto &name : m_view.expire(m_loop.now())) {
        LogEvent("peer_silent").field("peer", name);
    }
    const auto addresses = m_view.addresses();
    const std::size_t count = std::min(addresses.size(), DIGESTS_PER_ROUND);
    if (count > 0) {
        const std::string bytes = encodeDigest(m_makeDigest(), m_loop.now());
        for (std::size_t i = 0; i < count; ++i) {
            send(bytes, addresses[(m_cursor + i) % addresses.size()]);
        }
        m_cursor = (m_cursor + count) % addresses.size();
    }
    m_timer = m_loop.callAfter(ROUND_INTERVAL, [this] { sendRound(); });
}

}
