/** \file
 * The one queue before an endpoint: strict tiers with a guaranteed least share of starts for each lower tier, and
 * earliest deadline first within a tier, teams over their share last.
 */
#pragma once

#include "call.h"
#include "teamlimits.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** How a queue picks the next call. The first two are baselines for measurements. */
enum class QueueOrder {
    FirstComeFirstServed,
    TieredDeadline,
};

/**
 * Waiting calls.
 *
 * Least share: each start adds `leastShare` to the credit of every other tier with calls waiting. A tier whose credit
 * has reached 1 starts next and pays 1. So a waiting tier gets at least one of each ceil(tiers / leastShare) starts.
 */
class CallQueue
{
public:
    /** Tiers 0 to 7 of the configuration, and one below them for calls that are already late. */
    static constexpr int LATE_TIER = 8;
    static constexpr int TIER_COUNT = LATE_TIER + 1;

    explicit CallQueue(QueueOrder order);

    void setLimits(std::size_t limit, double leastShare);

    /** Adds a call in its tier. The caller makes room first, see isFull() and chooseDisplaced(). */
    void push(const Call &call);

    /**
     * Takes the next call to start.
     * \param onlyTier when set, only a call of that tier may start
     */
    std::optional<Call> pop(const TeamLimits &teams, std::optional<int> onlyTier, TimePoint now);
    /** The highest tier with a call waiting. */
    std::optional<int> highestWaitingTier() const;

    bool isFull() const
    {
        return m_calls.size() >= m_limit;
    }
    /** The waiting call that gives way to `newcomer` in a full queue, if one may be shed for it. */
    std::optional<std::string> chooseDisplaced(const Call &incoming) const;

    /** Returns the call, or nothing when it isn't waiting. */
    std::optional<Call> remove(const std::string &callId);
    std::vector<Call> all() const;
    std::size_t size() const
    {
        return m_calls.size();
    }
    /** Waiting calls that go before a call of `tier` with `deadline`. */
    std::size_t countAhead(int tier, TimePoint deadline) const;

private:
    /** Deadline, or the order of arrival for first come first served; the id makes it unique. */
    struct Position
    {
        TimePoint sortTime;
        std::uint64_t sequence;
        std::string callId;

        bool operator<(const Position &other) const
        {
            return std::tie(sortTime, sequence) < std::tie(other.sortTime, other.sequence);
        }
    };
    struct Tier
    {
        std::set<Position> calls;
        double credit = 0;
    };
    struct WaitingCall
    {
        Call call;
        int tier;
        Position position;
    };

    int tierOf(const Call &call) const;
    std::optional<int> chooseTier(std::optional<int> onlyTier) const;
    void updateCredits(int startedTier);
    void moveLateCalls(TimePoint now);
    const Position &chooseInTier(const Tier &tier, const TeamLimits &teams) const;
    std::optional<std::string> lastSheddable(int tier, const std::string &team) const;

    QueueOrder m_order;
    std::size_t m_limit = 0;
    double m_leastShare = 0;
    std::uint64_t m_nextSequence = 0;
    std::array<Tier, TIER_COUNT> m_tiers;
    /** Every call of m_tiers and no other. */
    std::unordered_map<std::string, WaitingCall> m_calls;
    std::map<std::string, std::size_t> m_waitingByTeam;
};

}
