/** \file
 * What responses show about the engine that made them.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstdint>
#include <optional>

namespace Cyclamenturn
{

/** The time to the first event of a stream. */
struct FirstEventObservation
{
    /** From sending the request to the first byte of the response. */
    Duration took{};
    /** Tokens that the engine was expected to prefill. */
    std::int64_t prefillTokens = 0;
    /** The tokens that it may have prefilled: at least the request's own part, which no engine has cached, and at most
     * all that this gateway hasn't sent there before. */
    std::int64_t leastTokens = 0;
    std::int64_t mostTokens = 0;
    /** Tokens of this gateway's other requests that the engine presumably had to prefill first. */
    std::int64_t pendingTokens = 0;
    /** The same of the other gateways' requests, by digests that are up to some seconds old. */
    std::int64_t peersPendingTokens = 0;
    /** The load that the response states. */
    std::optional<EndpointLoad> load;
};

/** The events of a stream that has ended by itself. */
struct AnswerObservation
{
    /** From the first event to the last. */
    Duration took{};
    int events = 0;
    /** The caller's guess, which is accurate only at the median. */
    std::optional<double> expectedTokens;
    std::int64_t prefillTokens = 0;
    /** Whether token generation dominates the request. */
    bool isLongAnswer = false;
    /** The route's objective for the time between two events. */
    std::optional<Duration> eventGap;
    /** The load that the response states at its beginning. */
    std::optional<EndpointLoad> load;
};

}
