/** \file
 * State of the other gateways.
 */
#include "peerview.h"

#include <algorithm>
#include <set>

namespace Cyclamenturn
{

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
    if (known != m_peers.end()) {
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
    m_peers[digest.name] = {digest, from, now};
    addRequests(digest, 1);
    m_contacts.erase(from);
    const bool isNew = known == m_peers.end();
    m_membersVersion += isNew ? 1 : 0;
    return isNew;
}

void PeerView::addRequests(const PeerDigest &digest, int sign)
{
    for (const auto &requests : digest.endpointRequests) {
        PeerLoad &load = m_loads[requests.endpoint];
        load.inFlight += sign * requests.inFlight;
        load.pendingPrefillTokens += sign * static_cast<std::int64_t>(requests.pendingPrefillTokens);
        if (load.inFlight == 0 && load.pendingPrefillTokens == 0) {
            m_loads.erase(requests.endpoint);
        }
    }
}

void PeerView::addContact(const std::string &name, const Address &address, TimePoint now)
{
    if (name != m_ownName && !isLive(address) && m_contacts.emplace(address, Contact{name, now}).second) {
        ++m_membersVersion;
    }
}

std::vector<std::string> PeerView::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.receivedAt < PEER_TIMEOUT) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        addRequests(it->second.digest, -1);
        m_contacts.emplace(it->second.address, Contact{it->first, now});
        it = m_peers.erase(it);
    }
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        const bool isOutdated = now - it->second.since >= CONTACT_RETENTION;
        m_membersVersion += isOutdated ? 1 : 0;
        it = isOutdated ? m_contacts.erase(it) : std::next(it);
    }
    return expired;
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
        out.push_back(now - peer.receivedAt);
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

}
