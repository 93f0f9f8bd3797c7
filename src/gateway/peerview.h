/** \file
 * What this gateway knows of the others from their digests. Gateways that fell silent are left out after a while.
 */
#pragma once

#include "address.h"
#include "peerdigest.h"
#include "timepoint.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** The other gateways' requests at one endpoint. */
struct PeerLoad
{
    int inFlight = 0;
    std::int64_t pendingPrefillTokens = 0;
};

class PeerView
{
public:
    /** A peer without news for this long counts as gone; several digests of it may be lost by then. */
    static constexpr Duration PEER_TIMEOUT = milliseconds(3500);
    /** An address from the store is told of this process for this long though nothing has come from it. */
    static constexpr Duration CONTACT_RETENTION = milliseconds(30000);

    explicit PeerView(std::string ownName);

    /** Takes in a digest; an older one than that in hand is ignored. Returns whether the peer is new. */
    bool apply(const PeerDigest &digest, const Address &from, TimePoint now);
    /** An address to which digests are sent until it answers or is given up. */
    void addContact(const Address &address, TimePoint now);
    /** Drops peers that fell silent and returns their names. */
    std::vector<std::string> expire(TimePoint now);

    std::size_t livePeerCount() const
    {
        return m_peers.size();
    }
    /** All addresses worth sending to, in a fixed order. */
    std::vector<Address> addresses() const;
    std::vector<Address> liveAddresses() const;
    /** Whether a live peer sends from that address. */
    bool isLive(const Address &address) const;
    PeerLoad loadAt(std::uint32_t endpoint) const;
    WorkloadDemand demand() const;

private:
    struct Peer
    {
        PeerDigest digest;
        Address address;
        TimePoint receivedAt;
    };
    void addShares(const PeerDigest &digest, int sign);

    std::string m_ownName;
    std::map<std::string, Peer> m_peers;
    /** Sums over the digests of m_peers. */
    std::unordered_map<std::uint32_t, PeerLoad> m_loads;
    std::map<Address, TimePoint> m_contacts;
};

}
