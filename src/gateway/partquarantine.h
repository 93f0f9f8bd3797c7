/** \file
 * Finds parts of prompts that crash each endpoint which begins to answer a prompt with them, and quarantines them.
 *
 * A crash interrupts many prompts. Those whose answers had begun didn't cause it, and a part of which an answer has
 * begun since is sound. Of the other parts, the one that explains most crashes is the cause; where several explain
 * about as many, it is one that has never been answered, or else the one that fewest prompts share. See
 * docs/design/prompt-parts.md.
 */
#pragma once

#include "partevidence.h"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Cyclamenturn
{

/** Why a prompt is refused. */
struct PartVerdict
{
    PartKey part = 0;
    /** Crashes that count against the part. */
    int crashes = 0;
    /** End of the quarantine unless more endpoints crash. */
    TimePoint until;
};

/** Why a part with many crashes isn't refused. */
enum class SpareReason {
    /** Another part explains its crashes. */
    OtherCause,
    /** It is a first part, and too few other prompts have been answered since its first crash. */
    TooFewOtherAnswers,
    /** Its prompts have been answered since. */
    Answered,
    /** Its last crash is too long ago. */
    Expired,
};

/** A part that has, or had until now, enough crashes for a quarantine, and isn't refused. */
struct SparedPart
{
    PartKey part = 0;
    /** Crashes since its last answer. */
    int crashes = 0;
    SpareReason reason = SpareReason::OtherCause;
    /** Whether it was refused until now. */
    bool wasQuarantined = false;
    /** Whether any answer to a prompt with it is known. */
    bool wasAnswered = false;
};

class PartQuarantine
{
public:
    /** A part is quarantined after this many crashes, by as many requests of different content. */
    static constexpr int CRASH_LIMIT = 3;
    /** A crash counts after this time, in which answers show that a part is sound. */
    static constexpr Duration SETTLING_TIME = milliseconds(400);
    /** Crashes of several endpoints within this time may have one other cause, such as a lost rack. */
    static constexpr Duration SAME_MOMENT = milliseconds(300);
    /** Reports of the crash of one endpoint differ by less than this, also those that waited at a stopped gateway. An
     * endpoint that runs again under its name and crashes within this time counts once. */
    static constexpr Duration SAME_CRASH = milliseconds(10000);
    /** The times of other gateways are late by the time that the message took. */
    static constexpr Duration ANSWER_MARGIN = milliseconds(200);
    static constexpr Duration QUARANTINE_TIME = milliseconds(120000);
    /** Crashes are remembered for this long, so that the first crash after a quarantine begins it again. */
    static constexpr Duration MEMORY_TIME = milliseconds(600000);
    /** How long a gateway reports a crash that it recorded itself. */
    static constexpr Duration OWN_REPORT_TIME = milliseconds(10000);
    static constexpr std::size_t MAX_SUSPECTS = 1024;
    static constexpr std::size_t MAX_CRASHES_PER_PART = 16;
    static constexpr std::size_t MAX_REPORTS_PER_MOMENT = 2;
    /** Reports of this gateway that the others may not have yet. */
    static constexpr std::size_t MAX_OWN_REPORTS = 256;
    /** Crashes of endpoints, and parts of each, that are remembered to find the most likely cause. */
    static constexpr std::size_t MAX_CRASHED_ENDPOINTS = 512;
    static constexpr std::size_t MAX_PARTS_PER_CRASH = 64;
    /** Silent requests that wait for the end of their endpoint to be known. */
    static constexpr std::size_t MAX_PENDING = 1024;
    /** Parts of which the latest answer is remembered. */
    static constexpr std::size_t MAX_ANSWERED = 8192;
    /** Spared parts that wait to be logged; others aren't. */
    static constexpr std::size_t MAX_SPARED = 64;
    /**
     * Other prompts must have been answered so often since the first crash before the first part of a prompt is
     * quarantined. Most prompts have one of a few first parts, and none is answered while a service is down. For a part
     * that has never been answered, answers from before the crash count too, but for CRASH_LIMIT of them.
     */
    static constexpr int OTHER_ANSWERS = 10;

    /** Records that an unanswered prompt lost its connection. */
    void recordCrash(const std::vector<PartKey> &parts, std::uint64_t request, const std::string &team,
        const std::string &endpoint, TimePoint now);
    /** Records that an unanswered prompt was given up in a silence of its endpoint. Counts if the endpoint turns out to
     * have ended. */
    void recordSilence(const std::vector<PartKey> &parts, std::uint64_t request, const std::string &team,
        const std::string &endpoint, TimePoint silentSince);
    /** Records that `endpoint` has ended or runs no more under its name. */
    void noteEndpointEnded(const std::string &endpoint, TimePoint now);
    /** Records a response of `endpoint`: its silences weren't an end. */
    void noteResponse(const std::string &endpoint);
    /** Records that an endpoint began to answer a prompt with these parts. */
    void noteAnswer(const std::vector<PartKey> &parts, TimePoint now);
    /** Takes over the evidence of another gateway. */
    void merge(const PartEvidence &evidence, TimePoint now);

    /** Returns why a prompt with these parts is refused, or nothing. */
    std::optional<PartVerdict> verdict(const std::vector<PartKey> &parts, const std::string &team, TimePoint now);
    /** Returns the parts that were quarantined since the last call. */
    std::vector<PartVerdict> takeNewVerdicts(TimePoint now);
    /** Returns the parts that have been spared, or for another reason, since the last call. */
    std::vector<SparedPart> takeSparedParts(TimePoint now);
    /** Returns what other gateways should know, the most important first. */
    PartEvidence evidence(TimePoint now) const;
    /** Whether this gateway has recorded a crash that the others have had little time to learn. */
    bool hasFreshCrash(TimePoint now) const
    {
        return now < m_recordedAt + FRESH_TIME;
    }
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }
    std::size_t quarantinedCount() const
    {
        return m_verdicts.size();
    }
    void expire(TimePoint now);

private:
    static constexpr Duration FRESH_TIME = milliseconds(1500);
    /** A part that was in this many crashes more than another one, weighted, is the more likely cause in any place. Of
     * two parts of the same prompts, one is in one crash more if the report of a prompt is lost. */
    static constexpr int CLEAR_LEAD = 2;
    /** A part of which no answer is known counts like one with this many crashes more: few parts that were answered
     * begin to crash endpoints. */
    static constexpr int NEVER_ANSWERED_WEIGHT = 2;

    struct Suspect
    {
        /** In the order of their times. At most MAX_REPORTS_PER_MOMENT within SAME_MOMENT, so that many crashes at
         * short intervals don't displace those before them. */
        std::vector<PartCrash> crashes;
    };
    /** What speaks against a suspect. */
    struct Standing
    {
        /** Crashes since its last answer. */
        int crashes = 0;
        /** `crashes`, and NEVER_ANSWERED_WEIGHT if no answer to a prompt with it is known. */
        int weight = 0;
    };
    struct Pending
    {
        std::string endpoint;
        std::vector<PartCrash> crashes;
    };
    struct Quarantine
    {
        PartVerdict verdict;
        /** The teams whose requests crashed endpoints. */
        std::unordered_set<std::uint32_t> teams;
    };
    /** The parts of the prompts that one crash of an endpoint interrupted. */
    struct CrashedEndpoint
    {
        TimePoint at;
        std::vector<PartKey> parts;
    };

    void add(const PartCrash &crash, TimePoint now);
    void addOwn(const PartCrash &crash, TimePoint now);
    std::optional<TimePoint> answeredAt(PartKey part) const;
    /** Whether the service works for prompts without the part, as far as this has to be known to quarantine it. */
    bool isServiceWorking(PartKey part, TimePoint since) const;
    void noteAnswered(PartKey part, TimePoint at);
    /** Adds another gateway's answer to the latest ones. Several gateways may pass the same one on. */
    void noteAnsweredElsewhere(const PartAnswer &answer);
    /** The crashes after which no answer to a prompt with the part has begun. */
    std::vector<PartCrash> unansweredCrashes(PartKey part, const Suspect &suspect) const;
    /** Judges all suspects anew if the evidence or its age may have changed the result. */
    void update(TimePoint now);
    void judge(TimePoint now);
    /** Ends the quarantine of a part, if there is one, and notes why it isn't refused. */
    void spare(PartKey part, SpareReason reason);
    /** Drops one crash of a suspect that has too many. */
    void thinOut(PartKey part, std::vector<PartCrash> &crashes) const;
    /** Whether `part` is still to be refused: answers and more likely parts that were found meanwhile speak for it,
     * other parts in the same place don't, since their numbers change with each crash. */
    bool isQuarantineKept(PartKey part, const std::vector<PartCrash> &crashes) const;
    /** How the part stood at the last judgement; a part with a single report has no crashes there. */
    Standing standing(PartKey part) const;
    /**
     * Whether `a` is rather the cause of crashes that interrupted prompts with either part: it was in clearly more
     * crashes, where a part that has never been answered counts for more; or fewer prompts share it. This isn't a
     * transitive order.
     */
    bool isMoreLikely(PartKey a, PartKey b) const;
    /** Whether the crash interrupted a prompt with another part for which `isCause` holds. */
    template<typename Predicate>
    bool hasInterrupted(const PartCrash &crash, Predicate isCause) const;
    /** Whether a quarantined part caused the crash, and its own part isn't more likely. */
    bool isExplained(const PartCrash &crash) const;
    /** Whether the crash isn't reported to other gateways, since they know its cause. */
    bool isPassedOver(const PartCrash &crash) const;
    /** Whether the crash has a more likely cause than its part. Earlier parts count only if they are quarantined, since
     * most of them are in many crashes. */
    bool hasOtherCause(const PartCrash &crash) const;
    /** Notes that the part was in a prompt that the crash interrupted. */
    void noteInterrupted(const PartCrash &crash);
    /** The parts of the prompts that the crash interrupted. */
    const std::vector<PartKey> *interruptedParts(const PartCrash &crash) const;

    /** Never holds a suspect without crashes. */
    std::unordered_map<PartKey, Suspect> m_suspects;
    /** Of each suspect with more than one report, as of the last judgement. */
    std::unordered_map<PartKey, Standing> m_standings;
    std::unordered_map<PartKey, Quarantine> m_verdicts;
    std::vector<PartVerdict> m_newVerdicts;
    /** The latest reason of each part with enough crashes that isn't refused. */
    std::unordered_map<PartKey, SpareReason> m_spared;
    std::vector<SparedPart> m_newlySpared;
    boost::circular_buffer<PartCrash> m_ownReports{MAX_OWN_REPORTS};
    /** The latest crash of each endpoint, by the hash of its incarnation; at most MAX_CRASHED_ENDPOINTS. */
    std::unordered_map<std::uint64_t, CrashedEndpoint> m_crashedEndpoints;
    std::vector<Pending> m_pending;
    /** Latest answers in two generations; the older one is dropped when the newer one is full. */
    std::unordered_map<PartKey, TimePoint> m_answered;
    std::unordered_map<PartKey, TimePoint> m_answeredBefore;
    /** The latest answers, with the first part of each prompt. */
    boost::circular_buffer<PartAnswer> m_recentAnswers{64};
    TimePoint m_recordedAt;
    TimePoint m_addedAt;
    TimePoint m_judgedAt;
    bool m_isChanged = false;
};

}
