/** \file
 * What a request and an answer say about themselves beside their bytes, decoded from their fields.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** One part of a prompt. Requests that share a part share all parts before it. */
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

struct PromptTraits
{
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokenLimit = 0;
    /** The caller's guess at the tokens of the answer; right at the median only. */
    std::optional<std::int64_t> expectedOutputTokens;
    /** The last part belongs to the request itself. */
    std::vector<PromptPart> parts;
};

struct RequestTraits
{
    /** Unique to one attempt of a caller; empty when it sent none. */
    std::string attemptId;
    /** How long the caller waits. */
    std::optional<Duration> callerTimeout;
    /** The bearer key; empty when there is none. */
    std::string key;
    std::optional<PromptTraits> prompt;
    /** The event after which a caller resumes a stream. */
    std::string lastEventId;
};

/** How busy an endpoint was when it answered. */
struct EndpointLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

struct ResponseTraits
{
    /** Echo of the request's id; empty when there is none. */
    std::string attemptId;
    /** Whether the endpoint signed the answer. */
    bool hasServerSeal = false;
    /** The endpoint states that it didn't run the request. */
    bool isNotExecuted = false;
    /** The endpoint isn't the one that the request was meant for. */
    bool isOtherInstance = false;
    std::optional<EndpointLoad> load;
    /** How long the endpoint keeps an idle connection. */
    std::optional<Duration> keepAlive;
};

/** What the system states to an endpoint with a request. */
struct ForwardTraits
{
    std::string endpointId;
    Duration timeLeft{};
    /** Empty on routes without teams. */
    std::string team;
    /** Of the engine's scale, 0 first; none leaves the engine's default. */
    std::optional<int> enginePriority;
    /** Set to let a stream go on after that event. */
    std::string lastEventId;
};

}
