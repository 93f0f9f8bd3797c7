/** \file
 * State of the other gateways as last received in their digests. A gateway without a recent digest is removed.
 */
#pragma once

#include "address.h"
#include "peerdigest.h"
#include "timepoint.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** Requests of all other gateways at one endpoint. */
struct PeerLoad
{
    int inFlight = 0;
    std::int64_t pendingPrefillTokens = 0;
};

class PeerView
{
public:
    /** A peer is removed after this time without a digest, which tolerates the loss of several digests in a row. */
    static constexpr Duration PEER_TIMEOUT = milliseconds(3500);
    /** How long digests are sent to an address from which none is received. */
    static constexpr Duration CONTACT_RETENTION = milliseconds(30000);

    explicit PeerView(std::string ownName);

    /** Applies a digest unless a newer one of the peer was received before. Returns whether the peer is new. */
    bool apply(const PeerDigest &digest, const Address &from, TimePoint now);
    /** Adds a gateway to which digests are sent for CONTACT_RETENTION, or longer once it sends digests itself. */
    void addContact(const std::string &name, const Address &address, TimePoint now);
    /** Removes peers that sent no digest for PEER_TIMEOUT and returns their names. */
    std::vector<std::string> expire(TimePoint now);

    std::size_t livePeerCount() const
    {
        return m_peers.size();
    }
    /** All addresses to which digests are sent, in a fixed order. */
    std::vector<Address> addresses() const;
    std::vector<Address> liveAddresses() const;
    /** The names of all other gateways, live ones and contacts. */
    std::vector<std::string> members() const;
    /** Changes whenever members() may have changed. */
    std::uint64_t membersVersion() const
    {
        return m_membersVersion;
    }
    std::optional<Address> addressOf(const std::string &name) const;
    /** Whether a gateway has that address to which digests are sent. */
    bool isKnown(const Address &address) const
    {
        return m_contacts.count(address) != 0 || isLive(address);
    }
    /** Whether a live peer has that name. */
    bool isLiveName(const std::string &name) const
    {
        return m_peers.count(name) != 0;
    }
    /** The time since each live peer was last known to live. */
    std::vector<Duration> heartbeatAges(TimePoint now) const;
    /** Whether a live peer has that address. */
    bool isLive(const Address &address) const;
    /** The highest version of the configuration that a live peer applies; 0 without peers. */
    std::uint64_t newestConfigurationVersion() const;
    PeerLoad loadAt(std::uint32_t endpoint) const;
    WorkloadDemand demand() const;

private:
    struct Peer
    {
        PeerDigest digest;
        Address address;
        TimePoint receivedAt;
    };
    void addRequests(const PeerDigest &digest, int sign);

    std::string m_ownName;
    std::map<std::string, Peer> m_peers;
    /** Sums over the digests of m_peers. */
    std::unordered_map<std::uint32_t, PeerLoad> m_loads;
    struct Contact
    {
        std::string name;
        TimePoint since;
    };
    /** Addresses without a live peer to which digests are sent. */
    std::map<Address, Contact> m_contacts;
    std::uint64_t m_membersVersion = 1;
};

}
