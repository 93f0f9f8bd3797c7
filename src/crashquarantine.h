/** \file
 * Detects requests that crash the endpoints on which they run. The fingerprint of each request that is running when an
 * endpoint crashes becomes a suspect; when the limit of crashes is reached, it is quarantined for QUARANTINE_TIME. A
 * resend with a new idempotency key has the same fingerprint. A suspect that completes is cleared.
 *
 * A crash interrupts innocent requests too, and those are often resent together with the one that caused it. Since each
 * crash has one cause, it counts only for the request with the most crashes among those that it interrupted.
 */
#pragma once

#include "clearedsuspect.h"
#include "crashreport.h"
#include "endpointsighting.h"
#include "timepoint.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** Crashes selected for one message to the other processes. */
struct CrashReportSelection
{
    std::vector<CrashReport> reports;
    /** Number of crashes that should be reported but had no room. */
    std::size_t leftOut = 0;
};

/** The evidence against one fingerprint. */
struct CrashTally
{
    /** Crashes that count. */
    int counted = 0;
    /** Crashes that a later response of the endpoint disproved. */
    int withdrawn = 0;
    /** Crashes of endpoints that have been silent for too short a time. */
    int pending = 0;
    /** Of `counted`, those that another suspect may have caused. */
    int disputed = 0;
};

/** The known crashes by fingerprint, including those that other processes reported. */
class CrashQuarantine
{
public:
    /** Default number of crashes after which a fingerprint is quarantined. */
    static constexpr int CRASH_LIMIT = 2;
    /**
     * A request with this many crashes more than the limit is quarantined even if other requests may have caused them.
     * It bounds the crashes by requests that always run together.
     */
    static constexpr int MAX_DISPUTED_CRASHES = 1;
    static constexpr Duration QUARANTINE_TIME = milliseconds(120000);
    static constexpr std::size_t MAX_SUSPECTS = 4096;
    /** Crashes stored for one fingerprint, enough for any limit. */
    static constexpr std::size_t MAX_CRASHES = 16;
    /** Silence of an endpoint after which it counts as crashed. Engines pause for shorter times. */
    static constexpr Duration SILENCE_TIME = milliseconds(500);
    /** How long a process reports a crash that it recorded, even if the request has no other crash. */
    static constexpr Duration OWN_REPORT_TIME = milliseconds(10000);
    /** The resets that follow from one end of an endpoint are all received within this time. */
    static constexpr Duration END_SPREAD = milliseconds(500);
    /** This many requests without a response show that an endpoint was silent, and not only slow with one of them. */
    static constexpr int MIN_SILENT_REQUESTS = 2;
    /**
     * Times received from other processes are too late by the time that the message took, and so may put a response
     * after a crash that it came before.
     */
    static constexpr Duration SIGHTING_MARGIN = milliseconds(500);
    /** More recent crashes are reported before others, since few processes know them yet. */
    static constexpr Duration FRESH_REPORT_TIME = milliseconds(1500);

    /**
     * Crash reports for the same fingerprint and endpoint within this time count as one crash, because several equal
     * requests may have been running on the endpoint.
     */
    static constexpr Duration CRASH_REPORT_WINDOW = milliseconds(1000);

    /** Use a longer `sameCrashWindow` where a restarted endpoint has another name. */
    explicit CrashQuarantine(int crashLimit = CRASH_LIMIT, Duration sameCrashWindow = CRASH_REPORT_WINDOW)
        : m_crashLimit(crashLimit)
        , m_sameCrashWindow(sameCrashWindow)
    {
    }

    /** Counts a crash of `endpoint` during a run of the fingerprint. Ignores new suspects if the table is full. */
    void recordCrash(std::uint64_t fingerprint, const std::string &endpoint, TimePoint now);
    /**
     * Records that a run of the fingerprint was given up because `endpoint` had sent nothing since `silentSince`.
     * Counts as a crash once the endpoint has been silent for SILENCE_TIME.
     */
    void recordSilence(std::uint64_t fingerprint, const std::string &endpoint, TimePoint silentSince, TimePoint now);
    /**
     * Records a response of `endpoint` to a request sent at `sentAt`: it has not crashed before that time, so earlier
     * crashes don't count. A run that was given up may still crash the endpoint until its silence counts.
     */
    void noteResponse(const std::string &endpoint, TimePoint sentAt);
    /**
     * Records that `endpoint` has ended, so that all crashes of it count. Later responses come from its successor under
     * the same id.
     */
    void noteEndpointEnded(const std::string &endpoint, TimePoint now);
    /**
     * Records that nothing listens at the address of `endpoint`: the crashes known by now ended it for certain. Later
     * responses, and later crashes, are those of a successor under the same name.
     */
    void noteRefusedConnection(const std::string &endpoint, TimePoint now);
    /** Removes a fingerprint after a run that completed. Reports of earlier crashes are ignored from then on. */
    void clearSuspect(std::uint64_t fingerprint, TimePoint now);
    /**
     * Adds a crash reported by another process. Ignores crashes more than QUARANTINE_TIME in the past or in the future,
     * and new suspects if the table is full.
     */
    void merge(const CrashReport &report, TimePoint now);
    /** Applies a clearance by another process. */
    void merge(const ClearedSuspect &cleared, TimePoint now);
    /** Applies a response that another process received. */
    void merge(const EndpointSighting &sighting);

