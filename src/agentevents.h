/** \file
 * The events that AgentCore handles and the actions that it returns.
 */
#pragma once

#include "agentstatus.h"
#include "call.h"
#include "fleetconfiguration.h"
#include "keytable.h"
#include "modelplacement.h"
#include "outcome.h"
#include "resenddecision.h"
#include "runjournal.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cyclamenturn
{

/** An entry sent a call. */
struct CallOffered
{
    Call call;
    /** The agent incarnation to which the entry addressed the call; 0 if none is known to the entry yet. */
    std::uint64_t incarnation = 0;
    /**
     * Whether the entry has had a recent response from the store. If it has and the agent has not, the agent is
     * isolated; if neither has, the store is down.
     */
    bool storeReachableFromEntry = false;
    /** Endpoint crashes known to the entry during runs of the call's fingerprint. */
    std::vector<CrashReport> crashes;
};

/**
 * The response is no longer needed: the caller has disconnected, or the entry has sent the call to another agent. A run
 * is only cancelled if the call is idempotent.
 */
struct CallCancelled
{
    std::string callId;
};

/** How a run at the endpoint ended. */
enum class RunEnd {
    Completed,
    /** Stopped by PreemptRun. The tokens generated so far are kept. */
    Preempted,
    /** No byte reached the endpoint. */
    NeverStarted,
    /** The time window in which a first attempt may start ended before any byte was sent. */
    Expired,
    /** The connection was closed or timed out after the call was sent. */
    EndpointCrashed,
    /** The endpoint returned an error for this call. It does not count as a crash. */
    EndpointErrored,
    /** Stopped by CancelRun because the response is no longer needed. */
    Cancelled,
};

struct RunEnded
{
    std::string callId;
    RunEnd end = RunEnd::Completed;
};

/** Another agent requested the record of an idempotency key. */
struct KeyQueried
{
    std::uint64_t queryId = 0;
    std::string key;
    TimePoint issuedAt;
};

/** The responses of the other agents and the store to a GatherEvidence action. */
struct EvidenceGathered
{
    std::string callId;
    ResendEvidence evidence;
};

enum class ClaimResult {
    Claimed,
    ClaimedByOther,
    /** No response from the store; the claim may or may not have been written. */
    Unclear,
};

struct KeyClaimed
{
    std::string callId;
    ClaimResult result = ClaimResult::Unclear;
};

enum class JournalResult {
    Written,
    Failed,
    /** A successor has sealed the journal of this incarnation, which may not write it any more. */
    Fenced,
};

struct JournalWritten
{
    JournalResult result = JournalResult::Failed;
};

/** The engine has responded to a SendOrder action, or the order has failed. */
struct OrderEnded
{
    OrderResult result = OrderResult::Failed;
};

struct ConfigurationApplied
{
    FleetConfigurationPtr configuration;
};

/** The process was asked to stop, or the VM list marks its VM as leaving. */
struct LeaveRequested
{
};

/** Periodic event, sent when no other event has occurred for AgentCore::TICK_INTERVAL. */
struct Tick
{
};

using AgentEvent = std::variant<CallOffered, CallCancelled, RunEnded, KeyQueried, EvidenceGathered, KeyClaimed,
    JournalWritten, OrderEnded, ConfigurationApplied, LeaveRequested, Tick>;

/** Send the call to the endpoint. A preempted call resumes after the last token of its response. */
struct StartRun
{
    std::string callId;
    /** If set, the first byte must be sent before this time. */
    std::optional<TimePoint> startBefore;
};

/** Stop the run and keep the tokens generated so far. The call returns to the queue. */
struct PreemptRun
{
    std::string callId;
};

/** Stop the run and discard its result. */
struct CancelRun
{
    std::string callId;
};

/**
 * End the call at this agent. An outcome of NotRun applies only to this attempt at this agent. From it, the entry
 * derives the outcome of the request and its idempotency key that it reports to the caller.
 */
struct FinishCall
{
    std::string callId;
    Outcome outcome;
};

/** Respond with the stored response of an earlier call with the same idempotency key. */
struct AnswerFromRecord
{
    std::string callId;
    std::string recordedCallId;
    KeyState state;
};

/** Respond with the response that another agent stores for an earlier call with the same idempotency key. */
struct AnswerFromPeer
{
    std::string callId;
    std::string endpoint;
    std::string key;
    KeyState state;
};

/** Collect the evidence about an idempotency key from the other agents and the store. */
struct GatherEvidence
{
    std::string callId;
    IdempotencyKey key;
};

/** Create the claim of an idempotency key in the store unless another agent has claimed it. */
struct ClaimKey
{
    std::string callId;
    IdempotencyKey key;
};

/** Send the record of an idempotency key to the agent that requested it. */
struct AnswerKeyQuery
{
    std::uint64_t queryId = 0;
    std::optional<KeyRecord> record;
};

struct WriteJournal
{
    JournalWrite write;
};

/** Order the engine to load exactly these models. */
struct SendOrder
{
    EngineOrder order;
};

/** All calls are finished; exit the process. */
struct StopProcess
{
};

using AgentAction = std::variant<StartRun, PreemptRun, CancelRun, FinishCall, AnswerFromRecord, AnswerFromPeer,
    GatherEvidence, ClaimKey, AnswerKeyQuery, WriteJournal, SendOrder, StopProcess>;

}
