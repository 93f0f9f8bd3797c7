/** \file
 * Rules for resends after failed attempts.
 */
#include "resendpolicy.h"

namespace Cyclamenturn
{

namespace
{

/** With less remaining time, another endpoint could not respond before the timeout. */
constexpr Duration MIN_TIME_LEFT = milliseconds(20);

}

ResendChoice chooseResend(const Route &route, AttemptOutcome outcome, const ResendState &state)
{
    if (state.timeLeft < MIN_TIME_LEFT) {
        return ResendChoice::GiveUp;
    }
    switch (outcome) {
    case AttemptOutcome::NotSent:
    case AttemptOutcome::OtherInstance:
        return ResendChoice::Resend;
    case AttemptOutcome::NotRun:
        return state.sends < route.maxAttempts ? ResendChoice::Resend : ResendChoice::GiveUp;
    case AttemptOutcome::FailureResponse:
        return route.isRepeatable() && !state.hasDelivered && state.sends < route.maxAttempts ? ResendChoice::Resend
                                                                                              : ResendChoice::GiveUp;
    case AttemptOutcome::ResponseLost:
        return route.isRepeatable() && state.sends < route.maxAttempts ? ResendChoice::Resend : ResendChoice::GiveUp;
    }
    return ResendChoice::GiveUp;
}

}
