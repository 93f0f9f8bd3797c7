/** \file
 * Crashes and quarantine of requests by fingerprint.
 */
#include "crashquarantine.h"

#include <algorithm>
#include <map>

namespace Cyclamenturn
{

namespace
{

/** Removes items beyond `maxCount`, beginning at a random place; `draw` is in [0, 1). Returns how many were removed. */
template<typename Item>
std::size_t resizeByLot(std::vector<Item> &items, std::size_t maxCount, double draw)
{
    if (items.size() <= maxCount) {
        return 0;
    }
    const std::size_t removed = items.size() - maxCount;
    const auto first = static_cast<std::ptrdiff_t>(draw * static_cast<double>(items.size()));
    std::rotate(items.begin(), items.begin() + first, items.end());
    items.resize(maxCount);
    return removed;
}

}

void CrashQuarantine::recordCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now)
{
    add(fingerprint, {endpoint, now, now, true}, now);
    m_liveness[endpoint].lostAt = now;
}

void CrashQuarantine::recordSilence(
    std::uint64_t fingerprint, const std::string &endpoint, TimePoint silentSince, TimePoint now)
{
    add(fingerprint, {endpoint, now, std::max(now, silentSince + SILENCE_TIME), true}, now);
}

void CrashQuarantine::noteResponse(const std::string &endpoint, TimePoint sentAt)
{
    Liveness &liveness = m_liveness[endpoint];
    liveness.respondedAt = std::max(liveness.respondedAt, sentAt);
    liveness.respondedToUsAt = std::max(liveness.respondedToUsAt, sentAt);
}

void CrashQuarantine::merge(const EndpointSighting &sighting)
{
    Liveness &liveness = m_liveness[sighting.endpoint];
    liveness.respondedAt = std::max(liveness.respondedAt, sighting.sentAt - SIGHTING_MARGIN);
}

void CrashQuarantine::noteEndpointEnded(const std::string &endpoint, TimePoint now)
{
    Liveness &liveness = m_liveness[endpoint];
    liveness.respondedAt = std::min(liveness.respondedAt, now);
    liveness.lostAt = now;
    liveness.hasEnded = true;
}

void CrashQuarantine::noteRefusedConnection(const std::string &endpoint, TimePoint now)
{
    const auto found = m_liveness.find(endpoint);
    if (found == m_liveness.end() || found->second.refusedAt >= found->second.crashAddedAt) {
        return;
    }
    found->second.refusedAt = now;
    for (auto &[fingerprint, suspect] : m_suspects) {
        for (auto &crash : suspect.crashes) {
            if (crash.endpoint == endpoint && !isWithdrawn(crash)) {
                crash.isFinal = true;
                crash.countsFrom = std::min(crash.countsFrom, now);
            }
        }
    }
}

bool CrashQuarantine::hasEndedBefore(const std::string &endpoint, TimePoint sentAt) const
{
    const auto found = m_liveness.find(endpoint);
    return found != m_liveness.end() && found->second.lostAt > found->second.respondedAt
        && found->second.lostAt < sentAt && sentAt - found->second.lostAt < END_SPREAD;
}

bool CrashQuarantine::wasSilentBefore(const std::string &endpoint, TimePoint sentAt, std::uint64_t fingerprint) const
{
    const auto found = m_liveness.find(endpoint);
    if (found != m_liveness.end() && found->second.lostAt > found->second.respondedAt
        && found->second.lostAt < sentAt) {
        return true;
    }
    const auto silentRequests = std::count_if(m_suspects.begin(), m_suspects.end(), [&](const auto &item) {
        const auto &crashes = item.second.crashes;
        return item.first != fingerprint && std::any_of(crashes.begin(), crashes.end(), [&](const Crash &crash) {
            return crash.endpoint == endpoint && crash.countsFrom < sentAt && !hasRespondedSince(crash);
        });
    });
    return silentRequests >= MIN_SILENT_REQUESTS;
}

void CrashQuarantine::clearSuspect(std::uint64_t fingerprint, TimePoint now)
{
    if (m_suspects.count(fingerprint) != 0) {
        clear(fingerprint, {now, true});
    }
}

void CrashQuarantine::merge(const ClearedSuspect &cleared, TimePoint now)
{
    const bool isCurrent = cleared.at + QUARANTINE_TIME > now && cleared.at <= now;
    if (isCurrent && (m_cleared.size() < MAX_SUSPECTS || m_suspects.count(cleared.fingerprint) != 0)) {
        clear(cleared.fingerprint, {cleared.at, false});
    }
}

