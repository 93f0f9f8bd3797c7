/** \file
 * Judgement of the parts of prompts.
 */
#include "partquarantine.h"

#include "rendezvoushash.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>
#include <utility>

namespace Cyclamenturn
{

namespace
{

/** Judging costs some microseconds for each suspect, so it isn't repeated for each request. */
constexpr Duration JUDGE_INTERVAL = milliseconds(100);
/** The same while no evidence arrives and all of it has settled. */
constexpr Duration IDLE_JUDGE_INTERVAL = milliseconds(1000);

std::uint32_t shortHash(const std::string &text)
{
    return static_cast<std::uint32_t>(contentHash(text));
}

/** The number of crashes at different moments, and by different requests, whichever is smaller. */
int countCrashes(const std::vector<PartCrash> &crashes)
{
    std::vector<std::uint32_t> requests;
    int moments = 0;
    TimePoint lastMoment;
    for (const auto &crash : crashes) {
        requests.push_back(crash.request);
        if (moments == 0 || crash.at - lastMoment >= PartQuarantine::SAME_MOMENT) {
            lastMoment = crash.at;
            ++moments;
        }
    }
    std::sort(requests.begin(), requests.end());
    const auto distinct = std::unique(requests.begin(), requests.end()) - requests.begin();
    return std::min(moments, static_cast<int>(distinct));
}

/** Selects the latest crashes at different moments by different requests, at most `maxCount`. */
std::vector<PartCrash> distinctCrashes(const std::vector<PartCrash> &crashes, std::size_t maxCount)
{
    std::vector<PartCrash> out;
    for (auto crash = crashes.rbegin(); crash != crashes.rend() && out.size() < maxCount; ++crash) {
        const bool isKnown = std::any_of(out.begin(), out.end(), [&crash](const PartCrash &other) {
            return other.request == crash->request || other.at - crash->at < PartQuarantine::SAME_MOMENT;
        });
        if (!isKnown) {
            out.push_back(*crash);
        }
    }
    return out;
}

bool isSameCrash(TimePoint a, TimePoint b)
{
    return a - b < PartQuarantine::SAME_CRASH && b - a < PartQuarantine::SAME_CRASH;
}

}

void PartQuarantine::recordCrash(const std::vector<PartKey> &parts, std::uint64_t request, const std::string &team,
    const std::string &endpoint, TimePoint now)
{
    for (const PartKey part : parts) {
        addOwn({part, static_cast<std::uint32_t>(request), shortHash(team), contentHash(endpoint), now}, now);
        m_recordedAt = now;
    }
}

void PartQuarantine::recordSilence(const std::vector<PartKey> &parts, std::uint64_t request, const std::string &team,
    const std::string &endpoint, TimePoint silentSince)
{
    if (parts.empty() || m_pending.size() >= MAX_PENDING) {
        return;
    }
    Pending pending{endpoint, {}};
    for (const PartKey part : parts) {
        pending.crashes.push_back(
            {part, static_cast<std::uint32_t>(request), shortHash(team), contentHash(endpoint), silentSince});
    }
    m_pending.push_back(std::move(pending));
}

void PartQuarantine::noteEndpointEnded(const std::string &endpoint, TimePoint now)
{
    for (const auto &pending : m_pending) {
        if (pending.endpoint == endpoint) {
            for (const auto &crash : pending.crashes) {
                addOwn(crash, now);
            }
        }
    }
    noteResponse(endpoint);
}

void PartQuarantine::noteResponse(const std::string &endpoint)
{
    if (!m_pending.empty()) {
        m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(),
                            [&endpoint](const Pending &pending) { return pending.endpoint == endpoint; }),
            m_pending.end());
    }
}

void PartQuarantine::noteAnswer(const std::vector<PartKey> &parts, TimePoint now)
{
    for (const PartKey part : parts) {
        noteAnswered(part, now);
    }
    if (!parts.empty()) {
        m_recentAnswers.push_back({parts.front(), now});
    }
}

