/** \file
 * The events that EntryCore handles and the actions that it returns.
 */
#pragma once

#include "agentstatus.h"
#include "call.h"
#include "fleetconfiguration.h"
#include "outcome.h"

#include <optional>
#include <string>
#include <variant>

namespace Cyclamenturn
{

/** A request has passed the checks of its format, team and class. */
struct CallAdmitted
{
    Call call;
};

/** No byte of the call was sent to the agent: the connection was refused, or the handshake was not answered. */
struct AttemptNeverSent
{
};

/** The agent sent the final outcome of this attempt. */
struct AttemptAnswered
{
    Outcome outcome;
};

/** The call was sent, but the agent stopped responding, or the connection failed and could not be resumed. */
struct AttemptUnanswered
{
};

using AttemptResult = std::variant<AttemptNeverSent, AttemptAnswered, AttemptUnanswered>;

struct AttemptEnded
{
    std::string callId;
    std::string endpoint;
    AttemptResult result;
};

/** The delay of a WaitForRetry action has elapsed. */
struct RetryDue
{
    std::string callId;
};

struct CallerDisconnected
{
    std::string callId;
};

/** A status report of an agent was received with a response or in reply to a heartbeat. */
struct AgentReportReceived
{
    AgentStatus status;
};

/** A heartbeat was not answered. */
struct HeartbeatFailed
{
    std::string endpoint;
};

struct EntryConfigurationApplied
{
    FleetConfigurationPtr configuration;
};

struct EntryTick
{
};

using EntryEvent = std::variant<CallAdmitted, AttemptEnded, RetryDue, CallerDisconnected, AgentReportReceived,
    HeartbeatFailed, EntryConfigurationApplied, EntryTick>;

struct SendAttempt
{
    std::string callId;
    std::string endpoint;
    std::string host;
    int port = 0;
    /** The agent's last known incarnation; 0 if none is known yet. */
    std::uint64_t incarnation = 0;
    /** True if the call must be sent only after the agent has answered a handshake on the same connection. */
    bool handshake = false;
    /** Endpoint crashes known to this entry during runs of the call's fingerprint. */
    std::vector<CrashReport> crashes;
};

/** No endpoint can be tried now; the caller of handle() sends RetryDue after `delay`. */
struct WaitForRetry
{
    std::string callId;
    Duration delay{};
};

struct FinishRequest
{
    std::string callId;
    Outcome outcome;
};

struct SendHeartbeat
{
    std::string endpoint;
    std::string host;
    int port = 0;
};

using EntryAction = std::variant<SendAttempt, WaitForRetry, FinishRequest, SendHeartbeat>;

}
