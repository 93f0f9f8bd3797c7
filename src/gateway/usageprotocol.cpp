/** \file
 * Queries, answers and copies of counts.
 */
#include "usageprotocol.h"

#include "peerdigest.h"
#include "rendezvoushash.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr Duration LIVE_SAMPLE_INTERVAL = milliseconds(1000);
/** The holder inquires about the windows that it lacks about once a second. */
constexpr Duration INQUIRY_AGE = milliseconds(3000);
/** A backup that is new gets the counts of these last windows; earlier ones have been collected. */
constexpr int WINDOWS_COPIED = 4;

}

UsageProtocol::UsageProtocol(std::string ownName, std::uint64_t incarnation, Duration windowLength)
    : m_ownName(std::move(ownName))
    , m_incarnation(incarnation)
    , m_length(windowLength)
    , m_windows(windowLength)
    , m_table(m_ownName, windowLength)
{
}

UsageClock UsageProtocol::corrected(const UsageClock &clock) const
{
    std::vector<std::int64_t> windows;
    for (const auto &[name, last] : m_peerWindows) {
        if (clock.now - last.at < PEER_WINDOW_AGE) {
            windows.push_back(last.window);
        }
    }
    if (windows.size() < MIN_PEER_WINDOWS) {
        return clock;
    }
    // More than half of the peers count in this window or a later one.
    const auto place = windows.begin() + static_cast<std::ptrdiff_t>((windows.size() - 1) / 2);
    std::nth_element(windows.begin(), place, windows.end());
    return {clock.now, std::max(clock.timeOfDay, TimePoint(m_length * *place))};
}

void UsageProtocol::notePeerWindow(const UsageStatement &statement, TimePoint now)
{
    for (auto it = m_peerWindows.begin(); it != m_peerWindows.end();) {
        it = now - it->second.at >= PEER_WINDOW_AGE ? m_peerWindows.erase(it) : std::next(it);
    }
    if (statement.state != UsageState::Partial || m_peerWindows.size() >= UsageTable::MAX_GATEWAYS) {
        return;
    }
    PeerWindow &last = m_peerWindows[statement.gateway];
    if (statement.counts.window >= last.window) {
        last = {statement.counts.window, now};
    }
}

void UsageProtocol::count(const std::string &team, const UsageClock &ownClock)
{
    const UsageClock clock = corrected(ownClock);
    m_windows.count(team, clock.timeOfDay, clock.now);
}

void UsageProtocol::noteLive(const std::vector<std::string> &livePeers, const UsageClock &clock)
{
    const std::int64_t present = usageWindowAt(clock.timeOfDay, m_length);
    const bool isSampleDue = m_liveSamples.empty() || clock.now - m_liveSamples.back().first >= LIVE_SAMPLE_INTERVAL;
    if (!isSampleDue && present == m_advancedIn) {
        return;
    }
    m_advancedIn = present;
    m_table.advance(livePeers, clock.timeOfDay, clock.now);
    m_windows.expire(clock.now);
    m_liveSamples.emplace_back(clock.now, livePeers);
    while (clock.now - m_liveSamples.front().first > LIVE_RETENTION) {
        m_liveSamples.pop_front();
    }
    for (auto it = m_inquiries.begin(); it != m_inquiries.end();) {
        it = clock.now - it->second >= INQUIRY_AGE ? m_inquiries.erase(it) : std::next(it);
    }
}

std::vector<UsageMessage> UsageProtocol::tick(const std::vector<std::string> &livePeers, const UsageClock &ownClock)
{
    const UsageClock clock = corrected(ownClock);
    noteLive(livePeers, clock);
    std::vector<UsageMessage> out;
    if (isHolder()) {
        addQueries(out, livePeers, clock);
    }
    addCopies(out, livePeers, clock.now);
    ++m_ticks;
    return out;
}

