/** \file
 * The scheduling state machine of an agent. It decides which calls run on the agent's endpoint, in which order, and
 * with which outcome each call ends. All calls to an endpoint pass through its agent.
 */
#pragma once

#include "agentevents.h"
#include "callqueue.h"
#include "crashquarantine.h"
#include "keytable.h"
#include "latencyestimate.h"
#include "modelplacement.h"
#include "runjournal.h"
#include "teamlimits.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

/** Identity of an agent process. */
struct AgentIdentity
{
    std::string service;
    std::string endpoint;
    std::string vm;
    /** Start time of the process in microseconds since the epoch. */
    std::uint64_t incarnation = 0;
};

/** Scheduling features. The defaults are the normal policy; measurements switch features off to get a baseline. */
struct AgentPolicy
{
    QueueOrder order = QueueOrder::TieredDeadline;
    bool preempts = true;
    bool refusesEarly = true;
    bool keepsHeadroom = true;
    bool quarantines = true;
};

/**
 * A deterministic state machine that turns an event and the current time into actions.
 *
 * Example:
 *     AgentCore core(identity, policy);
 *     for (const AgentAction &action : core.handle(CallOffered{call, 0}, now)) { ... }
 *
 * Invariants: the number of running calls exceeds the slots by at most the number of calls being preempted; an
 * idempotency key runs at most once in the lifetime of the object.
 */
class AgentCore
{
public:
    /** A Tick event is sent when no other event has occurred for this time. */
    static constexpr Duration TICK_INTERVAL = milliseconds(20);
    /** After a longer gap between two events the process may have been paused and replaced by a successor. */
    static constexpr Duration PAUSE_LIMIT = milliseconds(2000);

    /**
     * Maximum time since the last response of the store. After it, the agent refuses first attempts from an entry that
     * can reach the store, because a successor may have replaced this agent. It must be longer than an entry takes to
     * detect a store outage, so that agents continue to accept first attempts during an outage.
     */
    static constexpr Duration STORE_CONTACT_TIMEOUT = milliseconds(30000);
    /** Time after which a predecessor on another VM counts as terminated once its journal has been sealed. */
    static constexpr Duration SEAL_GRACE = milliseconds(60000);

    AgentCore(AgentIdentity identity, AgentPolicy policy);

    /** Processes one event and returns the actions to perform. Throws InternalError on an impossible event. */
    std::vector<AgentAction> handle(const AgentEvent &event, TimePoint now);

    /** Returns a status report with a new sequence number. */
    AgentStatus status(TimePoint now);
    const AgentIdentity &identity() const
    {
        return m_identity;
    }
    /** True while the agent refuses new calls and finishes those it has accepted. */
    bool isLeaving() const;
    bool isReady() const
    {
        return m_configuration != nullptr && !isLeaving();
    }
    std::uint64_t revision() const
    {
        return m_configuration ? m_configuration->revision() : 0;
    }
    std::uint64_t journalWrites() const
    {
        return m_journal ? m_journal->writes() : 0;
    }
    std::uint64_t preemptions() const
    {
        return m_preemptions;
    }

private:
    struct RunningCall
    {
        Call call;
        TimePoint startedAt;
        /** Time spent in runs of the same call that were preempted. */
        Duration earlierRunTime{};
        /** True from the PreemptRun action to the end of the run. */
        bool preempting = false;
    };
    using Actions = std::vector<AgentAction>;

    void onEvent(const CallOffered &event, TimePoint now, Actions &actions);
    void onEvent(const CallCancelled &event, TimePoint now, Actions &actions);
    void onEvent(const RunEnded &event, TimePoint now, Actions &actions);
    void onEvent(const KeyQueried &event, TimePoint now, Actions &actions);
    void onEvent(const EvidenceGathered &event, TimePoint now, Actions &actions);
    void onEvent(const KeyClaimed &event, TimePoint now, Actions &actions);
    void onEvent(const JournalWritten &event, TimePoint now, Actions &actions);
    void onEvent(const OrderEnded &event, TimePoint now, Actions &actions);
    void onEvent(const ConfigurationApplied &event, TimePoint now, Actions &actions);
    void onEvent(const LeaveRequested &event, TimePoint now, Actions &actions);
    void onEvent(const Tick &event, TimePoint now, Actions &actions);

