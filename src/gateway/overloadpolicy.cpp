/** \file
 * Rejection of requests under overload.
 */
#include "overloadpolicy.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** A request with less than this share of the initial time left counts as a retry. */
constexpr double RETRY_TIME_LEFT_SHARE = 0.93;

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

}

bool isReturning(Duration timeLeft, Duration initialTimeLeft)
{
    return timeLeft < scaled(initialTimeLeft, RETRY_TIME_LEFT_SHARE);
}

OverloadDecision decideOverload(const OverloadSettings &settings, const OverloadInputs &inputs, double draw)
{
    const bool isRetry = isReturning(inputs.timeLeft, inputs.initialTimeLeft);
    const Duration limit = isRetry ? scaled(inputs.timeLeft, settings.refuseReturningAbove)
                                   : scaled(inputs.objective, settings.refuseAboveObjectives);
    if (inputs.expectedFirstEvent <= limit) {
        return AcceptRequest();
    }
    const Duration untilCapacity = inputs.expectedFirstEvent - inputs.objective + scaled(inputs.objective, draw);
    return RejectRequest{std::min(untilCapacity, scaled(inputs.timeLeft, settings.longestWaitShare))};
}

}