void CrashQuarantine::clear(std::uint64_t fingerprint, const Clearance &clearance)
{
    Clearance &known = m_cleared[fingerprint];
    if (clearance.at > known.at) {
        known = clearance;
    }
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        return;
    }
    auto &crashes = found->second.crashes;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                      [this, fingerprint](const Crash &crash) { return isCleared(fingerprint, crash); }),
        crashes.end());
    if (crashes.empty()) {
        m_suspects.erase(found);
    }
}

bool CrashQuarantine::isCleared(std::uint64_t fingerprint, const Crash &crash) const
{
    const auto found = m_cleared.find(fingerprint);
    return found != m_cleared.end() && crash.at <= found->second.at;
}

void CrashQuarantine::merge(const CrashReport &report, TimePoint now)
{
    const bool old = report.at + QUARANTINE_TIME <= now;
    const bool future = report.at > now + QUARANTINE_TIME;
    if (!old && !future) {
        add(report.fingerprint, {report.endpoint, report.at, report.at, false, report.isFinal}, now);
    }
}

void CrashQuarantine::add(std::uint64_t fingerprint, const Crash &crash, TimePoint now)
{
    if (isCleared(fingerprint, crash)) {
        return;
    }
    m_liveness[crash.endpoint].crashAddedAt = now;
    if (m_suspects.size() >= MAX_SUSPECTS) {
        expire(now);
    }
    if (m_suspects.size() < MAX_SUSPECTS || m_suspects.count(fingerprint) != 0) {
        add(m_suspects[fingerprint], crash);
    }
}

void CrashQuarantine::add(Suspect &suspect, const Crash &crash)
{
    const auto known = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
        [this, &crash](const Crash &other) { return isSameCrash(crash, other); });
    if (known != suspect.crashes.end()) {
        // A report grows a little younger with each process that passes it on, and would otherwise never expire.
        known->at = crash.at - known->at < CRASH_REPORT_WINDOW ? std::min(known->at, crash.at) : crash.at;
        known->countsFrom = std::min(known->countsFrom, crash.countsFrom);
        known->isOwn = known->isOwn || crash.isOwn;
        known->isFinal = known->isFinal || crash.isFinal;
    } else if (suspect.crashes.size() < MAX_CRASHES) {
        suspect.crashes.push_back(crash);
    }
    const auto last = std::max_element(
        suspect.crashes.begin(), suspect.crashes.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    suspect.lastCrash = last->at;
}

bool CrashQuarantine::counts(const Crash &crash, TimePoint now) const
{
    return now >= crash.countsFrom && !isWithdrawn(crash);
}

bool CrashQuarantine::hasRespondedSince(const Crash &crash) const
{
    const auto found = m_liveness.find(crash.endpoint);
    return found != m_liveness.end() && !found->second.hasEnded && found->second.respondedAt > crash.countsFrom;
}

bool CrashQuarantine::isWithdrawn(const Crash &crash) const
{
    return !crash.isFinal && hasRespondedSince(crash);
}

bool CrashQuarantine::isSameCrash(const Crash &crash, const Crash &other) const
{
    const Duration window = crash.isFinal || other.isFinal ? CRASH_REPORT_WINDOW : m_sameCrashWindow;
    return crash.endpoint == other.endpoint && crash.at - other.at < window && other.at - crash.at < window;
}

bool CrashQuarantine::isDisputed(const CrashReport &report, int crashCount, TimePoint now) const
{
    const Crash reported{report.endpoint, report.at, report.at, false, report.isFinal};
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &item) {
        const auto &[fingerprint, suspect] = item;
        const bool mayBeCause
            = fingerprint != report.fingerprint && suspect.crashes.size() >= static_cast<std::size_t>(crashCount);
        return mayBeCause && crashes(fingerprint, now) >= crashCount
            && std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                [&](const Crash &crash) { return counts(crash, now) && isSameCrash(reported, crash); });
    });
}

bool CrashQuarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now) const
{
    const auto reports = reportsOf(fingerprint, now);
    const int crashCount = static_cast<int>(reports.size());
    if (crashCount < m_crashLimit || crashCount >= m_crashLimit + MAX_DISPUTED_CRASHES) {
        return crashCount >= m_crashLimit;
    }
    const auto undisputed = std::count_if(reports.begin(), reports.end(),
        [&](const CrashReport &report) { return !isDisputed(report, crashCount, now); });
    return undisputed >= m_crashLimit;
}

bool CrashQuarantine::isSuspect(std::uint64_t fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && now < it->second.lastCrash + QUARANTINE_TIME;
}

int CrashQuarantine::crashes(std::uint64_t fingerprint, TimePoint now) const
{
    return static_cast<int>(reportsOf(fingerprint, now).size());
}