std::vector<std::int64_t> UsageProtocol::wantedWindows(const UsageClock &clock) const
{
    const std::int64_t present = usageWindowAt(clock.timeOfDay, m_length);
    std::set<std::int64_t> out{present - 1};
    for (const auto &[window, at] : m_inquiries) {
        if (window >= present - UsageTable::WINDOW_RANGE && window < present) {
            out.insert(window);
        }
    }
    std::vector<std::int64_t> lacking;
    std::copy_if(out.begin(), out.end(), std::back_inserter(lacking),
        [this](std::int64_t window) { return window >= 0 && !m_table.hasResult(window); });
    return lacking;
}

void UsageProtocol::addQueries(
    std::vector<UsageMessage> &out, const std::vector<std::string> &livePeers, const UsageClock &clock)
{
    const std::int64_t present = usageWindowAt(clock.timeOfDay, m_length);
    UsageQuery query;
    query.fencingToken = m_ownToken;
    query.holder = m_ownName;
    const std::vector<std::int64_t> wanted = wantedWindows(clock);
    std::optional<std::int64_t> firstOfCopies;
    std::set<std::uint32_t> copiesOf;
    for (const std::int64_t window : wanted) {
        m_windows.close(window);
        m_table.merge(ownStatement(window, UsageState::Final), clock.now);
        m_table.noteAsked(window, clock.now);
        if (clock.timeOfDay < TimePoint(m_length * (window + 1)) + COPIES_DELAY) {
            continue;
        }
        query.wantsAllCopies = query.wantsAllCopies || !m_table.knowsGateways(window);
        for (const std::string &name : m_table.wantedCopies(window)) {
            copiesOf.insert(gatewayHash(name));
        }
        if (!firstOfCopies && (query.wantsAllCopies || !copiesOf.empty())) {
            firstOfCopies = window;
        }
    }
    query.copiesOf.assign(copiesOf.begin(), copiesOf.end());
    query.copiesOf.resize(std::min(query.copiesOf.size(), UsageQuery::MAX_COPIES));
    for (const std::string &name : livePeers) {
        if (contentHash(name) % ASK_SLOTS != m_ticks % ASK_SLOTS) {
            continue;
        }
        const auto lacking = std::find_if(
            wanted.begin(), wanted.end(), [&](std::int64_t window) { return !m_table.isFinal(window, name); });
        query.first = lacking != wanted.end() ? *lacking : present;
        query.first = std::min(query.first, firstOfCopies.value_or(present));
        query.end = query.first == present ? present : wanted.back() + 1;
        out.push_back({name, query});
    }
}

const std::vector<std::string> &UsageProtocol::backups(const std::vector<std::string> &livePeers)
{
    if (livePeers != m_backupCandidates) {
        m_backupCandidates = livePeers;
        m_backups = rendezvousOrder(m_ownName, livePeers);
        m_backups.resize(std::min(m_backups.size(), BACKUPS));
    }
    return m_backups;
}

void UsageProtocol::addCopies(std::vector<UsageMessage> &out, const std::vector<std::string> &livePeers, TimePoint now)
{
    const std::uint64_t version = m_windows.version();
    const std::vector<std::int64_t> windows = m_windows.windows(now - m_length * WINDOWS_COPIED);
    const std::vector<std::string> &chosen = backups(livePeers);
    std::map<std::string, std::uint64_t> versions;
    const std::size_t parts = (BACKUPS + BACKUPS_AT_A_TIME - 1) / BACKUPS_AT_A_TIME;
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const std::string &name = chosen[i];
        const auto known = m_backupVersions.find(name);
        const std::uint64_t since = known != m_backupVersions.end() ? known->second : 0;
        const bool isNext = m_isStopping || i / BACKUPS_AT_A_TIME == m_ticks % parts;
        versions[name] = isNext ? version : since;
        for (const std::int64_t window : isNext ? windows : std::vector<std::int64_t>()) {
            UsageCounts changes = m_windows.changes(window, since);
            if (!changes.byTeam.empty()) {
                const std::uint64_t total = requestsIn(changes);
                out.push_back(
                    {name, UsageStatement{m_ownName, m_incarnation, UsageState::Partial, total, std::move(changes)}});
            }
        }
    }
    m_backupVersions = std::move(versions);
}

UsageStatement UsageProtocol::ownStatement(std::int64_t window, UsageState state) const
{
    UsageStatement out{m_ownName, m_incarnation, state, 0, m_windows.counts(window)};
    out.total = requestsIn(out.counts);
    return out;
}

