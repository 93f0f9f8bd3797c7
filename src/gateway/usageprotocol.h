/** \file
 * What a gateway sends to the others about its counts, and what it does with their messages: as a gateway that counts,
 * as a backup of others, and as the holder of the usage duty. Does no I/O.
 */
#pragma once

#include "usagecollection.h"
#include "usagequery.h"
#include "usagestatement.h"
#include "usagetable.h"
#include "usagewindows.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Cyclamenturn
{

/** The clocks of a gateway as it handles an event. */
struct UsageClock
{
    /** Monotonic. */
    TimePoint now;
    TimePoint timeOfDay;
};

/** A message for the gateway of that name. */
struct UsageMessage
{
    std::string to;
    std::variant<UsageQuery, UsageStatement> content;
};

class UsageProtocol
{
public:
    /** Interval of tick(). */
    static constexpr Duration TICK = milliseconds(125);
    /** Each peer is asked in one of as many ticks, so that not all answers come at once. */
    static constexpr std::size_t ASK_SLOTS = 8;
    /** Gateways that keep copies of this gateway's counts. When 55 % of the gateways end at once, 1 % of those lose all
     * eight; with two it would be 30 %. */
    static constexpr std::size_t BACKUPS = 8;
    /** Copies go to a part of the backups in each tick. Each gets one every 500 ms. */
    static constexpr std::size_t BACKUPS_AT_A_TIME = 2;
    /** Copies of gateways that haven't sent final counts are asked for after this time from the window's end. */
    static constexpr Duration COPIES_DELAY = milliseconds(1500);
    /** A token that wasn't heard for so long no longer makes lower ones count as those of former holders. */
    static constexpr Duration TOKEN_RETENTION = milliseconds(10000);
    /** The windows of so many peers at least show that this gateway's clock is behind. */
    static constexpr std::size_t MIN_PEER_WINDOWS = 3;
    /** How long a peer's copy shows the window in which it counts. */
    static constexpr Duration PEER_WINDOW_AGE = milliseconds(2500);
    /** The moment before of hearsMostGateways(). */
    static constexpr Duration LIVE_RETENTION = milliseconds(3000);

    /** `incarnation` is the start of this process in microseconds since 1970. */
    UsageProtocol(std::string ownName, std::uint64_t incarnation, Duration windowLength);

    void count(const std::string &team, const UsageClock &ownClock);
    /** Returns the messages that are due: queries of the holder and copies for the backups. */
    std::vector<UsageMessage> tick(const std::vector<std::string> &livePeers, const UsageClock &ownClock);
    /** Returns the answers to a query, for the gateway that sent it. */
    std::vector<UsageStatement> answer(const UsageQuery &query, const UsageClock &ownClock);
    /** Returns false if the statement is refused. */
    bool receive(const UsageStatement &statement, const UsageClock &clock);
    /** From now on, all backups get copies in each tick. */
    void beginStop()
    {
        m_isStopping = true;
    }
    /** Makes all counts final and returns the messages that tell the holder and the backups. */
    std::vector<UsageMessage> finishStop(const std::vector<std::string> &livePeers, const UsageClock &ownClock);

    /** See UsageCollection. */
    void begin(std::uint64_t fencingToken);
    void end();
    std::optional<ClosedWindow> closedWindow(std::int64_t window, const UsageClock &clock);
    std::optional<TimePoint> lastAskedAt() const
    {
        return m_lastAskedAt;
    }
    bool hearsMostGateways(const std::vector<std::string> &livePeers, TimePoint now) const;

    const UsageTable &table() const
    {
        return m_table;
    }
    bool isHolder() const
    {
        return m_ownToken != 0;
    }
    /** The holder that last asked, and its token; empty and 0 before. */
    const std::string &holder() const
    {
        return m_holder;
    }
    std::uint64_t holderToken() const
    {
        return m_holderToken;
    }

private:
    struct PeerWindow
    {
        std::int64_t window = 0;
        TimePoint at;
    };
    /** Advances the time of day to the window in which most peers count, if that is a later one. Otherwise counts of a
     * gateway whose clock was set back would go into windows that are closed without it. */
    UsageClock corrected(const UsageClock &clock) const;
    void notePeerWindow(const UsageStatement &statement, TimePoint now);
    void noteLive(const std::vector<std::string> &livePeers, const UsageClock &clock);
    /** The windows that are over and that the reports still lack. */
    std::vector<std::int64_t> wantedWindows(const UsageClock &clock) const;
    void addQueries(std::vector<UsageMessage> &out, const std::vector<std::string> &livePeers, const UsageClock &clock);
    void addCopies(std::vector<UsageMessage> &out, const std::vector<std::string> &livePeers, TimePoint now);
    UsageStatement ownStatement(std::int64_t window, UsageState state) const;
    const std::vector<std::string> &backups(const std::vector<std::string> &livePeers);

    std::string m_ownName;
    std::uint64_t m_incarnation;
    Duration m_length;
    UsageWindows m_windows;
    UsageTable m_table;
    std::uint64_t m_ticks = 0;
    bool m_isStopping = false;
    /** The present backups with the version of m_windows of which they have a copy. */
    std::map<std::string, std::uint64_t> m_backupVersions;
    /** 0 while this gateway isn't the holder. */
    std::uint64_t m_ownToken = 0;
    std::string m_holder;
    std::uint64_t m_holderToken = 0;
    std::optional<TimePoint> m_lastAskedAt;
    /** When closedWindow() was last called for a window without a result. */
    std::map<std::int64_t, TimePoint> m_inquiries;
    /** The live peers of the last LIVE_RETENTION, as samples of one second. */
    std::deque<std::pair<TimePoint, std::vector<std::string>>> m_liveSamples;
    std::int64_t m_advancedIn = -1;
    /** The latest windows of which peers have sent copies here. */
    std::map<std::string, PeerWindow> m_peerWindows;
    /** The live peers from which m_backups were chosen. */
    std::vector<std::string> m_backupCandidates;
    std::vector<std::string> m_backups;
};

}
