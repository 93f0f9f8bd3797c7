/** \file
 * Queue of the calls that wait for a slot of an endpoint.
 */
#include "callqueue.h"

#include "errors.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Maximum number of calls of a tier that are examined to find one of a team below its share. */
constexpr int TEAM_SCAN_LIMIT = 64;

}

CallQueue::CallQueue(QueueOrder order)
    : m_order(order)
{
}

void CallQueue::setLimits(std::size_t limit, double leastShare)
{
    m_limit = limit;
    m_leastShare = leastShare;
}

int CallQueue::tierOf(const Call &call) const
{
    return m_order == QueueOrder::FirstComeFirstServed ? 0 : call.tier;
}

void CallQueue::push(const Call &call)
{
    if (m_calls.count(call.id) > 0) {
        throw InternalError("call is already waiting in this queue");
    }
    const std::uint64_t sequence = m_nextSequence++;
    const TimePoint sortTime = m_order == QueueOrder::FirstComeFirstServed ? TimePoint() : call.deadline;
    const int tier = tierOf(call);
    const WaitingCall waiting{call, tier, Position{sortTime, sequence, call.id}};
    m_tiers[static_cast<std::size_t>(tier)].calls.insert(waiting.position);
    m_calls.emplace(call.id, waiting);
    ++m_waitingByTeam[call.team];
}

std::optional<Call> CallQueue::remove(const std::string &callId)
{
    const auto it = m_calls.find(callId);
    if (it == m_calls.end()) {
        return std::nullopt;
    }
    const WaitingCall waiting = it->second;
    Tier &tier = m_tiers[static_cast<std::size_t>(waiting.tier)];
    tier.calls.erase(waiting.position);
    if (tier.calls.empty()) {
        tier.credit = 0;
    }
    m_calls.erase(it);
    const auto team = m_waitingByTeam.find(waiting.call.team);
    if (--team->second == 0) {
        m_waitingByTeam.erase(team);
    }
    return waiting.call;
}

std::optional<Call> CallQueue::pop(const TeamLimits &teamLimits, std::optional<int> onlyTier, TimePoint now)
{
    moveLateCalls(now);
    const auto tier = chooseTier(onlyTier);
    if (!tier) {
        return std::nullopt;
    }
    const std::string callId = chooseInTier(m_tiers[static_cast<std::size_t>(*tier)], teamLimits).callId;
    updateCredits(*tier);
    return remove(callId);
}

std::optional<int> CallQueue::chooseTier(std::optional<int> onlyTier) const
{
    if (onlyTier) {
        return m_tiers[static_cast<std::size_t>(*onlyTier)].calls.empty() ? std::nullopt : onlyTier;
    }
    for (int tier = 1; tier < TIER_COUNT; ++tier) {
        const Tier &candidate = m_tiers[static_cast<std::size_t>(tier)];
        if (!candidate.calls.empty() && candidate.credit >= 1) {
            return tier;
        }
    }
    return highestWaitingTier();
}

std::optional<int> CallQueue::highestWaitingTier() const
{
    for (int tier = 0; tier < TIER_COUNT; ++tier) {
        if (!m_tiers[static_cast<std::size_t>(tier)].calls.empty()) {
            return tier;
        }
    }
    return std::nullopt;
}

void CallQueue::updateCredits(int startedTier)
{
    for (int tier = 0; tier < TIER_COUNT; ++tier) {
        Tier &item = m_tiers[static_cast<std::size_t>(tier)];
        if (tier == startedTier) {
            item.credit = std::max(0.0, item.credit - 1);
        } else if (!item.calls.empty()) {
            item.credit += m_leastShare;
        }
    }
}

void CallQueue::moveLateCalls(TimePoint now)
{
    if (m_order == QueueOrder::FirstComeFirstServed) {
        return;
    }
    for (int tier = 0; tier < LATE_TIER; ++tier) {
        auto &calls = m_tiers[static_cast<std::size_t>(tier)].calls;
        for (auto it = calls.begin(); it != calls.end() && it->sortTime < now;) {
            WaitingCall &waiting = m_calls.at(it->callId);
            if (!waiting.call.sheddable) {
                ++it;
                continue;
            }
            waiting.tier = LATE_TIER;
            m_tiers[LATE_TIER].calls.insert(*it);
            it = calls.erase(it);
        }
        if (calls.empty()) {
            m_tiers[static_cast<std::size_t>(tier)].credit = 0;
        }
    }
}

const CallQueue::Position &CallQueue::chooseInTier(const Tier &tier, const TeamLimits &teamLimits) const
{
    int scanned = 0;
    for (const auto &position : tier.calls) {
        const Call &call = m_calls.at(position.callId).call;
        if (m_order == QueueOrder::FirstComeFirstServed || !call.sheddable || !teamLimits.hasReachedShare(call.team)) {
            return position;
        }
        if (++scanned == TEAM_SCAN_LIMIT) {
            break;
        }
    }
    return *tier.calls.begin();
}

std::optional<std::string> CallQueue::lastSheddable(int tier, const std::string &team) const
{
    const auto &calls = m_tiers[static_cast<std::size_t>(tier)].calls;
    for (auto it = calls.rbegin(); it != calls.rend(); ++it) {
        const Call &call = m_calls.at(it->callId).call;
        if (call.sheddable && (team.empty() || call.team == team)) {
            return call.id;
        }
    }
    return std::nullopt;
}

std::optional<std::string> CallQueue::chooseDisplaced(const Call &incoming) const
{
    if (m_order == QueueOrder::FirstComeFirstServed) {
        return std::nullopt;
    }
    const int highestDisplaceableTier = incoming.sheddable ? incoming.tier + 1 : incoming.tier;
    for (int tier = LATE_TIER; tier >= highestDisplaceableTier; --tier) {
        if (auto found = lastSheddable(tier, "")) {
            return found;
        }
    }
    const auto byCount = [](const auto &a, const auto &b) {
        return a.second < b.second;
    };
    const auto largest = std::max_element(m_waitingByTeam.begin(), m_waitingByTeam.end(), byCount);
    const auto own = m_waitingByTeam.find(incoming.team);
    const std::size_t ownCount = own == m_waitingByTeam.end() ? 0 : own->second;
    if (largest == m_waitingByTeam.end() || largest->second <= ownCount + 1) {
        return std::nullopt;
    }
    return lastSheddable(incoming.tier, largest->first);
}

std::vector<Call> CallQueue::all() const
{
    std::vector<Call> out;
    for (const auto &tier : m_tiers) {
        for (const auto &position : tier.calls) {
            out.push_back(m_calls.at(position.callId).call);
        }
    }
    return out;
}

std::size_t CallQueue::countAhead(int tier, TimePoint deadline) const
{
    if (m_order == QueueOrder::FirstComeFirstServed) {
        return m_calls.size();
    }
    std::size_t count = 0;
    for (int higher = 0; higher < tier; ++higher) {
        count += m_tiers[static_cast<std::size_t>(higher)].calls.size();
    }
    const auto &same = m_tiers[static_cast<std::size_t>(tier)].calls;
    const auto end = same.lower_bound(Position{deadline, 0, ""});
    return count + static_cast<std::size_t>(std::distance(same.begin(), end));
}

}
