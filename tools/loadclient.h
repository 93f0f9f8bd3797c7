/** \file
 * One caller of the load generator: sends a request, resends it where the scenario allows it, and checks the response.
 */
#pragma once

#include "loadscenario.h"

#include <random>
#include <string>

namespace Cyclamenturn
{

/** One request of the scenario, drawn before the run starts. */
struct PlannedRequest
{
    /** Intended start, from the beginning of the run. */
    Duration start{};
    const LoadSpec *load = nullptr;
    /** Position in the order of start. */
    std::uint64_t number = 0;
    /** Length of the response in tokens. */
    std::uint64_t tokens = 0;
    /** Number that selects the beginning of the prompt, less than LoadSpec::prefixes. */
    std::int64_t prefix = 0;
    /** Index into LoadSpec::teamKeys. */
    std::size_t team = 0;
    /** Index into LoadScenario::entries; each resend goes to the next entry. */
    std::size_t entry = 0;
};

/** How a request ended. */
struct RequestResult
{
    const LoadSpec *load = nullptr;
    Duration start{};
    /** The stream ended with "[DONE]", or the response had a success status. */
    bool complete = false;
    /** Complete, correct, and within the class's deadline from the intended start. */
    bool attained = false;
    bool firstByteInTime = false;
    /** The response was complete, but its content differs from the expected one. */
    bool wrong = false;
    /** Latencies from the intended start. */
    Duration firstByte{};
    Duration total{};
    std::uint64_t tokens = 0;
    int resends = 0;
    /** Outcome and reason of the last attempt, as the entry reported them; "connection" without a response. */
    std::string outcome;
    std::string reason;
    /** Idempotency key of all attempts; empty when the request has none. */
    std::string key;
    /** True when every attempt ended with the outcome "not_run". */
    bool onlyNotRunOutcomes = false;
};

/** Returns the text of token `index` of the stand-in engine's response to `messages`. */
std::string expectedToken(const std::string &messages, std::uint64_t index);

/** Sends one request and its resends. `startedAt` is the intended start, from which all latencies are measured. */
RequestResult runRequest(const LoadScenario &scenario, const PlannedRequest &request, TimePoint startedAt);

}
