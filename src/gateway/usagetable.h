/** \file
 * The counts of all gateways as far as they were received, which gateways were heard in a window, and when a window is
 * closed.
 *
 * Counts only grow, so statements are merged by taking the larger value for each gateway, incarnation, window and team:
 * their order and repetitions don't matter. The counts of a closed window never change once they were returned.
 */
#pragma once

#include "usagecollection.h"
#include "usagestatement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class UsageTable
{
public:
    /** After this time a window is closed without the gateways that are missing. It leaves half of the time until the
     * report is due for the record and the call. */
    static constexpr Duration CLOSE_TIMEOUT = milliseconds(5000);
    /** A window in which a gateway stopped or started is closed after this time at the earliest: other processes of
     * the same name may have counts. */
    static constexpr Duration SETTLING_TIME = milliseconds(3000);
    /** Two rounds of queries. No window is closed without the missing gateways before they were asked for so long. */
    static constexpr Duration COLLECTION_TIME = milliseconds(2200);
    /** Statements that the window isn't over count for this time. */
    static constexpr Duration OPEN_STATEMENT_AGE = milliseconds(2500);
    /** Windows before and after the present one whose statements are accepted. */
    static constexpr std::int64_t WINDOW_RANGE = 8;
    static constexpr std::size_t MAX_GATEWAYS = 1024;
    static constexpr std::size_t MAX_INCARNATIONS = 4;
    /** Entries of all windows; takes about 15 MB. */
    static constexpr std::size_t MAX_ENTRIES = 150000;
    static constexpr std::size_t RESULTS_KEPT = 16;

    UsageTable(std::string ownName, Duration windowLength);

    /** Notes the live peers, which are heard in the present window, and which windows are over. Called about once a
     * second, and in each window. */
    void advance(const std::vector<std::string> &livePeers, TimePoint timeOfDay, TimePoint now);
    /** Merges a statement. Returns false if it is refused, as its window isn't near the present one or there is no room
     * for it. */
    bool merge(const UsageStatement &statement, TimePoint now);

    /** Notes that the gateways are asked for the window, which is over. Does nothing for a window that isn't near the
     * present one. */
    void noteAsked(std::int64_t window, TimePoint now);
    /** The gateways have to be asked anew, as this gateway has become the holder. */
    void restartCollection();
    /** See UsageCollection::closedWindow(). */
    std::optional<ClosedWindow> closedWindow(std::int64_t window, TimePoint now);

    bool hasResult(std::int64_t window) const
    {
        return m_results.count(window) != 0;
    }
    /** Whether the gateway's newest known incarnation has sent all of its final counts. */
    bool isFinal(std::int64_t window, const std::string &gateway) const;
    /** The gateways that were heard in the window or live now, without complete final counts. */
    std::vector<std::string> missing(std::int64_t window) const;
    /** The gateways whose copies are needed: those missing, and those of which an earlier process may have counts. */
    std::vector<std::string> wantedCopies(std::int64_t window) const;
    /** Whether it is known which gateways were heard in the window. */
    bool knowsGateways(std::int64_t window) const
    {
        return window >= m_firstKnown;
    }
    /** What is known of the window's counts of all other gateways. */
    std::vector<UsageStatement> copies(std::int64_t window) const;
    std::size_t entryCount() const
    {
        return m_entries;
    }

private:
    /** Whether the window is within WINDOW_RANGE of the present one. */
    bool isNear(std::int64_t number) const
    {
        return m_present && number >= *m_present - WINDOW_RANGE && number <= *m_present + WINDOW_RANGE;
    }
    struct Record
    {
        std::map<std::string, std::uint64_t> byTeam;
        /** Sum of byTeam. */
        std::uint64_t sum = 0;
        /** Sum of the final counts. */
        std::uint64_t total = 0;
        /** Partial, Final or Stopped. */
        UsageState state = UsageState::Partial;
        std::optional<TimePoint> openAt;

        bool isComplete() const
        {
            return state >= UsageState::Final && sum >= total;
        }
    };
    /** By incarnation. */
    using Incarnations = std::map<std::uint64_t, Record>;
    struct Window
    {
        std::set<std::string> heard;
        std::map<std::string, Incarnations> gateways;
        /** When the window was over, by the monotonic clock. */
        std::optional<TimePoint> endedAt;
        /** Since when the present holder asks for it. */
        std::optional<TimePoint> askedSince;
        TimePoint touchedAt;
    };
    static bool isFinal(const Window &window, const std::string &gateway);
    /** Whether other processes of the gateway's name may have counts of the window. */
    bool isUnsettled(std::int64_t number, const Incarnations &incarnations) const;
    std::set<std::string> expected(const Window &window) const;
    bool isDue(std::int64_t number, const Window &window, const ClosedWindow &result, TimePoint now) const;
    void setEnded(std::int64_t number, Window &window, TimePoint now) const;
    void expire(TimePoint now);

    std::string m_ownName;
    Duration m_length;
    std::map<std::int64_t, Window> m_windows;
    std::map<std::int64_t, ClosedWindow> m_results;
    /** The results of these windows are no longer kept, and aren't computed again. */
    std::int64_t m_forgottenThrough = -1;
    std::set<std::string> m_live;
    std::int64_t m_firstKnown = 0;
    std::optional<std::int64_t> m_present;
    /** When this process started to receive from the others. */
    std::optional<TimePoint> m_startedAt;
    /** The time of day at a monotonic time of 0, as of the last advance(). */
    Duration m_clockOffset{};
    std::size_t m_entries = 0;
};

}
