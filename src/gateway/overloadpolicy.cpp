/** \file
 * Turning requests away under overload.
 */
#include "overloadpolicy.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** A caller with less than this share of the usual time left has been here before. */
constexpr double RETURNING_SHARE = 0.93;

Duration scaled(Duration span, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

}

OverloadDecision decideOverload(const OverloadSettings &settings, const OverloadInputs &inputs, double draw)
{
    const bool returning = inputs.timeLeft < scaled(inputs.usualPatience, RETURNING_SHARE);
    const Duration limit = returning ? scaled(inputs.timeLeft, settings.refuseReturningAbove)
                                     : scaled(inputs.objective, settings.refuseAboveObjectives);
    if (inputs.expectedFirstEvent <= limit) {
        return TakeUp();
    }
    const Duration untilRoom = inputs.expectedFirstEvent - inputs.objective + scaled(inputs.objective, draw);
    return TurnAway{std::min(untilRoom, scaled(inputs.timeLeft, settings.longestWaitShare))};
}

}
