/** \file
 * Suspicion and quarantine of requests by fingerprint.
 */
#include "crashquarantine.h"

#include <algorithm>

namespace Cyclamenturn
{

void CrashQuarantine::noteCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now)
{
    if (m_suspects.size() >= MOST_SUSPECTS) {
        expire(now);
    }
    if (m_suspects.size() >= MOST_SUSPECTS && m_suspects.count(fingerprint) == 0) {
        return;
    }
    Suspicion &suspicion = m_suspects[fingerprint];
    const bool sameCrash
        = suspicion.crashes > 0 && suspicion.endpoint == endpoint && now - suspicion.lastCrash < ONE_CRASH;
    suspicion.fingerprint = fingerprint;
    suspicion.crashes += sameCrash ? 0 : 1;
    suspicion.endpoint = endpoint;
    suspicion.lastCrash = now;
}

void CrashQuarantine::noteFinished(std::uint64_t fingerprint)
{
    m_suspects.erase(fingerprint);
}

void CrashQuarantine::merge(const Suspicion &suspicion, TimePoint now)
{
    const bool old = suspicion.lastCrash + QUARANTINE_TIME <= now;
    const bool future = suspicion.lastCrash > now + QUARANTINE_TIME;
    if (old || future || (m_suspects.size() >= MOST_SUSPECTS && m_suspects.count(suspicion.fingerprint) == 0)) {
        return;
    }
    Suspicion &known = m_suspects[suspicion.fingerprint];
    known.fingerprint = suspicion.fingerprint;
    known.crashes = std::max(known.crashes, suspicion.crashes);
    if (suspicion.lastCrash >= known.lastCrash) {
        known.lastCrash = suspicion.lastCrash;
        known.endpoint = suspicion.endpoint;
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

std::vector<Suspicion> CrashQuarantine::suspects(TimePoint now, std::size_t most) const
{
    std::vector<Suspicion> out;
    for (const auto &[fingerprint, suspicion] : m_suspects) {
        if (isSuspect(fingerprint, now)) {
            out.push_back(suspicion);
        }
    }
    std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) { return a.lastCrash > b.lastCrash; });
    out.resize(std::min(out.size(), most));
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
