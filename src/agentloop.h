/** \file
 * Runs AgentCore in a thread of its own: passes it events from a bounded ring and performs the actions that it returns.
 */
#pragma once

#include "agentcore.h"
#include "boundedring.h"
#include "service.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Poco
{
class ThreadPool;
}

namespace Cyclamenturn
{

class AgentCalls;
class ConfigurationService;
class EvidenceCollector;
class JournalWriter;
class Metrics;

/** Event loop of an agent. The functions for events may be called from any thread. */
class AgentLoop : public Service
{
public:
    /** Receives the record of an idempotency key, or nothing if the agent has none. */
    using KeyQueryCallback = std::function<void(const std::optional<KeyRecord> &)>;

    AgentLoop(const Settings &settings, AgentIdentity identity, std::shared_ptr<AgentCalls> calls,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<JournalWriter> journal,
        std::shared_ptr<EvidenceCollector> evidence, std::shared_ptr<Metrics> metrics);
    ~AgentLoop() override;

    void start() override;
    void stop() override;

    /** Passes a new call to the core. Returns false if the ring is full. */
    bool offer(const CallOffered &event);
    /**
     * Passes an event to the core. Waits while the ring is full, since an event that has already happened cannot be
     * refused.
     */
    void report(AgentEvent event);
    /**
     * Looks up an idempotency key. `callback` is called in the thread of the core.
     * \returns false if the ring is full; `callback` is then not called
     */
    bool queryKey(const std::string &key, TimePoint issuedAt, KeyQueryCallback callback);

    /** Returns the agent's status after the last event, with a new sequence number. */
    AgentStatus statusReport();
    /** True if the agent accepts new calls; see AgentCore::isReady(). */
    bool isReady() const;
    /** True once all calls are finished after a LeaveRequested event. */
    bool isStopped() const
    {
        return m_stopped;
    }
    const AgentIdentity &identity() const
    {
        return m_identity;
    }

private:
    void processEvents();
    /** Removes expired calls, cancels those without a reader, and updates the metrics. */
    void sweep(TimePoint now);
    void perform(const StartRun &action);
    void perform(const PreemptRun &action);
    void perform(const CancelRun &action);
    void perform(const FinishCall &action);
    void perform(const AnswerFromRecord &action);
    void perform(const AnswerFromPeer &action);
    void perform(const GatherEvidence &action);
    void perform(const ClaimKey &action);
    void perform(const AnswerKeyQuery &action);
    void perform(const WriteJournal &action);
    void perform(const SendOrder &action);
    void perform(const StopProcess &action);
    /** Ends the response of a call, and logs and counts the outcome. */
    void finishCall(const std::string &callId, const Outcome &outcome);
    /** Stops the run of a call, if any, in a worker thread, since this may wait for the endpoint. */
    void stopRun(const std::string &callId, bool preempt);
    void startWorker(std::function<void()> task);

    Settings m_settings;
    AgentIdentity m_identity;
    std::shared_ptr<AgentCalls> m_calls;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<JournalWriter> m_journal;
    std::shared_ptr<EvidenceCollector> m_evidence;
    std::shared_ptr<Metrics> m_metrics;
    /** Used by the thread of the core only. */
    AgentCore m_core;
    BoundedRing<AgentEvent> m_events;
    std::unique_ptr<Poco::ThreadPool> m_workers;
    std::mutex m_mutex;
    /** Protected by m_mutex, as are the next three members. */
    AgentStatus m_status;
    std::unordered_map<std::uint64_t, KeyQueryCallback> m_keyQueryCallbacks;
    std::uint64_t m_lastQueryId = 0;
    std::uint64_t m_statusSequence = 0;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_stopped{false};
    TimePoint m_lastSweep;
    std::thread m_thread;
};

}
