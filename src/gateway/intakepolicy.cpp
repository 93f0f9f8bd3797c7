/** \file
 * Rejection of requests by a gateway that is behind with its own work.
 */
#include "intakepolicy.h"

#include "admitrequest.h"
#include "exponentialdecay.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** With this time constant, a delay that has passed is forgotten within about half a second. */
constexpr Duration DELAY_TIME_CONSTANT = milliseconds(200);
/** Weight of one request in the average. */
constexpr double REQUEST_WEIGHT = 0.25;
/** Delays up to these are accepted for requests of the least and the most urgent priority. */
constexpr Duration LEAST_URGENT_LIMIT = milliseconds(100);
constexpr Duration MOST_URGENT_LIMIT = milliseconds(400);
/** Difference between the limits of two successive priorities. */
constexpr Duration LIMIT_STEP = (MOST_URGENT_LIMIT - LEAST_URGENT_LIMIT) / (ENGINE_PRIORITY_LEVELS - 1);
/** Besides the request itself, its response waits for this process. */
constexpr int DELAYS_PER_REQUEST = 2;
/** Callers come back after Retry-After if it is at most this part of the time that they have left. */
constexpr double LONGEST_WAIT_SHARE = 0.32;

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

/** Requests of this priority are rejected while the delay exceeds this. `draw` spreads the limits of one priority up to
 * those of the next, so that not all of its requests are rejected at once. */
Duration delayLimit(int priority, double draw)
{
    return MOST_URGENT_LIMIT - LIMIT_STEP * priority + scaled(LIMIT_STEP, draw);
}

}

void IntakeDelay::add(Duration waited, TimePoint now)
{
    const double previous = static_cast<double>(current(now).count());
    m_average = previous + REQUEST_WEIGHT * (static_cast<double>(waited.count()) - previous);
    m_updatedAt = now;
}

Duration IntakeDelay::current(TimePoint now) const
{
    return Duration(static_cast<std::int64_t>(m_average * decayFactor(now - m_updatedAt, DELAY_TIME_CONSTANT)));
}

IntakeDecision decideIntake(const IntakeInputs &inputs, double draw)
{
    const bool isTooSlow = inputs.delay > LEAST_URGENT_LIMIT && inputs.delay * DELAYS_PER_REQUEST > inputs.timeLeft;
    if (!isTooSlow && inputs.delay <= delayLimit(inputs.priority, draw)) {
        return IntakeAccepted();
    }
    const Duration untilRead = std::max(DEFAULT_RETRY_AFTER, inputs.delay) + scaled(inputs.delay, draw);
    return IntakeRejected{std::min(untilRead, scaled(inputs.timeLeft, LONGEST_WAIT_SHARE))};
}

}