    /** Whether the connection of a request sent at `sentAt` was lost by an end of `endpoint` shortly before. */
    bool hasEndedBefore(const std::string &endpoint, TimePoint sentAt) const;
    /**
     * Whether `endpoint` had ended or fallen silent before `sentAt`, so that the silence of a request sent then says
     * nothing about it. One other silent request doesn't show this: it may have been slow.
     */
    bool wasSilentBefore(const std::string &endpoint, TimePoint sentAt, std::uint64_t fingerprint) const;
    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;
    bool isSuspect(std::uint64_t fingerprint, TimePoint now) const;
    /** Returns the number of crashes that count for the fingerprint, 0 if it is not a suspect. */
    int crashes(std::uint64_t fingerprint, TimePoint now) const;
    /** Returns how each known crash is judged, for the log. */
    CrashTally tally(std::uint64_t fingerprint, TimePoint now) const;
    /** Returns the crashes that count for the fingerprint. */
    std::vector<CrashReport> reportsOf(std::uint64_t fingerprint, TimePoint now) const;
    /**
     * Returns at most `maxCount` crashes to be sent to the other processes: those of requests with several crashes and
     * those that this process recorded itself, recent ones first. `draw` is a random number in [0, 1) that varies the
     * selection when there are too many.
     */
    CrashReportSelection reports(TimePoint now, std::size_t maxCount, double draw) const;
    /** Returns at most `maxCount` suspects that this process cleared within OWN_REPORT_TIME, selected by `draw`. */
    std::vector<ClearedSuspect> clearedSuspects(TimePoint now, std::size_t maxCount, double draw) const;
    /** Returns at most `maxCount` suspected endpoints that responded to this process since, selected by `draw`. */
    std::vector<EndpointSighting> sightings(TimePoint now, std::size_t maxCount, double draw) const;
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }
    /** Removes suspects whose last crash is older than QUARANTINE_TIME. */
    void expire(TimePoint now);

private:
    struct Crash
    {
        std::string endpoint;
        TimePoint at;
        /** Later than `at` for an endpoint that was silent for a short time only. */
        TimePoint countsFrom;
        /** Whether this process recorded it, and not only others. */
        bool isOwn = false;
        /** See CrashReport::isFinal. */
        bool isFinal = false;
    };
    struct Clearance
    {
        TimePoint at;
        /** Whether this process cleared the suspect itself. */
        bool isOwn = false;
    };
    /** What is known about whether an endpoint still runs. */
    struct Liveness
    {
        /** When the latest request was sent to which the endpoint responded. */
        TimePoint respondedAt;
        /** The same for responses to this process. */
        TimePoint respondedToUsAt;
        /** When this process last lost a connection to the endpoint. */
        TimePoint lostAt;
        /** When a crash was last added. */
        TimePoint crashAddedAt;
        /** When a connection was last refused. */
        TimePoint refusedAt;
        bool hasEnded = false;
    };
    struct Suspect
    {
        /** Never empty. */
        std::vector<Crash> crashes;
        TimePoint lastCrash;
    };
    void add(std::uint64_t fingerprint, const Crash &crash, TimePoint now);
    void add(Suspect &suspect, const Crash &crash);
    void clear(std::uint64_t fingerprint, const Clearance &clearance);
    bool isCleared(std::uint64_t fingerprint, const Crash &crash) const;
    bool counts(const Crash &crash, TimePoint now) const;
    bool hasRespondedSince(const Crash &crash) const;
    bool isWithdrawn(const Crash &crash) const;
    bool isSameCrash(const Crash &crash, const Crash &other) const;
    /** Whether another suspect with at least as many crashes was interrupted by the same crash. */
    bool isDisputed(const CrashReport &report, int crashCount, TimePoint now) const;

    int m_crashLimit;
    Duration m_sameCrashWindow;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    /** By fingerprint; entries are kept for QUARANTINE_TIME, as long as a report of an earlier crash is accepted. */
    std::unordered_map<std::uint64_t, Clearance> m_cleared;
    /** By endpoint; entries are kept for QUARANTINE_TIME after the latest response or lost connection. */
    std::unordered_map<std::string, Liveness> m_liveness;
};

}
