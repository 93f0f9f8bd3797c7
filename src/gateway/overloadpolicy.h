/** \file
 * Turns requests away at once when the wait for their first event has grown past use. It answers bursts of long prompts
 * beyond what the engines can read: without it the queues grow until every caller gives up, and the reading is in vain.
 */
#pragma once

#include "timepoint.h"

#include <variant>

namespace Cyclamenturn
{

struct OverloadSettings
{
    /** Expected time to the first event, over the route's objective, from which a new request is turned away. */
    double refuseAboveObjectives = 2.5;
    /** The same for a request that comes back, as a share of the time that its caller still waits. */
    double refuseReturningAbove = 0.5;
    /** Callers honour a wait of at most this share of the time that they have left. */
    double longestWaitShare = 0.32;
};

struct OverloadInputs
{
    /** Estimate for the best endpoint. */
    Duration expectedFirstEvent{};
    Duration objective{};
    /** Time that the caller still waits. */
    Duration timeLeft{};
    /** Time that callers of this route wait when they come for the first time. */
    Duration initialTimeLeft{};
};

struct AcceptRequest
{
};

struct RejectRequest
{
    /** When the caller should come back: when the queue is expected to have room, spread over an objective so that
     * those turned away together don't return together. */
    Duration retryAfter{};
};

using OverloadDecision = std::variant<AcceptRequest, RejectRequest>;

/** `draw` is uniform in [0, 1). */
OverloadDecision decideOverload(const OverloadSettings &settings, const OverloadInputs &inputs, double draw);

}
