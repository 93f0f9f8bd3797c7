/** \file
 * Sends this gateway's digests to the others and takes in theirs, as datagrams. The first addresses come from the
 * platform's store; after that, whoever is heard is known.
 */
#pragma once

#include "peerview.h"

#include "transport/eventloop.h"

#include <Poco/Net/DatagramSocket.h>

#include <functional>

namespace Cyclamenturn
{

class PeerLink : private SocketHandler
{
public:
    /** Time between two rounds of digests. Load changes within a few hundred milliseconds when a burst begins. */
    static constexpr Duration ROUND_INTERVAL = milliseconds(300);
    /** Digests sent in a round, so that the traffic of one gateway doesn't grow with the fleet. */
    static constexpr std::size_t DIGESTS_PER_ROUND = 6;

    /** `makeDigest` returns this process's figures; `heard` is called for each digest of a peer. */
    PeerLink(EventLoop &loop, const Address &own, PeerView &view, std::function<PeerDigest()> makeDigest,
        std::function<void(const PeerDigest &)> heard);
    ~PeerLink() override;

    void start();

private:
    void socketReady(int modes) override;
    void sendRound();

    EventLoop &m_loop;
    Poco::Net::DatagramSocket m_socket;
    Address m_own;
    PeerView &m_view;
    std::function<PeerDigest()> m_makeDigest;
    std::function<void(const PeerDigest &)> m_heard;
    /** Where the next round starts in the list of addresses. */
    std::size_t m_cursor = 0;
    EventLoop::Timer m_timer;
};

}
