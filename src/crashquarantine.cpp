/** \file
 * Crashes and quarantine of requests by fingerprint.
 */
#include "crashquarantine.h"

#include <algorithm>

namespace Cyclamenturn
{

void CrashQuarantine::recordCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now)
{
    add({fingerprint, endpoint, now}, true, now);
}

void CrashQuarantine::clearSuspect(std::uint64_t fingerprint)
{
    m_suspects.erase(fingerprint);
}

void CrashQuarantine::merge(const CrashReport &report, TimePoint now)
{
    const bool old = report.at + QUARANTINE_TIME <= now;
    const bool future = report.at > now + QUARANTINE_TIME;
    if (!old && !future) {
        add(report, false, now);
    }
}

void CrashQuarantine::add(const CrashReport &report, bool isOwn, TimePoint now)
{
    if (m_suspects.size() >= MAX_SUSPECTS) {
        expire(now);
    }
    if (m_suspects.size() < MAX_SUSPECTS || m_suspects.count(report.fingerprint) != 0) {
        add(m_suspects[report.fingerprint], report, isOwn);
    }
}

void CrashQuarantine::add(Suspect &suspect, const CrashReport &report, bool isOwn)
{
    const auto isSameCrash = [this, &report](const Crash &crash) {
        return crash.endpoint == report.endpoint && crash.at - report.at < m_sameCrashWindow
            && report.at - crash.at < m_sameCrashWindow;
    };
    const auto known = std::find_if(suspect.crashes.begin(), suspect.crashes.end(), isSameCrash);
    if (known != suspect.crashes.end()) {
        // A report grows a little younger with each process that passes it on, and would otherwise never expire.
        known->at = report.at - known->at < CRASH_REPORT_WINDOW ? std::min(known->at, report.at) : report.at;
        known->isOwn = known->isOwn || isOwn;
    } else if (suspect.crashes.size() < MAX_CRASHES) {
        suspect.crashes.push_back({report.endpoint, report.at, isOwn});
    }
    const auto last = std::max_element(
        suspect.crashes.begin(), suspect.crashes.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    suspect.lastCrash = last->at;
}

bool CrashQuarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now) const
{
    return crashes(fingerprint, now) >= m_crashLimit;
}

bool CrashQuarantine::isSuspect(std::uint64_t fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && now < it->second.lastCrash + QUARANTINE_TIME;
}

int CrashQuarantine::crashes(std::uint64_t fingerprint, TimePoint now) const
{
    return isSuspect(fingerprint, now) ? static_cast<int>(m_suspects.at(fingerprint).crashes.size()) : 0;
}

std::vector<CrashReport> CrashQuarantine::reportsOf(std::uint64_t fingerprint, TimePoint now) const
{
    std::vector<CrashReport> out;
    if (isSuspect(fingerprint, now)) {
        for (const auto &crash : m_suspects.at(fingerprint).crashes) {
            out.push_back({fingerprint, crash.endpoint, crash.at});
        }
    }
    return out;
}

CrashReportSelection CrashQuarantine::reports(TimePoint now, std::size_t maxCount, double draw) const
{
    std::vector<CrashReport> quarantined;
    std::vector<CrashReport> own;
    std::vector<CrashReport> repeated;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        const int count = crashes(fingerprint, now);
        for (const auto &crash : suspect.crashes) {
            const CrashReport report{fingerprint, crash.endpoint, crash.at};
            if (count >= m_crashLimit) {
                quarantined.push_back(report);
            } else if (crash.isOwn && now < crash.at + OWN_REPORT_TIME) {
                own.push_back(report);
            } else if (count > 1) {
                repeated.push_back(report);
            }
        }
    }
    CrashReportSelection out;
    const auto append = [&out, draw](std::vector<CrashReport> &reports, std::size_t end) {
        const std::size_t room = end - std::min(end, out.reports.size());
        if (reports.size() > room) {
            const auto first = static_cast<std::ptrdiff_t>(draw * static_cast<double>(reports.size()));
            std::rotate(reports.begin(), reports.begin() + first, reports.end());
            out.leftOut += reports.size() - room;
            reports.resize(room);
        }
        out.reports.insert(out.reports.end(), reports.begin(), reports.end());
    };
    append(quarantined, maxCount / 2);
    append(own, maxCount);
    append(repeated, maxCount);
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
}

}
