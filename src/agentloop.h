/** \file
 * The thread of the agent core: events come in over a bounded ring, actions are carried out.
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

class AgentLoop : public Service
{
public:
    /** What an agent answers when asked for a key. */
    using KeyReply = std::function<void(const std::optional<KeyRecord> &)>;

    AgentLoop(const Settings &settings, AgentIdentity identity, std::shared_ptr<AgentCalls> calls,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<JournalWriter> journal,
        std::shared_ptr<EvidenceCollector> evidence, std::shared_ptr<Metrics> metrics);
    ~AgentLoop() override;

    void start() override;
    void stop() override;

    /** Returns false when the ring is full. */
    bool offer(const CallOffered &event);
    /** For events that report what has happened already; waits for room. */
    void report(AgentEvent event);
    /** Asks the core about a key; `reply` is called in the core's thread. */
    bool queryKey(const std::string &key, TimePoint issuedAt, KeyReply reply);

    /** The figures as of the last event. */
    AgentStatus figures();
    bool isReady() const;
    bool isStopped() const
    {
        return m_stopped;
    }
    const AgentIdentity &identity() const
    {
        return m_identity;
    }

private:
    void work();
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
    void finish(const std::string &callId, const Outcome &outcome);
    void stopRun(const std::string &callId, bool preempt);
    void startWorker(std::function<void()> task);

    Settings m_settings;
    AgentIdentity m_identity;
    std::shared_ptr<AgentCalls> m_calls;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<JournalWriter> m_journal;
    std::shared_ptr<EvidenceCollector> m_evidence;
    std::shared_ptr<Metrics> m_metrics;
    /** Used by the core's thread only, but for figures(). */
    AgentCore m_core;
    BoundedRing<AgentEvent> m_events;
    std::unique_ptr<Poco::ThreadPool> m_workers;
    std::mutex m_mutex;
    AgentStatus m_figures;
    std::unordered_map<std::uint64_t, KeyReply> m_keyReplies;
    std::uint64_t m_nextQuery = 0;
    std::uint64_t m_figuresSequence = 0;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_stopped{false};
    TimePoint m_lastSweep;
    std::thread m_thread;
};

}
