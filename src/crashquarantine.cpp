/** \file
 * Crash counts and quarantine of requests by fingerprint.
 */
#include "crashquarantine.h"

#include <algorithm>

namespace Cyclamenturn
{

void CrashQuarantine::recordCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now)
{
    if (m_suspects.size() >= MAX_SUSPECTS) {
        expire(now);
    }
    if (m_suspects.size() >= MAX_SUSPECTS && m_suspects.count(fingerprint) == 0) {
        return;
    }
    CrashSuspect &suspect = m_suspects[fingerprint];
    const bool sameCrash
        = suspect.crashes > 0 && suspect.endpoint == endpoint && now - suspect.lastCrash < CRASH_REPORT_WINDOW;
    suspect.fingerprint = fingerprint;
    suspect.crashes += sameCrash ? 0 : 1;
    suspect.endpoint = endpoint;
    suspect.lastCrash = now;
}

void CrashQuarantine::clearSuspect(std::uint64_t fingerprint)
{
    m_suspects.erase(fingerprint);
}

void CrashQuarantine::merge(const CrashSuspect &suspect, TimePoint now)
{
    const bool old = suspect.lastCrash + QUARANTINE_TIME <= now;
    const bool future = suspect.lastCrash > now + QUARANTINE_TIME;
    if (old || future || (m_suspects.size() >= MAX_SUSPECTS && m_suspects.count(suspect.fingerprint) == 0)) {
        return;
    }
    CrashSuspect &known = m_suspects[suspect.fingerprint];
    known.fingerprint = suspect.fingerprint;
    known.crashes = std::max(known.crashes, suspect.crashes);
    if (suspect.lastCrash >= known.lastCrash) {
        known.lastCrash = suspect.lastCrash;
        known.endpoint = suspect.endpoint;
    }
}

bool CrashQuarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && it->second.crashes >= m_crashLimit && now < it->second.lastCrash + QUARANTINE_TIME;
}

bool CrashQuarantine::isSuspect(std::uint64_t fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && now < it->second.lastCrash + QUARANTINE_TIME;
}

int CrashQuarantine::crashes(std::uint64_t fingerprint, TimePoint now) const
{
    return isSuspect(fingerprint, now) ? m_suspects.at(fingerprint).crashes : 0;
}

std::vector<CrashSuspect> CrashQuarantine::suspects(TimePoint now, std::size_t maxCount) const
{
    std::vector<CrashSuspect> out;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (isSuspect(fingerprint, now)) {
            out.push_back(suspect);
        }
    }
    std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.lastCrash > b.lastCrash; });
    out.resize(std::min(out.size(), maxCount));
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
