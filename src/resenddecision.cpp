/** \file
 * The resend rules.
 *
 * Evidence counts only when its gathering began after the last first attempt could start.
 *
 * A first attempt issued at I starts only between I - margin and I + F by the clock of its agent. So a resend may run
 * when every incarnation that could have lived in that time is shown not to have started the key:
 *   - absence: no live agent and no journal names the key;
 *   - answer: at the address of each listed endpoint an agent answers, so that no incarnation is at work there that
 *     has never reached the store;
 *   - cover: for each listed endpoint, a live agent that has remembered all since before I, or the journal of an
 *     incarnation that started before I, whose watermark has passed I + F;
 *   - ended: each incarnation with a journal is closed, known to be gone before I, answering, or its watermark has
 *     passed I + F, so that it can't start the key unseen.
 * An exclusive claim in the store then decides between resends.
 */
#include "resenddecision.h"

#include <algorithm>
#include <set>

namespace Cyclamenturn
{

namespace
{

constexpr Duration MIN_RETRY_AFTER = milliseconds(10);

bool contains(const std::vector<std::uint64_t> &keys, std::uint64_t key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

/** Judges the evidence about one key. */
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

    /** The most telling report of an agent that has met the key: an answer goes before a run in progress. */
    const KeyReport *holder() const
    {
        const KeyReport *found = nullptr;
        for (const auto &report : m_evidence.keyReports) {
            const bool holds = report.state && *report.state != KeyState::Tombstone;
            if (holds && (!found || report.state == KeyState::Ended)) {
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

    bool everyEndpointAnswers() const
    {
        return std::all_of(
            m_evidence.listedEndpoints.begin(), m_evidence.listedEndpoints.end(), [this](const auto &name) {
                return std::any_of(m_evidence.keyReports.begin(), m_evidence.keyReports.end(),
                    [&](const auto &report) { return report.endpoint == name; });
            });
    }

    bool everyEndpointCovered() const
    {
        return std::all_of(m_evidence.listedEndpoints.begin(), m_evidence.listedEndpoints.end(),
            [this](const auto &endpoint) { return isCovered(endpoint); });
    }

    bool everyIncarnationEnded() const
    {
        return std::all_of(m_evidence.journals.begin(), m_evidence.journals.end(),
            [this](const auto &journal) { return hasEnded(journal.head); });
    }

private:
    bool watermarkPassedWindow(const JournalHead &head) const
    {
        return head.watermark >= m_issuedAt + m_limits.firstAttemptWindow;
    }

    /** Allows for the caller's clock and for that of the VM that read the time. */
    bool isBeforeIssue(TimePoint time) const
    {
        return time + 2 * m_limits.clockMargin <= m_issuedAt;
    }

    /** A later incarnation can't speak for one before it, which may never have reached the store. */
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

    bool hasEnded(const JournalHead &head) const
    {
        const bool gone = head.deadBy && *head.deadBy + m_limits.clockMargin <= m_issuedAt;
        return head.closed || gone || watermarkPassedWindow(head) || isAnswering(head);
    }

    bool isAnswering(const JournalHead &head) const
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
    if (const KeyReport *holder = checker.holder()) {
        return HeldElsewhere{holder->endpoint, *holder->state};
    }
    if (!evidence.storeConfirmed) {
        return AnswerResend{Outcome::unknown(RefusalReason::StoreUnavailable, limits.firstAttemptWindow)};
    }
    if (checker.isJournaled()) {
        return AnswerResend{Outcome::unknown(RefusalReason::KeySeen)};
    }
    const TimePoint firstAttemptsClosed = firstAttemptsClosedAt(issuedAt, limits);
    if (evidence.gatheringStartedAt < firstAttemptsClosed) {
        // A first attempt may have started behind the back of the gathering.
        const Duration wait = std::max(firstAttemptsClosed - now, MIN_RETRY_AFTER);
        return AnswerResend{Outcome::unknown(RefusalReason::ResendTooEarly, wait)};
    }
    if (issuedAt + limits.keyRetention <= now + limits.clockMargin) {
        return AnswerResend{Outcome::unknown(RefusalReason::ResendUnproven)};
    }
    const bool proved = checker.everyEndpointAnswers() && checker.journalsComplete() && checker.everyEndpointCovered()
        && checker.everyIncarnationEnded();
    if (!proved) {
        return AnswerResend{Outcome::unknown(RefusalReason::ResendUnproven, limits.firstAttemptWindow)};
    }
    return MayClaim{};
}

}