bool PartQuarantine::isServiceWorking(PartKey part, TimePoint since) const
{
    if (partPlace(part) > 0) {
        return true;
    }
    int others = 0;
    int othersSince = 0;
    for (const auto &answer : m_recentAnswers) {
        if (answer.part != part) {
            ++others;
            othersSince += answer.at > since ? 1 : 0;
        }
    }
    return othersSince >= OTHER_ANSWERS || (!answeredAt(part) && others >= OTHER_ANSWERS && othersSince >= CRASH_LIMIT);
}

void PartQuarantine::merge(const PartEvidence &evidence, TimePoint now)
{
    for (const auto &crash : evidence.crashes) {
        if (crash.at + MEMORY_TIME > now) {
            add(crash, now);
        }
    }
    for (const auto &answer : evidence.answers) {
        if (answer.at <= now) {
            noteAnswered(answer.part, answer.at);
            noteAnsweredElsewhere(answer);
        }
    }
}

void PartQuarantine::noteAnsweredElsewhere(const PartAnswer &answer)
{
    const auto isSame = [&answer](const PartAnswer &known) {
        return known.part == answer.part && known.at - answer.at < ANSWER_MARGIN
            && answer.at - known.at < ANSWER_MARGIN;
    };
    if (partPlace(answer.part) == 0 && std::none_of(m_recentAnswers.begin(), m_recentAnswers.end(), isSame)) {
        m_recentAnswers.push_back(answer);
    }
}

void PartQuarantine::noteAnswered(PartKey part, TimePoint at)
{
    if (m_answered.size() >= MAX_ANSWERED / 2 && m_answered.count(part) == 0) {
        m_answeredBefore = std::move(m_answered);
        m_answered.clear();
    }
    TimePoint &latest = m_answered[part];
    latest = std::max(latest, at);
    m_isChanged = m_isChanged || m_suspects.count(part) != 0;
}

std::optional<TimePoint> PartQuarantine::answeredAt(PartKey part) const
{
    for (const auto *generation : {&m_answered, &m_answeredBefore}) {
        const auto found = generation->find(part);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void PartQuarantine::addOwn(const PartCrash &crash, TimePoint now)
{
    m_ownReports.push_back(crash);
    add(crash, now);
}

void PartQuarantine::add(const PartCrash &crash, TimePoint now)
{
    if (m_suspects.size() >= MAX_SUSPECTS && m_suspects.count(crash.part) == 0) {
        return;
    }
    noteInterrupted(crash);
    auto &crashes = m_suspects[crash.part].crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&crash](const PartCrash &other) {
        return other.endpoint == crash.endpoint && other.request == crash.request && isSameCrash(other.at, crash.at);
    });
    const auto isEarlier = [](const PartCrash &a, const PartCrash &b) {
        return a.at < b.at;
    };
    if (known != crashes.end()) {
        // Each gateway that passes a report on makes it a little younger.
        known->at = std::min(known->at, crash.at);
        std::stable_sort(crashes.begin(), crashes.end(), isEarlier);
        return;
    }
    const auto sameMoment = std::count_if(crashes.begin(), crashes.end(), [&crash](const PartCrash &other) {
        return other.at - crash.at < SAME_MOMENT && crash.at - other.at < SAME_MOMENT;
    });
    if (static_cast<std::size_t>(sameMoment) >= MAX_REPORTS_PER_MOMENT) {
        return;
    }
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash, isEarlier), crash);
    if (crashes.size() > MAX_CRASHES_PER_PART) {
        thinOut(crash.part, crashes);
    }
    m_addedAt = now;
    m_isChanged = true;
}

void PartQuarantine::thinOut(PartKey part, std::vector<PartCrash> &crashes) const
{
    // The first of those that count have settled soonest, and the latest ones tell how long the quarantine lasts.
    const auto answered = answeredAt(part);
    const bool isFirstAnswered = answered && *answered >= crashes.front().at + ANSWER_MARGIN;
    crashes.erase(isFirstAnswered ? crashes.begin() : crashes.begin() + MAX_CRASHES_PER_PART / 2);
}

