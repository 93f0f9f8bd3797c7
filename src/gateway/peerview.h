/** \file
 * State of the other gateways as last received in their digests, and which of them live.
 *
 * A gateway sends its digest to a few others at a time, so in a large fleet a peer's digest comes rarely. Digests also
 * pass on heartbeats: the latest number known of other gateways. Only a newer number counts, so that a dead gateway
 * can't be kept alive by peers that pass on the same heartbeat in a circle. A gateway without a recent heartbeat is
 * removed.
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
    /** Sum of the usual paces in percent that gateways state for the endpoint's VM, and their number. */
    int paceSum = 0;
    int paceCount = 0;
};

class PeerView
{
public:
    /** A peer is removed after this time without a newer heartbeat, which tolerates the loss of several datagrams. */
    static constexpr Duration PEER_TIMEOUT = milliseconds(2700);
    /** How long digests are sent to an address from which none is received. */
    static constexpr Duration CONTACT_RETENTION = milliseconds(30000);
    /** How long a gateway is introduced to others after it was found, and how long more heartbeats are passed on by
     * name after the known gateways changed, until all know the same ones. */
    static constexpr Duration SETTLING_TIME = milliseconds(10000);

    explicit PeerView(std::string ownName);

    /** Applies a digest unless a newer one of the peer was received before, and the heartbeats in it. Returns whether
     * the peer is new. */
    bool apply(const PeerDigest &digest, const Address &from, TimePoint now);
    /** Adds a gateway to which digests are sent for CONTACT_RETENTION, or longer once it is known to live. */
    void addContact(const std::string &name, const Address &address, TimePoint now);
    /** Removes peers of which nothing was heard for PEER_TIMEOUT and returns their names. */
    std::vector<std::string> expire(TimePoint now);
    /** The heartbeats to pass on in a digest. `draw` is a random number, uniform in [0, 1). */
    std::vector<Heartbeat> heartbeats(TimePoint now, double draw) const;
    /** The heartbeats of all gateways, this one with the number given. */
    HeartbeatRoll roll(HeartbeatNumber own);
    /** The gateways to introduce in a digest: the last ones found. */
    std::vector<GatewayIntroduction> introductions(TimePoint now) const;
    /** Returns the names of the peers that were found since the last call. */
    std::vector<std::string> takeFound();

    std::size_t livePeerCount() const
    {
        return m_peers.size();
    }
    /** All addresses to which digests are sent, in a fixed order. */
    std::vector<Address> addresses() const;
    std::vector<Address> liveAddresses() const;
    std::vector<std::string> liveNames() const;
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
    /** What the live peers have observed of the engines of a service, given by its hash. */
    std::vector<EngineSummary> engineSummaries(std::uint32_t service) const;

private:
    struct Peer
    {
        /** Without content until the first digest of the peer itself is received. */
        PeerDigest digest;
        Address address;
        /** The latest one known, from a digest of the peer or passed on by others. */
        HeartbeatNumber heartbeat;
        /** When that heartbeat became known. */
        TimePoint heardAt;
        TimePoint foundAt;
    };
    struct Contact
    {
        std::string name;
        TimePoint since;
        /** The latest one known when the peer was removed; it doesn't show that the gateway lives. */
        std::optional<HeartbeatNumber> lastHeartbeat;
    };
    void addRequests(const PeerDigest &digest, int sign);
    void applyRoll(const HeartbeatRoll &roll, TimePoint now);
    void noteHeartbeat(const std::string &name, HeartbeatNumber number, TimePoint now);
    void noteMembersChanged(TimePoint now);
    /** Updates m_rollNames and m_rollHash. */
    void refreshRoll();

    std::string m_ownName;
    std::map<std::string, Peer> m_peers;
    /** Sums over the digests of m_peers. */
    std::unordered_map<std::uint32_t, PeerLoad> m_loads;
    /** Addresses without a live peer to which digests are sent. */
    std::map<Address, Contact> m_contacts;
    /** The names of peers and contacts by their hashes. */
    std::unordered_map<std::uint32_t, std::string> m_names;
    std::vector<std::string> m_found;
    std::uint64_t m_membersVersion = 1;
    TimePoint m_membersChangedAt;
    /** The names of all gateways in order, and their hash, as of m_rollVersion. */
    std::vector<std::string> m_rollNames;
    std::uint32_t m_rollHash = 0;
    std::uint64_t m_rollVersion = 0;
};

}
