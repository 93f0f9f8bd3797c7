/** \file
 * The event loop of an agent and the actions of AgentCore.
 */
#include "agentloop.h"

#include "agentcalls.h"
#include "clock.h"
#include "configurationservice.h"
#include "errors.h"
#include "eventlog.h"
#include "evidencecollector.h"
#include "journalwriter.h"
#include "metrics.h"
#include "pooltask.h"

#include <Poco/ThreadPool.h>

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t RING_SIZE = 8192;
constexpr Duration SWEEP_INTERVAL = milliseconds(500);
constexpr int MAX_WORKERS = 4200;
constexpr std::size_t WORKER_STACK_BYTES = 256 << 10;

}

AgentLoop::AgentLoop(const Settings &settings, AgentIdentity identity, std::shared_ptr<AgentCalls> calls,
    std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<JournalWriter> journal,
    std::shared_ptr<EvidenceCollector> evidence, std::shared_ptr<Metrics> metrics)
    : m_settings(settings)
    , m_identity(std::move(identity))
    , m_calls(std::move(calls))
    , m_configuration(std::move(configuration))
    , m_journal(std::move(journal))
    , m_evidence(std::move(evidence))
    , m_metrics(std::move(metrics))
    , m_core(m_identity, settings.agentPolicy)
    , m_events(RING_SIZE)
    , m_workers(std::make_unique<Poco::ThreadPool>("run", 2, MAX_WORKERS, 60, WORKER_STACK_BYTES))
{
}

AgentLoop::~AgentLoop() = default;

void AgentLoop::start()
{
    m_journal->setResultCallback([this](JournalWritten event) { report(event); });
    m_evidence->setResultCallback([this](AgentEvent event) { report(std::move(event)); });
    m_configuration->subscribe(
        [this](FleetConfigurationPtr configuration) { report(ConfigurationApplied{std::move(configuration)}); });
    m_thread = std::thread([this] { processEvents(); });
}

void AgentLoop::stop()
{
    m_events.close();
    m_thread.join();
    m_workers->joinAll();
}

bool AgentLoop::offer(const CallOffered &event)
{
    return m_events.tryPush(event);
}

void AgentLoop::report(AgentEvent event)
{
    m_events.pushBlocking(std::move(event));
}

bool AgentLoop::queryKey(const std::string &key, TimePoint issuedAt, KeyQueryCallback callback)
{
    KeyQueried event{0, key, issuedAt};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        event.queryId = ++m_lastQueryId;
        m_keyQueryCallbacks.emplace(event.queryId, std::move(callback));
    }
    if (m_events.tryPush(event)) {
        return true;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_keyQueryCallbacks.erase(event.queryId);
    return false;
}

AgentStatus AgentLoop::statusReport()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    AgentStatus out = m_status;
    out.sequence = ++m_statusSequence;
    return out;
}

bool AgentLoop::isReady() const
{
    return m_ready;
}

void AgentLoop::processEvents()
{
    while (!m_events.isClosed()) {
        const auto event = m_events.pop(AgentCore::TICK_INTERVAL);
        const TimePoint now = currentTime();
        const auto actions = m_core.handle(event ? *event : AgentEvent(Tick()), now);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_status = m_core.status(now);
        }
        m_ready = m_core.isReady();
        for (const auto &action : actions) {
            std::visit([this](const auto &item) { perform(item); }, action);
        }
        if (now - m_lastSweep >= SWEEP_INTERVAL) {
            sweep(now);
        }
    }
}

void AgentLoop::sweep(TimePoint now)
{
    m_lastSweep = now;
    const auto configuration = m_configuration->current();
    const Duration keyRetention = configuration ? configuration->limits().keyRetention : AgentCalls::RESPONSE_RETENTION;
    for (const auto &callId : m_calls->sweep(now, keyRetention)) {
        (void)m_events.tryPush(CallCancelled{callId});
    }
    m_metrics->set("cyclamenturn_agent_running", {}, m_status.running);
    m_metrics->set("cyclamenturn_agent_queued", {}, m_status.queued);
    m_metrics->set("cyclamenturn_agent_preemptions", {}, static_cast<double>(m_core.preemptions()));
    m_metrics->set("cyclamenturn_journal_writes", {}, static_cast<double>(m_core.journalWrites()));
}

void AgentLoop::startWorker(std::function<void()> task)
{
    startTask(*m_workers, std::move(task));
}

