/** \file
 * What the agent core takes in and gives out: closed sets of events and actions.
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

/** An entry hands over a call. */
struct CallOffered
{
    Call call;
    /** The incarnation that the entry means; 0 when it knows none yet. */
    std::uint64_t incarnation = 0;
    /** Whether the entry has heard from the store lately; an agent that hasn't is then cut off by itself. */
    bool storeReachableFromEntry = false;
    /** Crashes that the call's fingerprint was part of, as far as the entry knows. */
    int crashes = 0;
};

/** The caller of an idempotent call has gone, or its entry has moved it elsewhere. */
struct CallCancelled
{
    std::string callId;
};

/** How a run at the endpoint ended. */
enum class RunEnd {
    Completed,
    /** Stopped on our order; what was generated is kept. */
    Preempted,
    /** No byte reached the endpoint. */
    NeverStarted,
    /** The time in which a first attempt may start was over before a byte was sent. */
    Expired,
    /** The connection broke or went silent after the call was sent. */
    EndpointCrashed,
    /** The endpoint answered with an error of its own for this call alone. */
    EndpointErrored,
    /** Stopped because nobody wants the answer any more. */
    Cancelled,
};

struct RunEnded
{
    std::string callId;
    RunEnd end = RunEnd::Completed;
};

/** Another agent asks what is known of a key. */
struct KeyQueried
{
    std::uint64_t queryId = 0;
    std::string key;
    TimePoint issuedAt;
};

struct EvidenceGathered
{
    std::string callId;
    ResendEvidence evidence;
};

enum class ClaimResult {
    Claimed,
    ClaimedByOther,
    /** The store didn't answer; the claim may or may not have taken effect. */
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
    /** A successor has sealed this incarnation's journal. */
    Fenced,
};

struct JournalWritten
{
    JournalResult result = JournalResult::Failed;
};

/** The engine has answered an order, or hasn't. */
struct OrderEnded
{
    OrderResult result = OrderResult::Failed;
};

struct ConfigurationApplied
{
    FleetConfigurationPtr configuration;
};

/** The process was asked to stop, or the VM list says that its VM is leaving. */
struct LeaveRequested
{
};

/** Time has passed. Comes at least every AgentCore::TICK_INTERVAL. */
struct Tick
{
};

using AgentEvent = std::variant<CallOffered, CallCancelled, RunEnded, KeyQueried, EvidenceGathered, KeyClaimed,
    JournalWritten, OrderEnded, ConfigurationApplied, LeaveRequested, Tick>;

/** Send the call to the endpoint, from the token that its answer has reached. */
struct StartRun
{
    std::string callId;
    /** When set: don't send the first byte at or after this time. */
    std::optional<TimePoint> startBefore;
};

struct PreemptRun
{
    std::string callId;
};

/** The run isn't wanted any more; nothing of it is kept. */
struct CancelRun
{
    std::string callId;
};

/**
 * The call ends at this agent. NotRun speaks of this attempt at this agent; the entry draws from it what the caller may
 * be told of the request and its key.
 */
struct FinishCall
{
    std::string callId;
    Outcome outcome;
};

/** Answer with what is kept of an earlier call under the same key. */
struct AnswerFromRecord
{
    std::string callId;
    std::string recordedCallId;
    KeyState state;
};

/** Answer with what another agent keeps of an earlier call under the same key. */
struct AnswerFromPeer
{
    std::string callId;
    std::string endpoint;
    std::string key;
    KeyState state;
};

/** Ask the other agents and the store about a key. */
struct GatherEvidence
{
    std::string callId;
    IdempotencyKey key;
};

/** Create the claim of a key in the store, unless another has. */
struct ClaimKey
{
    std::string callId;
    IdempotencyKey key;
};

struct AnswerKeyQuery
{
    std::uint64_t queryId = 0;
    std::optional<KeyRecord> record;
};

struct WriteJournal
{
    JournalWrite write;
};

/** Order the engine to hold these models and no others. */
struct SendOrder
{
    EngineOrder order;
};

/** Everything is finished and the process may exit. */
struct StopProcess
{
};

using AgentAction = std::variant<StartRun, PreemptRun, CancelRun, FinishCall, AnswerFromRecord, AnswerFromPeer,
    GatherEvidence, ClaimKey, AnswerKeyQuery, WriteJournal, SendOrder, StopProcess>;

}
