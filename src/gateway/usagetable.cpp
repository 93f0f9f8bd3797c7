/** \file
 * Merging of counts and closing of windows.
 */
#include "usagetable.h"

#include "usagewindows.h"

#include <algorithm>

namespace Cyclamenturn
{

UsageTable::UsageTable(std::string ownName, Duration windowLength)
    : m_ownName(std::move(ownName))
    , m_length(windowLength)
{
}

void UsageTable::advance(const std::vector<std::string> &livePeers, TimePoint timeOfDay, TimePoint now)
{
    const std::int64_t present = usageWindowAt(timeOfDay, m_length);
    if (!m_startedAt) {
        m_startedAt = now;
    }
    m_clockOffset = timeOfDay - now;
    const bool hasSkipped = m_present && present != *m_present && present != *m_present + 1;
    if (now - *m_startedAt < SETTLING_TIME || hasSkipped) {
        m_firstKnown = present + 1;
    }
    m_present = present;
    m_live = std::set<std::string>(livePeers.begin(), livePeers.end());
    Window &window = m_windows[present];
    window.touchedAt = now;
    for (const std::string &name : livePeers) {
        if (window.heard.size() < MAX_GATEWAYS) {
            window.heard.insert(name);
        }
    }
    for (auto &[number, ended] : m_windows) {
        if (number < present) {
            setEnded(number, ended, now);
        }
    }
    expire(now);
}

void UsageTable::setEnded(std::int64_t number, Window &window, TimePoint now) const
{
    if (!window.endedAt) {
        const TimePoint end = TimePoint(m_length * (number + 1)) - m_clockOffset;
        window.endedAt = std::min(end, now);
    }
}

void UsageTable::expire(TimePoint now)
{
    for (auto it = m_windows.begin(); it != m_windows.end();) {
        if (now - it->second.touchedAt < m_length * UsageWindows::WINDOWS_KEPT) {
            ++it;
            continue;
        }
        for (const auto &[name, incarnations] : it->second.gateways) {
            for (const auto &[incarnation, record] : incarnations) {
                m_entries -= record.byTeam.size();
            }
        }
        it = m_windows.erase(it);
    }
}

bool UsageTable::merge(const UsageStatement &statement, TimePoint now)
{
    const std::int64_t number = statement.counts.window;
    if (!isNear(number)) {
        return false;
    }
    Window &window = m_windows[number];
    window.touchedAt = now;
    if (window.gateways.size() >= MAX_GATEWAYS && window.gateways.count(statement.gateway) == 0) {
        return false;
    }
    Incarnations &incarnations = window.gateways[statement.gateway];
    if (incarnations.size() >= MAX_INCARNATIONS && incarnations.count(statement.incarnation) == 0) {
        return false;
    }
    Record &record = incarnations[statement.incarnation];
    for (const auto &[team, count] : statement.counts.byTeam) {
        const auto known = record.byTeam.find(team);
        if (known != record.byTeam.end()) {
            record.sum += std::max(count, known->second) - known->second;
            known->second = std::max(count, known->second);
        } else if (m_entries < MAX_ENTRIES) {
            record.byTeam.emplace(team, count);
            record.sum += count;
            ++m_entries;
        } else {
            return false;
        }
    }
    if (statement.state == UsageState::Open) {
        record.openAt = now;
    } else if (statement.state >= UsageState::Final) {
        record.state = std::max(record.state, statement.state);
        record.total = std::max(record.total, statement.total);
        record.openAt.reset();
    }
    return true;
}

void UsageTable::noteAsked(std::int64_t number, TimePoint now)
{
    if (!isNear(number)) {
        return;
    }
    Window &window = m_windows[number];
    setEnded(number, window, now);
    window.touchedAt = now;
    if (!window.askedSince) {
        window.askedSince = now;
    }
}

void UsageTable::restartCollection()
{
    for (auto &[number, window] : m_windows) {
        window.askedSince.reset();
    }
}

bool UsageTable::isFinal(const Window &window, const std::string &gateway)
{
    const auto found = window.gateways.find(gateway);
    return found != window.gateways.end() && !found->second.empty() && found->second.rbegin()->second.isComplete();
}

bool UsageTable::isFinal(std::int64_t number, const std::string &gateway) const
{
    const auto found = m_windows.find(number);
    return found != m_windows.end() && isFinal(found->second, gateway);
}

bool UsageTable::isUnsettled(std::int64_t number, const Incarnations &incarnations) const
{
    const auto &[newest, record] = *incarnations.rbegin();
    const bool isStarted = newest > static_cast<std::uint64_t>(std::max<std::int64_t>(0, (m_length * number).count()));
    const bool isCovered = std::any_of(
        incarnations.begin(), std::prev(incarnations.end()), [](const auto &item) { return item.second.isComplete(); });
    return record.state == UsageState::Stopped || (isStarted && !isCovered);
}

std::set<std::string> UsageTable::expected(const Window &window) const
{
    std::set<std::string> out = window.heard;
    out.insert(m_live.begin(), m_live.end());
    out.insert(m_ownName);
    return out;
}

std::vector<std::string> UsageTable::missing(std::int64_t number) const
{
    std::vector<std::string> out;
    const auto found = m_windows.find(number);
    if (found == m_windows.end()) {
        return out;
    }
    for (const std::string &name : expected(found->second)) {
        if (!isFinal(found->second, name)) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> UsageTable::wantedCopies(std::int64_t number) const
{
    std::vector<std::string> out = missing(number);
    const auto found = m_windows.find(number);
    if (found == m_windows.end()) {
        return out;
    }
    for (const auto &[name, incarnations] : found->second.gateways) {
        if (isFinal(found->second, name) && isUnsettled(number, incarnations)) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<UsageStatement> UsageTable::copies(std::int64_t number) const
{
    std::vector<UsageStatement> out;
    const auto found = m_windows.find(number);
    if (found == m_windows.end()) {
        return out;
    }
    for (const auto &[name, incarnations] : found->second.gateways) {
        if (name == m_ownName) {
            continue;
        }
        for (const auto &[incarnation, record] : incarnations) {
            const UsageState state = record.isComplete() ? record.state : UsageState::Partial;
            out.push_back({name, incarnation, state, record.sum, {number, record.byTeam}});
        }
    }
    return out;
}

bool UsageTable::isDue(std::int64_t number, const Window &window, const ClosedWindow &result, TimePoint now) const
{
    int open = 0;
    bool isSettled = true;
    for (const auto &[name, incarnations] : window.gateways) {
        const Record &newest = incarnations.rbegin()->second;
        open += newest.openAt && now - *newest.openAt < OPEN_STATEMENT_AGE ? 1 : 0;
        isSettled = isSettled && !(newest.isComplete() && isUnsettled(number, incarnations));
    }
    if (open >= result.closedGateways) {
        return false;
    }
    const Duration sinceEnd = now - *window.endedAt;
    if (result.missingGateways == 0 && knowsGateways(number)) {
        return isSettled || sinceEnd >= SETTLING_TIME;
    }
    return sinceEnd >= CLOSE_TIMEOUT && now - *window.askedSince >= COLLECTION_TIME;
}

std::optional<ClosedWindow> UsageTable::closedWindow(std::int64_t number, TimePoint now)
{
    if (const auto known = m_results.find(number); known != m_results.end()) {
        return known->second;
    }
    const auto found = m_windows.find(number);
    if (number <= m_forgottenThrough || found == m_windows.end() || !found->second.endedAt || !found->second.askedSince
        || !isFinal(found->second, m_ownName)) {
        return std::nullopt;
    }
    const Window &window = found->second;
    ClosedWindow result;
    result.counts.window = number;
    for (const std::string &name : expected(window)) {
        ++(isFinal(window, name) ? result.closedGateways : result.missingGateways);
    }
    if (!isDue(number, window, result, now)) {
        return std::nullopt;
    }
    for (const auto &[name, incarnations] : window.gateways) {
        for (const auto &[incarnation, record] : incarnations) {
            for (const auto &[team, count] : record.byTeam) {
                result.counts.byTeam[team] += count;
            }
        }
    }
    m_results.emplace(number, result);
    while (m_results.size() > RESULTS_KEPT) {
        m_forgottenThrough = std::max(m_forgottenThrough, m_results.begin()->first);
        m_results.erase(m_results.begin());
    }
    return result;
}

}
