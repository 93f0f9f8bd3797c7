/** \file
 * Admission with learned engine speeds.
 */
#include "promptadmission.h"

#include "exponentialdecay.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Limit of the expected time to the first event of a new long prompt, in objectives. Longer queues make more responses
 * late than they serve additionally. */
constexpr double LIMIT_OBJECTIVES = 1.0;
/** The same for a request that was rejected before. It is accepted more readily, but not up to half of its time: such
 * queues make all new requests late. */
constexpr double RETURNING_LIMIT_OBJECTIVES = 1.25;
/** Added to both limits while nothing is rejected; without overload, queues soon get shorter by themselves. */
constexpr double CALM_OBJECTIVES = 1.0;
/** Share of rejected requests from which there is an overload. */
constexpr double OVERLOAD_SHARE = 0.1;
/** Requests that weren't rejected, added to those observed. */
constexpr double PRIOR_REQUESTS = 4;
/** Limit for prompts that take longer than the objective even alone, as a multiple of that time: they are late anyway,
 * and are started while there is hardly a queue. */
constexpr double LIMIT_PROCESSING = 1.25;
/** A share of rejections counts as larger by this difference at least, since shares of few requests vary. */
constexpr double CLEAR_DIFFERENCE = 0.05;
/** Requests of a level that give a meaningful share. */
constexpr double MIN_REQUESTS = 4;

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

}

void RejectedShares::note(int level, bool isRejected, TimePoint now)
{
    Level &item = m_levels[static_cast<std::size_t>(level)];
    const double factor = decayFactor(now - item.updatedAt, TIME_CONSTANT);
    item.requests = item.requests * factor + 1;
    item.rejected = item.rejected * factor + (isRejected ? 1 : 0);
    item.updatedAt = now;
}

bool RejectedShares::isMoreUrgentRejected(int level, TimePoint now) const
{
    const Level &own = m_levels[static_cast<std::size_t>(level)];
    const double ownShare = own.requests > 0 ? own.rejected / own.requests : 0;
    return std::any_of(m_levels.begin(), m_levels.begin() + level, [ownShare, now](const Level &other) {
        const double requests = other.requests * decayFactor(now - other.updatedAt, TIME_CONSTANT);
        return requests >= MIN_REQUESTS && other.rejected / other.requests > ownShare + CLEAR_DIFFERENCE;
    });
}

double RejectedShares::asUrgentShare(int level, TimePoint now) const
{
    double all = 0;
    double asUrgent = 0;
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        const Level &other = m_levels[i];
        const double started = (other.requests - other.rejected) * decayFactor(now - other.updatedAt, TIME_CONSTANT);
        all += started;
        asUrgent += i <= static_cast<std::size_t>(level) ? started : 0;
    }
    return all > 0 ? asUrgent / all : 1;
}

double RejectedShares::total(TimePoint now) const
{
    double requests = PRIOR_REQUESTS;
    double rejected = 0;
    for (const Level &level : m_levels) {
        const double factor = decayFactor(now - level.updatedAt, TIME_CONSTANT);
        requests += level.requests * factor;
        rejected += level.rejected * factor;
    }
    return rejected / requests;
}

OverloadDecision decideAdmission(const OverloadSettings &settings, const AdmissionInputs &inputs, double draw)
{
    if (inputs.hasAmpleSlots) {
        return AcceptRequest();
    }
    const Duration queue = std::max(Duration(), inputs.expectedFirstEvent - inputs.processing);
    const Duration expected = inputs.expectedFirstEvent - queue + scaled(queue, inputs.asUrgentShare);
    const bool canEnd = expected + inputs.expectedOutput <= inputs.timeLeft;
    bool isTimely = true;
    if (inputs.isLongPrompt) {
        const bool isReturn = isReturning(inputs.timeLeft, inputs.initialTimeLeft);
        const double calm = CALM_OBJECTIVES * std::max(0.0, 1 - inputs.rejectedShare / OVERLOAD_SHARE);
        const double objectives = calm + (isReturn ? RETURNING_LIMIT_OBJECTIVES : LIMIT_OBJECTIVES);
        Duration limit = std::max(scaled(inputs.objective, std::min(settings.refuseAboveObjectives, objectives)),
            scaled(inputs.processing, LIMIT_PROCESSING));
        if (isReturn) {
            limit = std::min(limit, scaled(inputs.timeLeft, settings.refuseReturningAbove));
        }
        isTimely = expected <= limit && !inputs.isMoreUrgentRejected;
    }
    if (canEnd && isTimely) {
        return AcceptRequest();
    }
    const Duration untilRoom = std::max(Duration(), expected - inputs.objective) + scaled(inputs.objective, draw);
    return RejectRequest{std::min(untilRoom, scaled(inputs.timeLeft, settings.longestWaitShare))};
}

}
