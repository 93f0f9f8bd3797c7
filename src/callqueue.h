/** \file
 * Queue of the calls that wait for a slot of an endpoint. Tiers have strict priority, but each lower tier gets a
 * minimum share of the starts. Within a tier the earliest deadline goes first, and teams that have reached their share
 * go last.
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

/** How a queue selects the next call. FirstComeFirstServed is a baseline for measurements. */
enum class QueueOrder {
    FirstComeFirstServed,
    TieredDeadline,
};

/**
 * Priority queue of waiting calls.
 *
 * Minimum share: each start adds `leastShare` to the credit of every other tier with waiting calls. A tier whose credit
 * has reached 1 starts the next call, which costs it a credit of 1. A tier with waiting calls therefore gets at least
 * one of every ceil(tiers / leastShare) starts.
 */
class CallQueue
{
public:
    /** The tier below tiers 0 to 7 of the configuration, for sheddable calls whose deadline has passed. */
    static constexpr int LATE_TIER = 8;
    static constexpr int TIER_COUNT = LATE_TIER + 1;

    explicit CallQueue(QueueOrder order);

    /**
     * \param limit maximum number of waiting calls
     * \param leastShare minimum share of starts for each tier below the highest one with waiting calls
     */
    void setLimits(std::size_t limit, double leastShare);

    /**
     * Adds a call to its tier. The limit is not checked here; see isFull() and chooseDisplaced(). Throws InternalError
     * if the call is already in the queue.
     */
    void push(const Call &call);

    /**
     * Removes and returns the next call to start, if any.
     * \param onlyTier if set, only a call of this tier may start
     */
    std::optional<Call> pop(const TeamLimits &teamLimits, std::optional<int> onlyTier, TimePoint now);
    /** The highest tier with a waiting call. */
    std::optional<int> highestWaitingTier() const;

    bool isFull() const
    {
        return m_calls.size() >= m_limit;
    }
    /** Returns the id of the waiting call to remove from a full queue in favour of `incoming`, if one may be shed. */
    std::optional<std::string> chooseDisplaced(const Call &incoming) const;

    /** Removes and returns a call; returns nothing if it is not in the queue. */
    std::optional<Call> remove(const std::string &callId);
    std::vector<Call> all() const;
    std::size_t size() const
    {
        return m_calls.size();
    }
    /** Number of waiting calls that start before a new call of `tier` with `deadline`, apart from minimum shares. */
    std::size_t countAhead(int tier, TimePoint deadline) const;

private:
    /**
     * Sort key of a call within its tier. `sortTime` is the deadline, or the same for all calls with
     * FirstComeFirstServed; calls with equal times are ordered by arrival.
     */
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
    /** Moves sheddable calls whose deadline has passed to LATE_TIER. */
    void moveLateCalls(TimePoint now);
    const Position &chooseInTier(const Tier &tier, const TeamLimits &teamLimits) const;
    /** The sheddable call with the latest deadline in a tier; of any team if `team` is empty. */
    std::optional<std::string> lastSheddable(int tier, const std::string &team) const;

    QueueOrder m_order;
    std::size_t m_limit = 0;
    double m_leastShare = 0;
    std::uint64_t m_nextSequence = 0;
    std::array<Tier, TIER_COUNT> m_tiers;
    /** The calls whose positions are in m_tiers, by id. */
    std::unordered_map<std::string, WaitingCall> m_calls;
    std::map<std::string, std::size_t> m_waitingByTeam;
};

}
