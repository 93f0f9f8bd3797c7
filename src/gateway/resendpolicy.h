/** \file
 * Decides whether a request is sent again after a failed attempt.
 */
#pragma once

#include "routingconfiguration.h"

namespace Cyclamenturn
{

/** Outcome of a failed attempt, by what it proves about the request. */
enum class AttemptOutcome {
    /** No byte of the request was sent. */
    NotSent,
    /** The endpoint states that it didn't run the request. */
    NotRun,
    /** The address belongs to another endpoint by now; the request didn't run. */
    OtherInstance,
    /** The endpoint ran the request and responded with a failure. */
    FailureResponse,
    /** The request was sent, but no complete response was received: it may have run. */
    ResponseLost,
};

enum class ResendChoice {
    /** Send the request to another endpoint. */
    Resend,
    /** End the request with the outcome known so far. */
    GiveUp,
};

struct ResendState
{
    /** Number of endpoints that may have accepted the request, including the last one. */
    int sends = 0;
    /** Whether events of a stream were already sent to the caller. */
    bool hasDelivered = false;
    /** Remaining time until the caller's timeout. */
    Duration timeLeft{};
};

/** Whether the outcome and the route permit another send. It must also fit into the retry budget (see RetryWindow),
 * which is checked separately. */
ResendChoice chooseResend(const Route &route, AttemptOutcome outcome, const ResendState &state);

}
