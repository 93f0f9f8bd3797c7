/** \file
 * Implements the resend rules.
 *
 * Evidence is valid only if its gathering began after the latest time at which a first attempt could start.
 *
 * A first attempt issued at time I starts only between I - clockMargin and I + firstAttemptWindow by the clock of its
 * agent. A resend may therefore be executed if every incarnation that could have been running in that interval is
 * proved not to have started the key:
 *   - absence: no live agent and no journal has a record of the key;
 *   - report: an agent has sent a report from the address of each listed endpoint, so that no incarnation that has
 *     never reached the store is running there;
 *   - coverage: for each listed endpoint there is a live agent whose records are complete since before I, or the
 *     journal of an incarnation that started before I and whose watermark has passed I + firstAttemptWindow;
 *   - accounting: each incarnation with a journal has closed it, is known to have terminated before I, has sent a
 *     report, or has a watermark past I + firstAttemptWindow, so that it cannot start the key unobserved.
 * An exclusive claim in the store then selects one of several concurrent resends.
 */
#include "resenddecision.h"

#include <algorithm>
#include <set>

namespace Cyclamenturn
{

namespace
{

/** The shortest Retry-After value for a resend that arrived too early. */
constexpr Duration MIN_RETRY_AFTER = milliseconds(10);

bool contains(const std::vector<std::uint64_t> &keys, std::uint64_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

/** Evaluates the evidence about one key. */
class EvidenceChecker
{
public:
    EvidenceChecker(
        std::uint64_t keyHash, TimePoint issuedAt, const ResendLimits &limits, const ResendEvidence &evidence)
        : m_keyHash(keyHash)
        , m_issuedAt(issuedAt)
        , m_limits(limits)
        , m_evidence(evidence)
    {
    }

    /**
     * The report of an agent that has a record of the key, or null. A completed run takes precedence over a run in
     * progress. A tombstone does not count, since it marks a key that must not start at that agent.
     */
    const KeyReport *reportWithRecord() const
    {
        const KeyReport *found = nullptr;
        for (const auto &report : m_evidence.keyReports) {
            const bool hasRecord = report.state && *report.state != KeyState::Tombstone;
            if (hasRecord && (!found || report.state == KeyState::Ended)) {
                found = &report;
            }
        }
        return found;
    }

    bool isJournaled() const
    {
        return std::any_of(m_evidence.journals.begin(), m_evidence.journals.end(), [this](const auto &journal) {
            return contains(journal.head.startedKeys, m_keyHash) || contains(journal.segmentKeys, m_keyHash);
        });
    }

    bool journalsComplete() const
    {
        return std::all_of(m_evidence.journals.begin(), m_evidence.journals.end(),
            [](const auto &journal) { return journal.complete; });
    }

    /** True if an agent of each listed endpoint has reported. */
    bool everyEndpointReported() const
    {
        return std::all_of(
            m_evidence.listedEndpoints.begin(), m_evidence.listedEndpoints.end(), [this](const auto &name) {
                return std::any_of(m_evidence.keyReports.begin(), m_evidence.keyReports.end(),
                    [&](const auto &report) { return report.endpoint == name; });
            });
    }

    /** True if the records of each listed endpoint cover the key's first-attempt window. */
    bool everyEndpointCovered() const
    {
        return std::all_of(m_evidence.listedEndpoints.begin(), m_evidence.listedEndpoints.end(),
            [this](const auto &endpoint) { return isCovered(endpoint); });
    }

    /** True if no incarnation with a journal can still start the key unobserved. */
    bool everyIncarnationAccountedFor() const
    {
        return std::all_of(m_evidence.journals.begin(), m_evidence.journals.end(),
            [this](const auto &journal) { return isAccountedFor(journal.head); });
    }

private:
    bool watermarkPassedWindow(const JournalHead &head) const
    {
        return head.watermark >= m_issuedAt + m_limits.firstAttemptWindow;
    }

    /** Allows one clock margin for the caller's clock and one for the clock of the VM that measured `time`. */
    bool isBeforeIssue(TimePoint time) const
    {
        return time + 2 * m_limits.clockMargin <= m_issuedAt;
    }

    /**
     * True if the incarnation, whose number is its start time in microseconds, started before the issue time. The
     * journal of a later incarnation proves nothing about an earlier one, which may never have reached the store.
     */
    bool startedBeforeIssue(const JournalHead &head) const
    {
        return isBeforeIssue(TimePoint(Duration(static_cast<std::int64_t>(head.incarnation))));
    }

    bool isCovered(const std::string &endpoint) const
    {
        const auto coversKey = [&](const KeyReport &report) {
            return report.endpoint == endpoint && isBeforeIssue(report.completeSince);
        };
        const auto journalCovers = [&](const JournalEvidence &journal) {
            return journal.head.endpoint == endpoint && startedBeforeIssue(journal.head)
                && watermarkPassedWindow(journal.head);
        };
        return std::any_of(m_evidence.keyReports.begin(), m_evidence.keyReports.end(), coversKey)
            || std::any_of(m_evidence.journals.begin(), m_evidence.journals.end(), journalCovers);
    }

    bool isAccountedFor(const JournalHead &head) const
    {
        const bool terminatedBeforeIssue = head.terminatedBy && *head.terminatedBy + m_limits.clockMargin <= m_issuedAt;
        return head.closed || terminatedBeforeIssue || watermarkPassedWindow(head) || hasReported(head);
    }

    bool hasReported(const JournalHead &head) const
    {
        return std::any_of(m_evidence.keyReports.begin(), m_evidence.keyReports.end(), [&](const auto &report) {
            return report.endpoint == head.endpoint && report.incarnation == head.incarnation;
        });
    }

    std::uint64_t m_keyHash;
    TimePoint m_issuedAt;
    const ResendLimits &m_limits;
    const ResendEvidence &m_evidence;
};

}

TimePoint firstAttemptsClosedAt(TimePoint issuedAt, const ResendLimits &limits)
{
    return issuedAt + limits.firstAttemptWindow + limits.clockMargin;
}

ResendDecision decideResend(std::uint64_t keyHash, TimePoint issuedAt, const ResendLimits &limits,
    const ResendEvidence &evidence, TimePoint now)
{
    const EvidenceChecker checker(keyHash, issuedAt, limits, evidence);
    if (const KeyReport *report = checker.reportWithRecord()) {
        return UsePeerRecord{report->endpoint, *report->state};
    }
    if (!evidence.storeConfirmed) {
        return RefuseResend{Outcome::unknown(RefusalReason::StoreUnavailable, limits.firstAttemptWindow)};
    }
    if (checker.isJournaled()) {
        return RefuseResend{Outcome::unknown(RefusalReason::KeySeen)};
    }
    const TimePoint firstAttemptsClosed = firstAttemptsClosedAt(issuedAt, limits);
    if (evidence.gatheringStartedAt < firstAttemptsClosed) {
        // A first attempt may have started after an agent sent its report.
        const Duration wait = std::max(firstAttemptsClosed - now, MIN_RETRY_AFTER);
        return RefuseResend{Outcome::unknown(RefusalReason::ResendTooEarly, wait)};
    }
    if (issuedAt + limits.keyRetention <= now + limits.clockMargin) {
        return RefuseResend{Outcome::unknown(RefusalReason::ResendUnproven)};
    }
    const bool proved = checker.everyEndpointReported() && checker.journalsComplete() && checker.everyEndpointCovered()
        && checker.everyIncarnationAccountedFor();
    if (!proved) {
        return RefuseResend{Outcome::unknown(RefusalReason::ResendUnproven, limits.firstAttemptWindow)};
    }
    return AllowClaim{};
}

}
