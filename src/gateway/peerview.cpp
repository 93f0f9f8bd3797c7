/** \file
 * State of the other gateways.
 */
#include "peerview.h"

#include "rendezvoushash.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Cyclamenturn
{

namespace
{

/** Heartbeats older than this aren't passed on; most receivers know newer ones. */
constexpr Duration RECENT_HEARTBEAT = milliseconds(2500);
/** Heartbeats by name in a digest while all gateways know the same ones, and so can read each other's rolls. */
constexpr std::size_t SETTLED_HEARTBEATS = 6;

}

PeerView::PeerView(std::string ownName)
    : m_ownName(std::move(ownName))
{
}

bool PeerView::apply(const PeerDigest &digest, const Address &from, TimePoint now)
{
    if (digest.name == m_ownName) {
        return false;
    }
    const auto known = m_peers.find(digest.name);
    const bool isNew = known == m_peers.end();
    if (!isNew) {
        const PeerDigest &last = known->second.digest;
        const bool isOlder = digest.incarnation < last.incarnation
            || (digest.incarnation == last.incarnation && digest.sequence <= last.sequence);
        // If its VM's clock was set back, a restarted peer may have a lower incarnation. Its digests are ignored until
        // the previous incarnation has expired.
        if (isOlder) {
            return false;
        }
        addRequests(last, -1);
    }
    Peer &peer = m_peers[digest.name];
    const HeartbeatNumber heartbeat(digest.sequence);
    if (isNew || digest.incarnation != peer.digest.incarnation || heartbeat.isNewerThan(peer.heartbeat)) {
        peer.heartbeat = heartbeat;
        peer.heardAt = now;
    }
    peer.foundAt = isNew ? now : peer.foundAt;
    peer.digest = digest;
    peer.digest.heartbeats.clear();
    peer.digest.introductions.clear();
    peer.digest.roll = {};
    peer.address = from;
    addRequests(digest, 1);
    m_contacts.erase(from);
    m_names[gatewayHash(digest.name)] = digest.name;
    if (isNew) {
        m_found.push_back(digest.name);
        noteMembersChanged(now);
    }
    for (const GatewayIntroduction &introduction : digest.introductions) {
        if (m_peers.count(introduction.name) == 0) {
            addContact(introduction.name, introduction.address, now);
        }
    }
    for (const Heartbeat &passedOn : digest.heartbeats) {
        const auto name = m_names.find(passedOn.gateway);
        if (name != m_names.end()) {
            noteHeartbeat(name->second, passedOn.number, now);
        }
    }
    applyRoll(digest.roll, now);
    return isNew;
}

void PeerView::noteHeartbeat(const std::string &name, HeartbeatNumber number, TimePoint now)
{
    const auto live = m_peers.find(name);
    if (live != m_peers.end()) {
        if (number.isNewerThan(live->second.heartbeat)) {
            live->second.heartbeat = number;
            live->second.heardAt = now;
        }
        return;
    }
    const auto contact = std::find_if(
        m_contacts.begin(), m_contacts.end(), [&name](const auto &item) { return item.second.name == name; });
    if (contact == m_contacts.end()
        || (contact->second.lastHeartbeat && !number.isNewerThan(*contact->second.lastHeartbeat))) {
        return;
    }
    m_peers.emplace(name, Peer{{}, contact->first, number, now, now});
    m_found.push_back(name);
    m_contacts.erase(contact);
}

void PeerView::noteMembersChanged(TimePoint now)
{
    ++m_membersVersion;
    m_membersChangedAt = now;
}

void PeerView::refreshRoll()
{
    if (m_rollVersion == m_membersVersion) {
        return;
    }
    m_rollVersion = m_membersVersion;
    m_rollNames = members();
    m_rollNames.push_back(m_ownName);
    std::sort(m_rollNames.begin(), m_rollNames.end());
    std::uint64_t hash = 0;
    for (const std::string &name : m_rollNames) {
        hash = contentHash(name, hash);
    }
    m_rollHash = static_cast<std::uint32_t>(hash);
}

void PeerView::applyRoll(const HeartbeatRoll &roll, TimePoint now)
{
    refreshRoll();
    if (roll.names != m_rollHash || roll.numbers.size() != m_rollNames.size()) {
        return;
    }
    for (std::size_t i = 0; i < m_rollNames.size(); ++i) {
        if (roll.numbers[i] && m_rollNames[i] != m_ownName) {
            noteHeartbeat(m_rollNames[i], *roll.numbers[i], now);
        }
    }
}

HeartbeatRoll PeerView::roll(HeartbeatNumber own)
{
    refreshRoll();
    HeartbeatRoll out;
    out.names = m_rollHash;
    for (const std::string &name : m_rollNames) {
        const auto peer = m_peers.find(name);
        const bool isLive = peer != m_peers.end();
        out.numbers.push_back(name == m_ownName ? std::optional(own)
                : isLive                        ? std::optional(peer->second.heartbeat)
                                                : std::nullopt);
    }
    return out;
}

std::vector<Heartbeat> PeerView::heartbeats(TimePoint now, double draw) const
{
    std::vector<Heartbeat> out;
    auto it = m_peers.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(draw * static_cast<double>(m_peers.size())));
    const bool isSettled = now - m_membersChangedAt >= SETTLING_TIME;
    const std::size_t count = isSettled ? SETTLED_HEARTBEATS : PeerDigest::MAX_HEARTBEATS;
    for (std::size_t i = 0; i < m_peers.size() && out.size() < count; ++i, ++it) {
        it = it == m_peers.end() ? m_peers.begin() : it;
        if (now - it->second.heardAt < RECENT_HEARTBEAT) {
            out.push_back({gatewayHash(it->first), it->second.heartbeat});
        }
    }
    return out;
}