CrashTally CrashQuarantine::tally(std::uint64_t fingerprint, TimePoint now) const
{
    CrashTally out;
    if (!isSuspect(fingerprint, now)) {
        return out;
    }
    const int crashCount = crashes(fingerprint, now);
    for (const auto &crash : m_suspects.at(fingerprint).crashes) {
        if (counts(crash, now)) {
            ++out.counted;
            out.disputed += isDisputed({fingerprint, crash.endpoint, crash.at, crash.isFinal}, crashCount, now) ? 1 : 0;
        } else if (now < crash.countsFrom) {
            ++out.pending;
        } else {
            ++out.withdrawn;
        }
    }
    return out;
}

std::vector<CrashReport> CrashQuarantine::reportsOf(std::uint64_t fingerprint, TimePoint now) const
{
    std::vector<CrashReport> out;
    if (isSuspect(fingerprint, now)) {
        for (const auto &crash : m_suspects.at(fingerprint).crashes) {
            if (counts(crash, now)) {
                out.push_back({fingerprint, crash.endpoint, crash.countsFrom, crash.isFinal});
            }
        }
    }
    return out;
}

CrashReportSelection CrashQuarantine::reports(TimePoint now, std::size_t maxCount, double draw) const
{
    std::vector<CrashReport> freshRepeated;
    std::vector<CrashReport> freshOwn;
    std::vector<CrashReport> olderRepeated;
    std::vector<CrashReport> olderOwn;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        const bool isRepeated = crashes(fingerprint, now) > 1;
        for (const auto &crash : suspect.crashes) {
            const bool isFresh = now < crash.at + FRESH_REPORT_TIME;
            const bool isOwnReport = crash.isOwn && now < crash.at + OWN_REPORT_TIME;
            if (!counts(crash, now) || !(isRepeated || isOwnReport)) {
                continue;
            }
            auto &group = isRepeated ? (isFresh ? freshRepeated : olderRepeated) : (isFresh ? freshOwn : olderOwn);
            group.push_back({fingerprint, crash.endpoint, crash.countsFrom, crash.isFinal});
        }
    }
    CrashReportSelection out;
    const auto append = [&out, draw](std::vector<CrashReport> &reports, std::size_t end) {
        out.leftOut += resizeByLot(reports, end - std::min(end, out.reports.size()), draw);
        out.reports.insert(out.reports.end(), reports.begin(), reports.end());
    };
    append(freshRepeated, maxCount / 2);
    append(freshOwn, maxCount * 3 / 4);
    append(olderRepeated, maxCount);
    append(olderOwn, maxCount);
    return out;
}

std::vector<EndpointSighting> CrashQuarantine::sightings(TimePoint now, std::size_t maxCount, double draw) const
{
    std::map<std::string, TimePoint> seen;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const auto &crash : suspect.crashes) {
            const auto found = m_liveness.find(crash.endpoint);
            const bool isRecent = now < crash.countsFrom + OWN_REPORT_TIME;
            if (isRecent && found != m_liveness.end() && found->second.respondedToUsAt > crash.countsFrom) {
                seen[crash.endpoint] = found->second.respondedToUsAt;
            }
        }
    }
    std::vector<EndpointSighting> out;
    out.reserve(seen.size());
    for (const auto &[endpoint, sentAt] : seen) {
        out.push_back({endpoint, sentAt});
    }
    resizeByLot(out, maxCount, draw);
    return out;
}

std::vector<ClearedSuspect> CrashQuarantine::clearedSuspects(TimePoint now, std::size_t maxCount, double draw) const
{
    std::vector<ClearedSuspect> out;
    for (const auto &[fingerprint, clearance] : m_cleared) {
        if (clearance.isOwn && now < clearance.at + OWN_REPORT_TIME) {
            out.push_back({fingerprint, clearance.at});
        }
    }
    resizeByLot(out, maxCount, draw);
    return out;
}

void CrashQuarantine::expire(TimePoint now)
{
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        if (it->second.lastCrash + QUARANTINE_TIME > now) {
            ++it;
            continue;
        }
        it = m_suspects.erase(it);
    }
    for (auto it = m_cleared.begin(); it != m_cleared.end();) {
        it = it->second.at + QUARANTINE_TIME > now ? std::next(it) : m_cleared.erase(it);
    }
    for (auto it = m_liveness.begin(); it != m_liveness.end();) {
        const TimePoint last = std::max(it->second.respondedAt, it->second.lostAt);
        it = last + QUARANTINE_TIME > now ? std::next(it) : m_liveness.erase(it);
    }
}

}