void AgentLoop::perform(const StartRun &action)
{
    const RunRequest request = m_calls->request(action.callId);
    const auto response = m_calls->response(action.callId);
    auto runner = std::make_shared<EndpointRunner>(m_settings.endpointAddress, request, response);
    m_calls->setRunner(action.callId, runner);
    startWorker([this, runner, action] {
        RunEnd end = RunEnd::EndpointErrored;
        try {
            end = runner->run(action.startBefore);
        } catch (const std::exception &error) {
            LogEvent("run_failed", LogEvent::Level::Error).field("call", action.callId).field("error", error.what());
        }
        report(RunEnded{action.callId, end});
    });
}

void AgentLoop::perform(const PreemptRun &action)
{
    m_metrics->count("cyclamenturn_preemptions_total");
    stopRun(action.callId, true);
}

void AgentLoop::perform(const CancelRun &action)
{
    stopRun(action.callId, false);
}

void AgentLoop::stopRun(const std::string &callId, bool preempt)
{
    if (const auto runner = m_calls->runner(callId)) {
        const StopReason reason = preempt ? StopReason::Preempt : StopReason::Cancel;
        startWorker([runner, reason] { runner->stop(reason); });
    }
}

void AgentLoop::finishCall(const std::string &callId, const Outcome &outcome)
{
    const auto response = m_calls->response(callId);
    if (!response) {
        return;
    }
    m_calls->release(callId);
    response->finish(outcome, currentTime());
    const Call call = m_calls->request(callId).call;
    m_metrics->count("cyclamenturn_agent_calls_total",
        {{"class", call.className}, {"outcome", toString(outcome.kind())}, {"reason", toString(outcome.reason())}});
    LogEvent("agent_call_finished")
        .field("call", callId)
        .field("class", call.className)
        .field("team", call.team)
        .field("endpoint", m_identity.endpoint)
        .field("outcome", toString(outcome.kind()))
        .field("reason", toString(outcome.reason()));
}

void AgentLoop::perform(const FinishCall &action)
{
    finishCall(action.callId, action.outcome);
}

void AgentLoop::perform(const AnswerFromRecord &action)
{
    if (action.state != KeyState::Ended) {
        finishCall(action.callId, Outcome::inProgress());
        return;
    }
    const auto response = m_calls->response(action.callId);
    const auto recordedResponse = m_calls->response(action.recordedCallId);
    if (response && recordedResponse && recordedResponse->head()) {
        response->setHead(*recordedResponse->head());
        response->append(recordedResponse->joinedPieces());
    }
    finishCall(action.callId, Outcome::alreadyRun());
}

void AgentLoop::perform(const AnswerFromPeer &action)
{
    const auto peerResponse = m_evidence->takePeerResponse(action.callId);
    if (action.state == KeyState::OutcomeUnknown) {
        finishCall(action.callId, Outcome::unknown(RefusalReason::KeySeen));
        return;
    }
    if (action.state != KeyState::Ended) {
        finishCall(action.callId, Outcome::inProgress());
        return;
    }
    const auto response = m_calls->response(action.callId);
    if (peerResponse && response) {
        response->setHead(peerResponse->head);
        response->append(peerResponse->body);
    }
    finishCall(action.callId, Outcome::alreadyRun());
}

void AgentLoop::perform(const GatherEvidence &action)
{
    if (!m_evidence->submit(action)) {
        // Empty evidence proves nothing, so the core ends the call with the outcome "unknown".
        startWorker([this, action] { report(EvidenceGathered{action.callId, ResendEvidence()}); });
    }
}

void AgentLoop::perform(const ClaimKey &action)
{
    if (!m_evidence->submit(action)) {
        startWorker([this, action] { report(KeyClaimed{action.callId, ClaimResult::Unclear}); });
    }
}

void AgentLoop::perform(const AnswerKeyQuery &action)
{
    KeyQueryCallback callback;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_keyQueryCallbacks.find(action.queryId);
        if (it == m_keyQueryCallbacks.end()) {
            return;
        }
        callback = std::move(it->second);
        m_keyQueryCallbacks.erase(it);
    }
    callback(action.record);
}

void AgentLoop::perform(const WriteJournal &action)
{
    if (!m_journal->submit(action.write)) {
        startWorker([this] { report(JournalWritten{JournalResult::Failed}); });
    }
}

void AgentLoop::perform(const SendOrder &action)
{
    startWorker([this, order = action.order] {
        const OrderResult result = sendEngineOrder(m_settings.endpointAddress, order);
        LogEvent("engine_ordered")
            .field("endpoint", m_identity.endpoint)
            .field("fence", static_cast<long long>(order.fence))
            .field("result", result == OrderResult::Done ? "done" : "refused_or_failed");
        report(OrderEnded{result});
    });
}

void AgentLoop::perform(const StopProcess &)
{
    LogEvent("agent_drained").field("endpoint", m_identity.endpoint);
    m_stopped = true;
}

}