std::vector<PartCrash> PartQuarantine::unansweredCrashes(PartKey part, const Suspect &suspect) const
{
    const auto answered = answeredAt(part);
    std::vector<PartCrash> out;
    for (const auto &crash : suspect.crashes) {
        if (!answered || *answered < crash.at + ANSWER_MARGIN) {
            out.push_back(crash);
        }
    }
    return out;
}

void PartQuarantine::noteInterrupted(const PartCrash &crash)
{
    if (m_crashedEndpoints.size() >= MAX_CRASHED_ENDPOINTS && m_crashedEndpoints.count(crash.endpoint) == 0) {
        m_crashedEndpoints.erase(std::min_element(m_crashedEndpoints.begin(), m_crashedEndpoints.end(),
            [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    }
    CrashedEndpoint &known = m_crashedEndpoints[crash.endpoint];
    if (!isSameCrash(known.at, crash.at)) {
        if (known.at > crash.at) {
            return;
        }
        known = {crash.at, {}};
    }
    auto &parts = known.parts;
    if (parts.size() < MAX_PARTS_PER_CRASH && std::find(parts.begin(), parts.end(), crash.part) == parts.end()) {
        parts.push_back(crash.part);
    }
}

const std::vector<PartKey> *PartQuarantine::interruptedParts(const PartCrash &crash) const
{
    const auto found = m_crashedEndpoints.find(crash.endpoint);
    return found != m_crashedEndpoints.end() && isSameCrash(found->second.at, crash.at) ? &found->second.parts
                                                                                        : nullptr;
}

PartQuarantine::Standing PartQuarantine::standing(PartKey part) const
{
    const auto found = m_standings.find(part);
    return found == m_standings.end() ? Standing() : found->second;
}

bool PartQuarantine::isMoreLikely(PartKey a, PartKey b) const
{
    const Standing first = standing(a);
    const Standing second = standing(b);
    if (std::abs(first.weight - second.weight) >= CLEAR_LEAD) {
        return first.weight > second.weight;
    }
    return partPlace(a) != partPlace(b) ? partPlace(a) > partPlace(b) : first.crashes > second.crashes;
}

template<typename Predicate>
bool PartQuarantine::hasInterrupted(const PartCrash &crash, Predicate isCause) const
{
    const std::vector<PartKey> *parts = interruptedParts(crash);
    return parts != nullptr && std::any_of(parts->begin(), parts->end(), [&](PartKey other) {
        return other != crash.part && isCause(other);
    });
}

bool PartQuarantine::isExplained(const PartCrash &crash) const
{
    return hasInterrupted(
        crash, [&](PartKey other) { return m_verdicts.count(other) != 0 && !isMoreLikely(crash.part, other); });
}

bool PartQuarantine::isPassedOver(const PartCrash &crash) const
{
    return m_verdicts.count(crash.part) == 0 && isExplained(crash);
}

bool PartQuarantine::hasOtherCause(const PartCrash &crash) const
{
    return isExplained(crash) || hasInterrupted(crash, [&](PartKey other) {
        return partPlace(other) >= partPlace(crash.part) && standing(other).crashes > 1
            && isMoreLikely(other, crash.part);
    });
}

bool PartQuarantine::isQuarantineKept(PartKey part, const std::vector<PartCrash> &crashes) const
{
    std::vector<PartCrash> unexplained;
    for (const auto &crash : crashes) {
        const bool isExplainedElsewhere = hasInterrupted(crash, [&](PartKey other) {
            return partPlace(other) != partPlace(part) && m_verdicts.count(other) != 0 && isMoreLikely(other, part);
        });
        if (!isExplainedElsewhere) {
            unexplained.push_back(crash);
        }
    }
    return countCrashes(unexplained) >= CRASH_LIMIT;
}

void PartQuarantine::judge(TimePoint now)
{
    m_standings.clear();
    std::vector<PartKey> candidates;
    for (const auto &[part, suspect] : m_suspects) {
        if (suspect.crashes.size() < 2) {
            continue;
        }
        const int count = countCrashes(unansweredCrashes(part, suspect));
        m_standings[part] = {count, count + (answeredAt(part) ? 0 : NEVER_ANSWERED_WEIGHT)};
        if (count >= CRASH_LIMIT) {
            candidates.push_back(part);
        }
    }
    const auto isNoCandidate = [this](PartKey part) {
        return standing(part).crashes < CRASH_LIMIT;
    };
    std::vector<PartKey> cleared;
    for (const auto &[part, quarantine] : m_verdicts) {
        if (isNoCandidate(part)) {
            cleared.push_back(part);
        }
    }
    for (const PartKey part : cleared) {
        spare(part, m_suspects.count(part) != 0 ? SpareReason::Answered : SpareReason::Expired);
    }
    for (auto it = m_spared.begin(); it != m_spared.end();) {
        it = isNoCandidate(it->first) ? m_spared.erase(it) : std::next(it);
    }
    // Quarantined parts explain the crashes of others, so those that explain most are judged first.
    std::sort(candidates.begin(), candidates.end(), [this](PartKey a, PartKey b) {
        return std::make_tuple(-standing(a).crashes, -partPlace(a), a)
            < std::make_tuple(-standing(b).crashes, -partPlace(b), b);
    });
    for (const PartKey part : candidates) {
        const bool isKnown = m_verdicts.count(part) != 0;
        std::vector<PartCrash> counted = unansweredCrashes(part, m_suspects[part]);
        if (isKnown && !isQuarantineKept(part, counted)) {
            spare(part, SpareReason::OtherCause);
            continue;
        }
        if (!isKnown) {
            const auto isTooRecent = [now](const PartCrash &crash) {
                return now - crash.at < SETTLING_TIME;
            };
            counted.erase(std::remove_if(counted.begin(), counted.end(), isTooRecent), counted.end());
            if (countCrashes(counted) < CRASH_LIMIT) {
                continue;
            }
            const auto isCausedElsewhere = [&](const PartCrash &crash) {
                return hasOtherCause(crash);
            };
            counted.erase(std::remove_if(counted.begin(), counted.end(), isCausedElsewhere), counted.end());
        }
        const int count = countCrashes(counted);
        if (count < CRASH_LIMIT) {
            spare(part, SpareReason::OtherCause);
            continue;
        }
        if (counted.back().at + QUARANTINE_TIME <= now) {
            spare(part, SpareReason::Expired);
            continue;
        }
        if (!isKnown && !isServiceWorking(part, counted.front().at)) {
            spare(part, SpareReason::TooFewOtherAnswers);
            continue;
        }
        m_spared.erase(part);
        Quarantine &quarantine = m_verdicts[part];
        quarantine.verdict = {part, count, counted.back().at + QUARANTINE_TIME};
        for (const auto &crash : counted) {
            quarantine.teams.insert(crash.team);
        }
        if (!isKnown) {
            m_newVerdicts.push_back(quarantine.verdict);
        }
    }
}

void PartQuarantine::spare(PartKey part, SpareReason reason)
{
    const bool wasQuarantined = m_verdicts.erase(part) != 0;
    const auto [known, isNew] = m_spared.try_emplace(part, reason);
    if (!isNew && known->second == reason && !wasQuarantined) {
        return;
    }
    known->second = reason;
    if (m_newlySpared.size() < MAX_SPARED) {
        m_newlySpared.push_back({part, standing(part).crashes, reason, wasQuarantined, answeredAt(part).has_value()});
    }
}

void PartQuarantine::update(TimePoint now)
{
    const bool isIdle = !m_isChanged && m_judgedAt >= m_addedAt + SETTLING_TIME;
    if (m_suspects.empty() || now - m_judgedAt < (isIdle ? IDLE_JUDGE_INTERVAL : JUDGE_INTERVAL)) {
        return;
    }
    m_isChanged = false;
    m_judgedAt = now;
    judge(now);
}

std::optional<PartVerdict> PartQuarantine::verdict(
    const std::vector<PartKey> &parts, const std::string &team, TimePoint now)
{
    update(now);
    for (const PartKey part : m_verdicts.empty() ? std::vector<PartKey>() : parts) {
        const auto found = m_verdicts.find(part);
        if (found == m_verdicts.end()) {
            continue;
        }
        // The requests of one team alone say nothing about those of others.
        const auto &teams = found->second.teams;
        if (teams.size() > 1 || teams.count(shortHash(team)) != 0) {
            return found->second.verdict;
        }
    }
    return std::nullopt;
}

std::vector<PartVerdict> PartQuarantine::takeNewVerdicts(TimePoint now)
{
    update(now);
    return std::exchange(m_newVerdicts, {});
}

std::vector<SparedPart> PartQuarantine::takeSparedParts(TimePoint now)
{
    update(now);
    return std::exchange(m_newlySpared, {});
}

PartEvidence PartQuarantine::evidence(TimePoint now) const
{
    std::vector<PartCrash> repeated;
    std::vector<PartCrash> own;
    std::unordered_set<PartKey> repeatedParts;
    PartEvidence out;
    for (const auto &[part, suspect] : m_suspects) {
        const bool isRecent = now < suspect.crashes.back().at + OWN_REPORT_TIME;
        const auto answered = answeredAt(part);
        if (answered && isRecent) {
            out.answers.push_back({part, *answered});
        }
        std::vector<PartCrash> unanswered = unansweredCrashes(part, suspect);
        // A gateway that has just started would learn these without their cause.
        unanswered.erase(std::remove_if(unanswered.begin(), unanswered.end(),
                             [this](const PartCrash &crash) { return isPassedOver(crash); }),
            unanswered.end());
        if (countCrashes(unanswered) > 1) {
            repeatedParts.insert(part);
            const auto selected = distinctCrashes(unanswered, CRASH_LIMIT + 1);
            repeated.insert(repeated.end(), selected.begin(), selected.end());
        }
    }
    for (const auto &crash : m_ownReports) {
        // Each crash of a part with several also explains why other prompts were interrupted.
        const bool isRepeated = repeatedParts.count(crash.part) != 0;
        if (now < crash.at + (isRepeated ? FRESH_TIME : OWN_REPORT_TIME) && !isPassedOver(crash)) {
            own.push_back(crash);
        }
    }
    const auto isLater = [](const auto &a, const auto &b) {
        return a.at > b.at;
    };
    std::sort(repeated.begin(), repeated.end(), isLater);
    // Later parts are shared by fewer prompts, and so are more likely to be the cause.
    std::sort(own.begin(), own.end(), [](const PartCrash &a, const PartCrash &b) {
        return std::make_tuple(-partPlace(a.part), b.at) < std::make_tuple(-partPlace(b.part), a.at);
    });
    std::sort(out.answers.begin(), out.answers.end(), isLater);
    const std::size_t ownCount = std::min(own.size(), PartEvidence::MAX_CRASHES / 2);
    repeated.resize(std::min(repeated.size(), PartEvidence::MAX_CRASHES - ownCount));
    out.crashes = std::move(repeated);
    out.crashes.insert(out.crashes.end(), own.begin(), own.begin() + static_cast<std::ptrdiff_t>(ownCount));
    out.answers.resize(std::min(out.answers.size(), PartEvidence::MAX_ANSWERS));
    return out;
}

void PartQuarantine::expire(TimePoint now)
{
    for (auto it = m_crashedEndpoints.begin(); it != m_crashedEndpoints.end();) {
        it = it->second.at + MEMORY_TIME > now ? std::next(it) : m_crashedEndpoints.erase(it);
    }
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto &crashes = it->second.crashes;
        crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                          [now](const PartCrash &crash) { return crash.at + MEMORY_TIME <= now; }),
            crashes.end());
        it = crashes.empty() ? m_suspects.erase(it) : std::next(it);
    }
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(),
                        [now](const Pending &pending) { return pending.crashes.front().at + OWN_REPORT_TIME <= now; }),
        m_pending.end());
    m_isChanged = true;
}

}