std::vector<GatewayIntroduction> PeerView::introductions(TimePoint now) const
{
    std::vector<std::pair<TimePoint, const std::string *>> recent;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.foundAt < SETTLING_TIME) {
            recent.emplace_back(peer.foundAt, &name);
        }
    }
    // The last found are probably unknown to most others.
    const std::size_t count = std::min(recent.size(), PeerDigest::MAX_INTRODUCTIONS);
    std::partial_sort(recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(count), recent.end(),
        [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<GatewayIntroduction> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({*recent[i].second, m_peers.at(*recent[i].second).address});
    }
    return out;
}

std::vector<std::string> PeerView::takeFound()
{
    return std::exchange(m_found, {});
}

void PeerView::addRequests(const PeerDigest &digest, int sign)
{
    for (const auto &requests : digest.endpointRequests) {
        PeerLoad &load = m_loads[requests.endpoint];
        load.inFlight += sign * requests.inFlight;
        load.pendingPrefillTokens += sign * static_cast<std::int64_t>(requests.pendingPrefillTokens);
        load.paceSum += sign * requests.pacePercent;
        load.paceCount += requests.pacePercent > 0 ? sign : 0;
        if (load.inFlight == 0 && load.pendingPrefillTokens == 0 && load.paceCount == 0) {
            m_loads.erase(requests.endpoint);
        }
    }
}

void PeerView::addContact(const std::string &name, const Address &address, TimePoint now)
{
    if (name != m_ownName && !isLive(address) && m_contacts.emplace(address, Contact{name, now, std::nullopt}).second) {
        m_names[gatewayHash(name)] = name;
        noteMembersChanged(now);
    }
}

std::vector<std::string> PeerView::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const Peer &peer = it->second;
        if (now - peer.heardAt < PEER_TIMEOUT) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        addRequests(peer.digest, -1);
        m_contacts.emplace(peer.address, Contact{it->first, now, peer.heartbeat});
        it = m_peers.erase(it);
    }
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        if (now - it->second.since < CONTACT_RETENTION) {
            ++it;
            continue;
        }
        noteMembersChanged(now);
        m_names.erase(gatewayHash(it->second.name));
        it = m_contacts.erase(it);
    }
    return expired;
}

std::vector<std::string> PeerView::liveNames() const
{
    std::vector<std::string> out;
    for (const auto &[name, peer] : m_peers) {
        out.push_back(name);
    }
    return out;
}

std::vector<Address> PeerView::liveAddresses() const
{
    std::vector<Address> out;
    for (const auto &[name, peer] : m_peers) {
        out.push_back(peer.address);
    }
    return out;
}

std::vector<std::string> PeerView::members() const
{
    std::set<std::string> out;
    for (const auto &[name, peer] : m_peers) {
        out.insert(name);
    }
    for (const auto &[address, contact] : m_contacts) {
        out.insert(contact.name);
    }
    return std::vector<std::string>(out.begin(), out.end());
}

std::optional<Address> PeerView::addressOf(const std::string &name) const
{
    const auto live = m_peers.find(name);
    if (live != m_peers.end()) {
        return live->second.address;
    }
    const auto contact = std::find_if(
        m_contacts.begin(), m_contacts.end(), [&name](const auto &item) { return item.second.name == name; });
    return contact == m_contacts.end() ? std::nullopt : std::optional<Address>(contact->first);
}

std::vector<Duration> PeerView::heartbeatAges(TimePoint now) const
{
    std::vector<Duration> out;
    for (const auto &[name, peer] : m_peers) {
        out.push_back(now - peer.heardAt);
    }
    return out;
}

bool PeerView::isLive(const Address &address) const
{
    return std::any_of(
        m_peers.begin(), m_peers.end(), [&address](const auto &item) { return item.second.address == address; });
}

std::vector<Address> PeerView::addresses() const
{
    const auto live = liveAddresses();
    std::set<Address> out(live.begin(), live.end());
    for (const auto &[address, contact] : m_contacts) {
        out.insert(address);
    }
    return std::vector<Address>(out.begin(), out.end());
}

std::uint64_t PeerView::newestConfigurationVersion() const
{
    std::uint64_t out = 0;
    for (const auto &[name, peer] : m_peers) {
        out = std::max(out, peer.digest.configurationVersion);
    }
    return out;
}

PeerLoad PeerView::loadAt(std::uint32_t endpoint) const
{
    const auto found = m_loads.find(endpoint);
    return found == m_loads.end() ? PeerLoad() : found->second;
}

WorkloadDemand PeerView::demand() const
{
    WorkloadDemand out;
    for (const auto &[name, peer] : m_peers) {
        out.prefillMsPerSecond += peer.digest.demand.prefillMsPerSecond;
        out.longAnswers += peer.digest.demand.longAnswers;
    }
    return out;
}

std::vector<EngineSummary> PeerView::engineSummaries(std::uint32_t service) const
{
    std::vector<EngineSummary> out;
    for (const auto &[name, peer] : m_peers) {
        for (const EngineSummary &summary : peer.digest.engines) {
            if (summary.service == service) {
                out.push_back(summary);
                break;
            }
        }
    }
    return out;
}

}
