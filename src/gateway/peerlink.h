/** \file
 * Sends this gateway's digests to the others and takes in theirs, as datagrams. The first addresses come from the
 * platform's store; after that, whoever is heard is known.
 */
#pragma once

#include "endpointlist.h"
#include "peerview.h"

#include "transport/eventloop.h"

#include <Poco/Net/DatagramSocket.h>

#include <functional>

namespace Cyclamenturn
{

/** What a PeerLink hears. */
class PeerLinkListener
{
public:
    virtual ~PeerLinkListener() = default;
    virtual void digestHeard(const PeerDigest &digest) = 0;
    virtual void listNewsHeard(const EndpointListUpdate &news) = 0;
};

class PeerLink : private SocketHandler
{
public:
    /** Time between two rounds of digests. Load changes within a few hundred milliseconds when a burst begins. */
    static constexpr Duration ROUND_INTERVAL = milliseconds(300);
    /** Digests sent in a round, so that the traffic of one gateway doesn't grow with the fleet. */
    static constexpr std::size_t DIGESTS_PER_ROUND = 6;

    /** `makeDigest` returns this process's figures. */
    PeerLink(EventLoop &loop, const Address &own, PeerView &view, std::function<PeerDigest()> makeDigest,
        PeerLinkListener &listener);
    ~PeerLink() override;

    void start();
    /** Sends to every live peer at once. */
    void broadcast(const std::string &bytes);

private:
    void socketReady(int modes) override;
    void handle(const std::string &bytes, const Address &sender);
    void sendRound();
    void send(const std::string &bytes, const Address &to);

    EventLoop &m_loop;
    Poco::Net::DatagramSocket m_socket;
    Address m_own;
    PeerView &m_view;
    std::function<PeerDigest()> m_makeDigest;
    PeerLinkListener &m_listener;
    /** Where the next round starts in the list of addresses. */
    std::size_t m_cursor = 0;
    EventLoop::Timer m_timer;
};

}
