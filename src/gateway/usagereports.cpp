/** \file
 * Which window's usage report is collected, recorded and sent next.
 */
#include "usagereports.h"

#include <algorithm>
#include <iterator>

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int CONFLICT = 409;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int UNAVAILABLE = 503;
constexpr Duration DELAY_AFTER_SILENCE = milliseconds(1000);
constexpr Duration DELAY_AFTER_REFUSAL = milliseconds(500);
/** The clocks of two gateways differ by some ten milliseconds. */
constexpr Duration CLOCK_MARGIN = milliseconds(250);
/** Reports are known for longer than their records are kept. */
constexpr std::int64_t KNOWN_REPORTS = 2 * UsageReports::KEPT_RECORDS;

}

UsageReports::UsageReports(Duration windowLength, Duration reportDue)
    : m_windowLength(windowLength)
    , m_reportDue(reportDue)
{
}

std::int64_t UsageReports::firstEndingAt(TimePoint time) const
{
    return (time.time_since_epoch() + m_windowLength - Duration(1)) / m_windowLength - 1;
}

std::int64_t UsageReports::firstInTime(TimePoint now) const
{
    return firstEndingAt(now - m_reportDue - SENDING_TIME);
}

void UsageReports::noteEra(std::uint64_t era, bool isHolder, TimePoint now)
{
    if (m_era && era <= *m_era) {
        return;
    }
    if (m_era && isHolder && m_isActive) {
        // Nobody else could write a record since begin(), so this gateway knows all that were lost. The other gateways
        // don't know them.
        auto last = m_firstRecordable - 1;
        for (const auto &[window, state] : m_states) {
            last = state.isSettled ? std::max(last, window) : last;
        }
        m_firstWindow = std::max(m_firstWindow, last + 1);
    } else {
        m_firstWindow = firstEndingAt(now + CLOCK_MARGIN);
        m_firstRecordable = m_firstWindow;
    }
    m_era = era;
    end();
}

std::vector<std::int64_t> UsageReports::begin(const std::vector<UsageRecord> &records, TimePoint now)
{
    std::vector<std::int64_t> conflicts;
    std::int64_t accepted = 0;
    for (const auto &record : records) {
        accepted = std::max(accepted, record.acceptedThrough);
        if (m_era == record.era) {
            m_firstWindow = std::min(m_firstWindow, record.firstWindow);
        }
        State &state = m_states[record.window];
        if (state.isSettled && state.body != record.report) {
            state.isRefused = true;
            conflicts.push_back(record.window);
            continue;
        }
        state.body = record.report;
        state.isSettled = true;
        state.isInStore = true;
    }
    m_firstRecordable = std::min(m_firstRecordable, m_firstWindow);
    for (auto &[window, state] : m_states) {
        state.isAccepted = state.isAccepted || (state.isSettled && window <= accepted);
    }
    m_missedBefore = std::max({m_missedBefore, firstInTime(now), m_states.empty() ? m_firstRecordable : 0});
    m_isActive = true;
    return conflicts;
}

void UsageReports::end()
{
    m_isActive = false;
    for (auto it = m_states.begin(); it != m_states.end();) {
        it->second.isInStore = false;
        it = it->second.isSettled ? std::next(it) : m_states.erase(it);
    }
}

std::vector<std::int64_t> UsageReports::windowsToCollect(TimePoint now) const
{
    std::vector<std::int64_t> out;
    if (!m_isActive) {
        return out;
    }
    const std::int64_t afterLast = firstEndingAt(now + Duration(1));
    for (auto window = std::max(firstInTime(now), m_firstRecordable); window < afterLast; ++window) {
        if (m_states.count(window) == 0) {
            out.push_back(window);
        }
    }
    return out;
}

void UsageReports::setReport(std::int64_t window, std::string body)
{
    if (m_isActive && isRecordable(window) && m_states.count(window) == 0) {
        m_states[window].body = std::move(body);
    }
}

