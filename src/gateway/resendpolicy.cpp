/** \file
 * Resends after failed attempts.
 */
#include "resendpolicy.h"

namespace Cyclamenturn
{

namespace
{

/** Less time than this is no use to another endpoint. */
constexpr Duration LEAST_TIME_LEFT = milliseconds(20);

}

ResendChoice chooseResend(const Route &route, AttemptEnd end, const ResendState &state)
{
    if (state.timeLeft < LEAST_TIME_LEFT) {
        return ResendChoice::GiveUp;
    }
    switch (end) {
    case AttemptEnd::NotSent:
    case AttemptEnd::OtherInstance:
        return ResendChoice::Resend;
    case AttemptEnd::NotRun:
        return state.sends < route.maxAttempts ? ResendChoice::Resend : ResendChoice::GiveUp;
    case AttemptEnd::FailureAnswer:
        return route.isRepeatable() && !state.hasDelivered && state.sends < route.maxAttempts ? ResendChoice::Resend
                                                                                              : ResendChoice::GiveUp;
    case AttemptEnd::Lost:
        return route.isRepeatable() && state.sends < route.maxAttempts ? ResendChoice::Resend : ResendChoice::GiveUp;
    }
    return ResendChoice::GiveUp;
}

}
