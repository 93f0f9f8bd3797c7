/** \file
 * Metadata of requests and responses, independent of the header fields that carry it.
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
    /** The caller's guess at the number of output tokens; it is accurate only at the median. */
    std::optional<std::int64_t> expectedOutputTokens;
    /** The last part belongs to the request itself. */
    std::vector<PromptPart> parts;
};

struct RequestTraits
{
    /** Unique id of one attempt of a caller; empty when the caller sent none. */
    std::string attemptId;
    /** How long the caller waits for the response. */
    std::optional<Duration> callerTimeout;
    /** The key from the bearer authorization; empty when there is none. */
    std::string key;
    std::optional<PromptTraits> prompt;
    /** Id of the event after which the caller resumes a stream. */
    std::string lastEventId;
    /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
    std::string resumedAttempt;
};

/** Load of an endpoint at the time of its response. */
struct EndpointLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /** How long work takes on the endpoint's VM at present, as a percentage of the usual time. Empty if the endpoint
     * doesn't state it. */
    std::optional<int> pacePercent;
};

struct ResponseTraits
{
    /** The attempt id that the endpoint repeats from the request; empty when there is none. */
    std::string attemptId;
    /** Whether the response carries the platform's seal, which marks responses of its endpoints. A response without it
     * counts as malformed, unless it states that the request wasn't run. */
    bool hasServerSeal = false;
    /** Whether the endpoint states that it didn't run the request. */
    bool isNotExecuted = false;
    /** Whether the endpoint states that the request was meant for another one. */
    bool isOtherInstance = false;
    std::optional<EndpointLoad> load;
    /** Whether the response states a load that can't be read. */
    bool isLoadUnreadable = false;
    /** Requests per second that the endpoint accepts from all gateways together; empty if it states no limit. */
    std::optional<double> limitPerSecond;
    /** Whether the response states a limit that can't be read. */
    bool isLimitUnreadable = false;
    /** Whether the endpoint states that it leaves. */
    bool isLeaving = false;
    /** How long the endpoint wants no requests of this process; stated as it rejects one. */
    std::optional<Duration> pause;
    /** How long the endpoint keeps an idle connection open. */
    std::optional<Duration> keepAlive;
};

/** Metadata that a gateway adds to a request that it forwards to an endpoint. */
struct ForwardTraits
{
    std::string endpointId;
    Duration timeLeft{};
    /** Empty on routes without teams. */
    std::string team;
    /** Priority on the engine's scale, 0 being the most urgent. If empty, the engine uses its default. */
    std::optional<int> enginePriority;
    /** Id of the event after which a resumed stream continues; empty for a stream from its beginning. */
    std::string lastEventId;
};

}