std::vector<UsageStatement> UsageProtocol::answer(const UsageQuery &query, const UsageClock &ownClock)
{
    const UsageClock clock = corrected(ownClock);
    const bool isRecent = m_lastAskedAt && clock.now - *m_lastAskedAt < TOKEN_RETENTION;
    const bool isFormer = query.fencingToken < m_ownToken || (isRecent && query.fencingToken < m_holderToken);
    if (isFormer || query.holder == m_ownName) {
        return {};
    }
    m_lastAskedAt = clock.now;
    m_holder = query.holder;
    m_holderToken = query.fencingToken;
    std::vector<UsageStatement> out;
    const std::set<std::uint32_t> copiesOf(query.copiesOf.begin(), query.copiesOf.end());
    for (std::int64_t window = query.first; window < query.end; ++window) {
        if (m_windows.isOver(window, clock.timeOfDay)) {
            m_windows.close(window);
            out.push_back(ownStatement(window, UsageState::Final));
        } else {
            out.push_back({m_ownName, m_incarnation, UsageState::Open, 0, {window, {}}});
        }
        if (!query.wantsAllCopies && copiesOf.empty()) {
            continue;
        }
        for (UsageStatement &copy : m_table.copies(window)) {
            if (query.wantsAllCopies || copiesOf.count(gatewayHash(copy.gateway)) != 0) {
                out.push_back(std::move(copy));
            }
        }
    }
    return out;
}

bool UsageProtocol::receive(const UsageStatement &statement, const UsageClock &clock)
{
    const bool isOwn = statement.gateway == m_ownName && statement.incarnation == m_incarnation;
    if (isOwn) {
        return true;
    }
    notePeerWindow(statement, clock.now);
    return m_table.merge(statement, clock.now);
}

std::vector<UsageMessage> UsageProtocol::finishStop(
    const std::vector<std::string> &livePeers, const UsageClock &ownClock)
{
    const UsageClock clock = corrected(ownClock);
    const std::int64_t present = usageWindowAt(clock.timeOfDay, m_length);
    const std::vector<std::int64_t> counted = m_windows.windows();
    std::set<std::int64_t> windows(counted.begin(), counted.end());
    // The others may count this gateway as heard in the next window.
    for (std::int64_t window = present - 1; window <= present + 1; ++window) {
        windows.insert(window);
    }
    m_windows.close(std::max(present + 1, *windows.rbegin()));
    std::vector<std::string> receivers = backups(livePeers);
    if (!m_holder.empty() && std::find(receivers.begin(), receivers.end(), m_holder) == receivers.end()) {
        receivers.push_back(m_holder);
    }
    std::vector<UsageMessage> out;
    for (const std::int64_t window : windows) {
        for (const std::string &name : receivers) {
            out.push_back({name, ownStatement(window, UsageState::Stopped)});
        }
    }
    return out;
}

void UsageProtocol::begin(std::uint64_t fencingToken)
{
    m_ownToken = fencingToken;
    m_table.restartCollection();
}

void UsageProtocol::end()
{
    m_ownToken = 0;
}

std::optional<ClosedWindow> UsageProtocol::closedWindow(std::int64_t window, const UsageClock &clock)
{
    auto out = m_table.closedWindow(window, clock.now);
    if (!out) {
        m_inquiries[window] = clock.now;
        while (m_inquiries.size() > UsageTable::RESULTS_KEPT) {
            m_inquiries.erase(m_inquiries.begin());
        }
    }
    return out;
}

bool UsageProtocol::hearsMostGateways(const std::vector<std::string> &livePeers, TimePoint now) const
{
    std::set<std::string> known;
    for (const auto &[at, names] : m_liveSamples) {
        if (now - at <= LIVE_RETENTION) {
            known.insert(names.begin(), names.end());
        }
    }
    const auto heard = static_cast<std::size_t>(std::count_if(
        livePeers.begin(), livePeers.end(), [&known](const std::string &name) { return known.count(name) != 0; }));
    // This gateway counts in both.
    return 2 * (heard + 1) >= known.size() + 1;
}

}
