/** \file
 * What the entry core takes in and gives out: closed sets of events and actions.
 */
#pragma once

#include "agentfigures.h"
#include "call.h"
#include "fleetconfiguration.h"
#include "outcome.h"

#include <optional>
#include <string>
#include <variant>

namespace Cyclamenturn
{

/** A caller's request has passed the checks of its form, team and class. */
struct CallAdmitted
{
    Call call;
};

/** No byte of the call left for the agent: the connection was refused, or its handshake got no answer. */
struct AttemptNeverSent
{
};

/** The agent gave the final outcome of this attempt. */
struct AttemptAnswered
{
    Outcome outcome;
};

/** The call was sent, and the agent fell silent or the connection broke for good. */
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

/** The wait that WaitForRetry asked for is over. */
struct RetryDue
{
    std::string callId;
};

/** The caller has closed its connection. */
struct CallerDisconnected
{
    std::string callId;
};

/** An agent's figures arrived, on an answer or a heartbeat. */
struct AgentReportReceived
{
    AgentFigures figures;
};

/** A heartbeat got no answer. */
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
    /** 0 when no incarnation is known yet. */
    std::uint64_t incarnation = 0;
    /** Send the call only after the agent has answered a handshake on the same connection. */
    bool handshake = false;
    /** Crashes that the call's fingerprint was part of, as far as this entry knows. */
    int crashes = 0;
};

/** Nothing can be tried now; come back with RetryDue. */
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