    void handleKeyedCall(const CallOffered &offer, TimePoint now, Actions &actions);
    void handleFirstAttempt(const CallOffered &offer, TimePoint now, Actions &actions);
    void handleResend(const Call &call, TimePoint now, Actions &actions);
    /** Finishes the call if the record of its key prevents a run. Returns whether it did. */
    bool answerKnownKey(const Call &call, Actions &actions);
    /** Returns why the call cannot be accepted now, or nothing if it can. */
    std::optional<RefusalReason> refusalReasonFor(const Call &call, TimePoint now) const;
    /** Displaces a waiting call if the queue is full. Returns false if no call may be displaced. */
    bool ensureQueueSpace(const Call &call, Actions &actions);
    void enqueue(const Call &call);
    void dropQueued(const Call &call, const Outcome &outcome, Actions &actions);
    void finishResend(const std::string &callId, const Outcome &outcome, Actions &actions);

    void startWaitingCalls(TimePoint now, Actions &actions);
    bool startNext(TimePoint now, Actions &actions);
    void startRun(const Call &call, TimePoint now, Actions &actions);
    void preemptForWaitingCall(TimePoint now, Actions &actions);
    /** The tier for preemption: LATE_TIER for a sheddable call whose deadline has passed. */
    int effectiveTier(const RunningCall &running, TimePoint now) const;
    bool canMeetDeadline(const Call &call, Duration wait, TimePoint now) const;
    Duration expectedWait(const Call &call) const;
    int headroomSlots() const;

    /** After a pause of the process, requires a journal write before first attempts are accepted again. */
    void detectPause(TimePoint now);
    /** Refuses waiting sheddable calls that have not started and can no longer meet their deadline. */
    void refuseUnreachable(TimePoint now, Actions &actions);
    void writeJournal(TimePoint now, Actions &actions);
    void placeModels(TimePoint now);
    void finishLeaving(TimePoint now, Actions &actions);
    void finishRun(const RunningCall &running, RunEnd end, TimePoint now, Actions &actions);

    AgentIdentity m_identity;
    AgentPolicy m_policy;
    FleetConfigurationPtr m_configuration;
    const EndpointSpec *m_endpoint = nullptr;
    /** The highest tier of the service's classes. The headroom slots are reserved for it. */
    int m_topTier = 0;
    bool m_hasMultipleTiers = false;

    CallQueue m_queue;
    TeamLimits m_teamLimits;
    std::unordered_map<std::string, RunningCall> m_running;
    /** Time spent so far in the preempted runs of each call that waits to resume. */
    std::unordered_map<std::string, Duration> m_earlierRunTime;
    /** Resends that wait for evidence or for the result of their claim, by call id. */
    std::unordered_map<std::string, Call> m_resends;
    /** Ids of the calls for whose key this incarnation holds a claim in the store. */
    std::unordered_map<std::string, bool> m_claimedCalls;
    KeyTable m_keys;
    std::optional<RunJournal> m_journal;
    CrashQuarantine m_quarantine;
    ModelPlacement m_placement;
    std::map<std::string, LatencyEstimate> m_runTimes;
    LatencyEstimate m_allRunTimes;

    bool m_leaveRequested = false;
    std::optional<TimePoint> m_emptySince;
    bool m_stopSent = false;
    /** False from the detection of a pause until the store confirms that no successor has replaced this process. */
    bool m_validated = true;
    std::optional<TimePoint> m_lastEvent;
    TimePoint m_lastStoreContact;
    /** Time until which the endpoint counts as down after a refused connection or a crash. */
    std::optional<TimePoint> m_endpointDownUntil;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_preemptions = 0;
};

}
