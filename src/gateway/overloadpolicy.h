/** \file
 * Rejects a request immediately when its first event is expected too late to be useful. Without this rule, a burst of
 * long prompts beyond the prefill capacity lets the queues grow until all callers time out and their prefill is wasted.
 */
#pragma once

#include "timepoint.h"

#include <variant>

namespace Cyclamenturn
{

struct OverloadSettings
{
    /** A new request is rejected if its expected time to the first event exceeds the route's objective times this. */
    double refuseAboveObjectives = 2.5;
    /** A retry is rejected if its expected time to the first event exceeds this share of its remaining time. */
    double refuseReturningAbove = 0.5;
    /** Maximum Retry-After as a share of the remaining time. Callers don't honour longer waits. */
    double longestWaitShare = 0.32;
};

struct OverloadInputs
{
    /** Expected time to the first event at the best endpoint. */
    Duration expectedFirstEvent{};
    Duration objective{};
    /** Remaining time until the caller's timeout. */
    Duration timeLeft{};
    /** Time until the timeout that a request of this route has at its first attempt. */
    Duration initialTimeLeft{};
};

struct AcceptRequest
{
};

struct RejectRequest
{
    /** When the caller should retry: when the queue is expected to have capacity, spread over one objective so that
     * requests that were rejected together aren't retried together. */
    Duration retryAfter{};
};

using OverloadDecision = std::variant<AcceptRequest, RejectRequest>;

/** Whether a request was probably rejected before, as it has clearly less time left than at a first attempt. */
bool isReturning(Duration timeLeft, Duration initialTimeLeft);

/** Accepts or rejects a request. `draw` is a random number, uniform in [0, 1), that spreads the retries. */
OverloadDecision decideOverload(const OverloadSettings &settings, const OverloadInputs &inputs, double draw);

}
