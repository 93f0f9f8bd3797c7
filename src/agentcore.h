/** \file
 * The decisions of one agent: what its endpoint works on, in which order, and what each call is told. It is the only
 * door to its endpoint.
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

/** Who an agent is. */
struct AgentIdentity
{
    std::string service;
    std::string endpoint;
    std::string vm;
    /** The time of the start in microseconds. */
    std::uint64_t incarnation = 0;
};

/** Switches between our policy and the baselines that measurements compare it with. */
struct AgentPolicy
{
    QueueOrder order = QueueOrder::TieredDeadline;
    bool preempts = true;
    bool refusesEarly = true;
    bool keepsHeadroom = true;
    bool quarantines = true;
};

/**
 * A deterministic state machine: an event and the present time give actions.
 *
 * Example:
 *     AgentCore core(identity, policy);
 *     for (const AgentAction &action : core.handle(CallOffered{call, 0}, now)) { ... }
 *
 * Invariants: running calls never exceed the slots by more than the calls being preempted; a key runs at most once in
 * the life of the core.
 */
class AgentCore
{
public:
    /** The largest time between two Tick events of a process that wasn't paused. */
    static constexpr Duration TICK_INTERVAL = milliseconds(20);
    /** A longer time between two events means that the process was paused and may have been replaced. */
    static constexpr Duration PAUSE_LIMIT = milliseconds(2000);

    /**
     * An agent that the store hasn't answered for longer takes no first attempt from an entry that the store answers: a
     * successor may have taken over. Longer than an entry takes to notice an outage.
     */
    static constexpr Duration STORE_CONTACT_TIMEOUT = milliseconds(30000);
    /** How long after sealing a predecessor on another VM its successor counts it as gone. */
    static constexpr Duration SEAL_GRACE = milliseconds(60000);

    AgentCore(AgentIdentity identity, AgentPolicy policy);

    std::vector<AgentAction> handle(const AgentEvent &event, TimePoint now);

    AgentStatus status(TimePoint now);
    const AgentIdentity &identity() const
    {
        return m_identity;
    }
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
        /** Time spent in earlier runs of the same call. */
        Duration earlierRunTime{};
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

    void offerKeyed(const CallOffered &offer, TimePoint now, Actions &actions);
    void offerFirstAttempt(const CallOffered &offer, TimePoint now, Actions &actions);
    void offerResend(const Call &call, TimePoint now, Actions &actions);
    bool answerKnownKey(const Call &call, Actions &actions);
    std::optional<RefusalReason> refusalOf(const Call &call, TimePoint now) const;
    bool ensureQueueSpace(const Call &call, Actions &actions);
    void enqueue(const Call &call);
    void dropQueued(const Call &call, const Outcome &outcome, Actions &actions);
    void finishResend(const std::string &callId, const Outcome &outcome, Actions &actions);

    void startWaitingCalls(TimePoint now, Actions &actions);
    bool startNext(TimePoint now, Actions &actions);
    void startRun(const Call &call, TimePoint now, Actions &actions);
    void preemptForWaiting(TimePoint now, Actions &actions);
    int effectiveTier(const RunningCall &running, TimePoint now) const;
    bool canMeetDeadline(const Call &call, Duration wait, TimePoint now) const;
    Duration expectedWait(const Call &call) const;
    int headroomSlots() const;

    void detectPause(TimePoint now);
    void refuseUnreachable(TimePoint now, Actions &actions);
    void writeJournal(TimePoint now, Actions &actions);
    void placeModels(TimePoint now);
    void finishLeaving(TimePoint now, Actions &actions);
    void finishRun(const RunningCall &running, RunEnd end, TimePoint now, Actions &actions);

    AgentIdentity m_identity;
    AgentPolicy m_policy;
    FleetConfigurationPtr m_configuration;
    const EndpointSpec *m_endpoint = nullptr;
    /** The highest tier of the service's classes; the headroom is kept for it. */
    int m_topTier = 0;
    bool m_hasMultipleTiers = false;

    CallQueue m_queue;
    TeamLimits m_teams;
    std::unordered_map<std::string, RunningCall> m_running;
    std::unordered_map<std::string, Duration> m_earlierRunTime;
    /** Resends that wait for evidence or for their claim. */
    std::unordered_map<std::string, Call> m_resends;
    /** Calls whose key the store holds a claim for in this incarnation's name. */
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
    /** False after a pause, until the store confirms that no successor has taken over. */
    bool m_validated = true;
    std::optional<TimePoint> m_lastEvent;
    TimePoint m_lastStoreContact;
    /** Until then the endpoint is taken as down after a refused connection. */
    std::optional<TimePoint> m_endpointDownUntil;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_preemptions = 0;
};

}
