/** \file
 * Finds requests that crash the endpoints which run them. Each request in progress at a crash becomes suspect by the
 * fingerprint of its content; at the second crash it is quarantined for a time. A resend under a new key has the same
 * fingerprint. A suspect that finishes is cleared.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** One fingerprint with the number of crashes it was part of, as it travels on answers. */
struct CrashSuspect
{
    std::uint64_t fingerprint = 0;
    int crashes = 0;
    TimePoint lastCrash;
    /** Where the last crash was; empty when that isn't known. */
    std::string endpoint;

    bool operator==(const CrashSuspect &other) const
    {
        return fingerprint == other.fingerprint && crashes == other.crashes && lastCrash == other.lastCrash
            && endpoint == other.endpoint;
    }
};

class CrashQuarantine
{
public:
    /** Crashes after which a fingerprint is quarantined, unless the owner says otherwise. */
    static constexpr int CRASH_LIMIT = 2;
    static constexpr Duration QUARANTINE_TIME = milliseconds(120000);
    static constexpr std::size_t MAX_SUSPECTS = 4096;

    /** Reports of one endpoint within this time are of one crash, also when several equal requests were in progress. */
    static constexpr Duration CRASH_REPORT_WINDOW = milliseconds(1000);

    explicit CrashQuarantine(int crashLimit = CRASH_LIMIT)
        : m_crashLimit(crashLimit)
    {
    }

    void recordCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now);
    void clearSuspect(std::uint64_t fingerprint);
    /** Takes over what another process knows. */
    void merge(const CrashSuspect &suspect, TimePoint now);

    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;
    bool isSuspect(std::uint64_t fingerprint, TimePoint now) const;
    /** Crashes that the fingerprint was part of. */
    int crashes(std::uint64_t fingerprint, TimePoint now) const;
    /** The latest suspects, at most `most`, to be told to others. */
    std::vector<CrashSuspect> suspects(TimePoint now, std::size_t maxCount) const;
    /** Drops what is older than the quarantine time. */
    void expire(TimePoint now);

private:
    int m_crashLimit;
    std::unordered_map<std::uint64_t, CrashSuspect> m_suspects;
};

}
