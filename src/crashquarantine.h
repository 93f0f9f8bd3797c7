/** \file
 * Detects requests that crash the endpoints on which they run. The fingerprint of each request that is running when an
 * endpoint crashes becomes a suspect; after the second crash it is quarantined for QUARANTINE_TIME. A resend with a new
 * idempotency key has the same fingerprint. A suspect that completes is cleared.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** A fingerprint with the number of crashes during its runs, as reported between processes. */
struct CrashSuspect
{
    std::uint64_t fingerprint = 0;
    int crashes = 0;
    TimePoint lastCrash;
    /** The endpoint of the last crash; empty if not known. */
    std::string endpoint;

    bool operator==(const CrashSuspect &other) const
    {
        return fingerprint == other.fingerprint && crashes == other.crashes && lastCrash == other.lastCrash
            && endpoint == other.endpoint;
    }
};

/** Table of crash suspects by fingerprint. */
class CrashQuarantine
{
public:
    /** Default number of crashes after which a fingerprint is quarantined. */
    static constexpr int CRASH_LIMIT = 2;
    static constexpr Duration QUARANTINE_TIME = milliseconds(120000);
    static constexpr std::size_t MAX_SUSPECTS = 4096;

    /**
     * Crash reports for the same fingerprint and endpoint within this time count as one crash, because several equal
     * requests may have been running on the endpoint.
     */
    static constexpr Duration CRASH_REPORT_WINDOW = milliseconds(1000);

    explicit CrashQuarantine(int crashLimit = CRASH_LIMIT)
        : m_crashLimit(crashLimit)
    {
    }

    /** Counts a crash of `endpoint` during a run of the fingerprint. Ignores new suspects if the table is full. */
    void recordCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now);
    /** Removes a fingerprint after a run that completed. */
    void clearSuspect(std::uint64_t fingerprint);
    /**
     * Adds a suspect reported by another process. Ignores reports whose last crash is more than QUARANTINE_TIME in the
     * past or in the future, and new suspects if the table is full.
     */
    void merge(const CrashSuspect &suspect, TimePoint now);

    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;
    bool isSuspect(std::uint64_t fingerprint, TimePoint now) const;
    /** Returns the number of crashes during runs of the fingerprint, 0 if it is not a suspect. */
    int crashes(std::uint64_t fingerprint, TimePoint now) const;
    /** Returns at most `maxCount` suspects, those with the latest crashes first. */
    std::vector<CrashSuspect> suspects(TimePoint now, std::size_t maxCount) const;
    /** Removes suspects whose last crash is older than QUARANTINE_TIME. */
    void expire(TimePoint now);

private:
    int m_crashLimit;
    std::unordered_map<std::uint64_t, CrashSuspect> m_suspects;
};

}