std::int64_t UsageReports::acceptedThrough(TimePoint now) const
{
    auto out = firstInTime(now) - 1;
    for (auto it = m_states.find(out + 1); it != m_states.end() && it->first == out + 1 && !it->second.isOpen(); ++it) {
        ++out;
    }
    return out;
}

std::optional<UsageRecord> UsageReports::recordToWrite(TimePoint now) const
{
    if (!m_isActive) {
        return std::nullopt;
    }
    for (auto it = m_states.lower_bound(firstInTime(now)); it != m_states.end(); ++it) {
        if (it->second.isOpen() && !it->second.isInStore) {
            return UsageRecord{it->first, it->second.body, m_era.value_or(0), m_firstWindow, acceptedThrough(now)};
        }
    }
    return std::nullopt;
}

std::vector<std::int64_t> UsageReports::recordsToRemove(std::int64_t window) const
{
    std::vector<std::int64_t> out;
    for (const auto &[known, state] : m_states) {
        if (state.isInStore && known <= window - KEPT_RECORDS) {
            out.push_back(known);
        }
    }
    return out;
}

void UsageReports::noteRecorded(std::int64_t window, const std::string &body)
{
    if (!m_isActive) {
        return;
    }
    State &state = m_states[window];
    if (state.isSettled && state.body != body) {
        state.isRefused = true;
        return;
    }
    state.body = body;
    state.isSettled = true;
    state.isInStore = true;
}

void UsageReports::noteRemoved(const std::vector<std::int64_t> &windows)
{
    for (const auto window : windows) {
        if (const auto found = m_states.find(window); found != m_states.end()) {
            found->second.isInStore = false;
        }
    }
}

void UsageReports::refuse(std::int64_t window)
{
    m_states[window].isRefused = true;
}

void UsageReports::forgetStore()
{
    end();
    m_era.reset();
}

std::optional<UsageReports::Report> UsageReports::reportToSend(TimePoint now) const
{
    if (!m_isActive || now < m_nextCallAt) {
        return std::nullopt;
    }
    for (auto it = m_states.lower_bound(firstInTime(now)); it != m_states.end(); ++it) {
        const State &state = it->second;
        if (state.isInStore && state.isOpen()) {
            return Report{it->first, state.body, state.tries};
        }
    }
    return std::nullopt;
}

void UsageReports::noteSent(std::int64_t window)
{
    ++m_states[window].tries;
}

UsageReports::CallResult UsageReports::responseReceived(std::int64_t window, int status, TimePoint now)
{
    switch (status) {
    case OK:
        m_states[window].isAccepted = true;
        return CallResult::Accepted;
    case CONFLICT:
        return CallResult::TokenRejected;
    case TOO_MANY_REQUESTS:
    case UNAVAILABLE:
        m_nextCallAt = now + DELAY_AFTER_REFUSAL;
        return CallResult::Repeat;
    case 0:
        m_nextCallAt = now + DELAY_AFTER_SILENCE;
        return CallResult::Repeat;
    default:
        m_states[window].isRefused = true;
        return CallResult::Refused;
    }
}

std::vector<UsageReports::MissedWindow> UsageReports::takeMissed(TimePoint now)
{
    std::vector<MissedWindow> out;
    const auto first = firstInTime(now);
    for (; m_isActive && m_missedBefore < first; ++m_missedBefore) {
        const auto found = m_states.find(m_missedBefore);
        if (found == m_states.end()) {
            out.push_back({m_missedBefore, isRecordable(m_missedBefore) ? "not_collected" : "not_recordable"});
        } else if (!found->second.isAccepted) {
            out.push_back({m_missedBefore, found->second.isInStore ? "not_accepted" : "not_recorded"});
        }
    }
    m_states.erase(m_states.begin(), m_states.lower_bound(first - KNOWN_REPORTS));
    return out;
}

std::size_t UsageReports::unacceptedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(),
        [](const auto &item) { return item.second.isSettled && item.second.isOpen(); }));
}

}
