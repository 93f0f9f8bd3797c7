/** \file
 * Event handlers of the agent's state machine.
 */
#include "agentcore.h"

#include "errors.h"
#include "rendezvoushash.h"

#include <algorithm>
#include <cmath>

namespace Cyclamenturn
{

namespace
{

/** Time for which the endpoint counts as down after a refused connection or a crash, until the next attempt. */
constexpr Duration ENDPOINT_RETRY_INTERVAL = milliseconds(500);
/** Maximum number of resends that wait at the same time for evidence or for the result of their claim. */
constexpr std::size_t MAX_PENDING_RESENDS = 256;
/** Maximum time for which a stopping agent waits until the store has accepted its closing journal write. */
constexpr Duration CLOSE_TIMEOUT = milliseconds(5000);
/** Maximum number of crashes listed in one status report. */
constexpr std::size_t MAX_REPORTED_CRASHES = 32;
/** Retry delay suggested to the caller when there is no estimate of the wait. */
constexpr Duration DEFAULT_RETRY_AFTER = milliseconds(200);

}

AgentCore::AgentCore(AgentIdentity identity, AgentPolicy policy)
    : m_identity(std::move(identity))
    , m_policy(policy)
    , m_queue(policy.order)
    , m_placement(m_identity.incarnation)
{
}

std::vector<AgentAction> AgentCore::handle(const AgentEvent &event, TimePoint now)
{
    Actions actions;
    detectPause(now);
    std::visit([&](const auto &item) { onEvent(item, now, actions); }, event);
    startWaitingCalls(now, actions);
    writeJournal(now, actions);
    finishLeaving(now, actions);
    return actions;
}

bool AgentCore::isLeaving() const
{
    return m_leaveRequested || (m_endpoint != nullptr && m_endpoint->draining);
}

void AgentCore::detectPause(TimePoint now)
{
    const bool paused = m_lastEvent && now - *m_lastEvent > PAUSE_LIMIT;
    if (paused && m_journal) {
        m_validated = false;
        m_journal->requestWrite();
    }
    m_lastEvent = now;
}

void AgentCore::onEvent(const ConfigurationApplied &event, TimePoint now, Actions &)
{
    if (m_configuration && event.configuration->revision() <= m_configuration->revision()) {
        return;
    }
    m_configuration = event.configuration;
    m_endpoint = m_configuration->findEndpoint(m_identity.endpoint);
    const FleetLimits &limits = m_configuration->limits();
    m_queue.setLimits(limits.queueLimit, limits.leastShare);
    m_teamLimits.setLimits(limits.teamShare, m_endpoint ? m_endpoint->slots : 1);

    int lowest = -1;
    m_topTier = CallQueue::LATE_TIER;
    for (const auto &[name, serviceClass] : m_configuration->classes()) {
        if (serviceClass.service == m_identity.service) {
            m_topTier = std::min(m_topTier, serviceClass.tier);
            lowest = std::max(lowest, serviceClass.tier);
        }
    }
    m_hasMultipleTiers = lowest > m_topTier;
    if (!m_journal && m_configuration->needsJournal(m_identity.service)) {
        JournalHead head;
        head.service = m_identity.service;
        head.endpoint = m_identity.endpoint;
        head.vm = m_identity.vm;
        head.incarnation = m_identity.incarnation;
        head.watermark = now;
        m_journal.emplace(head);
        m_lastStoreContact = now;
    }
    if (m_journal) {
        m_journal->setIntervals(limits.journalInterval, limits.idleMarkInterval, limits.keyRetention);
    }
    placeModels(now);
}

void AgentCore::placeModels(TimePoint now)
{
    if (!m_endpoint) {
        return;
    }
    const auto &peers = m_configuration->endpointsOf(m_identity.service);
    const auto isSelf = [this](const EndpointSpec &endpoint) {
        return endpoint.name == m_identity.endpoint;
    };
    const auto position = std::distance(peers.begin(), std::find_if(peers.begin(), peers.end(), isSelf));
    const Duration startDelay
        = placementDelay(static_cast<std::size_t>(position), m_configuration->limits().weightLoadsPerSecond);
    m_placement.setDesiredModels(m_endpoint->models, revision(), startDelay, now);
}

void AgentCore::onEvent(const CallOffered &event, TimePoint now, Actions &actions)
{
    const Call &call = event.call;
    for (const CrashReport &report : event.crashes) {
        m_quarantine.merge(report, now);
    }
    if (event.incarnation != 0 && event.incarnation != m_identity.incarnation) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::WrongIncarnation)});
        return;
    }
    if (!m_configuration || !m_endpoint) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::NoConfiguration, DEFAULT_RETRY_AFTER)});
        return;
    }
    if (call.key) {
        handleKeyedCall(event, now, actions);
        return;
    }
    if (const auto reason = refusalReasonFor(call, now)) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(*reason, expectedWait(call) + DEFAULT_RETRY_AFTER)});
        return;
    }
    if (!ensureQueueSpace(call, actions)) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::QueueFull, expectedWait(call))});
        return;
    }
    enqueue(call);
}

void AgentCore::handleKeyedCall(const CallOffered &offer, TimePoint now, Actions &actions)
{
    const Call &call = offer.call;
    if (answerKnownKey(call, actions)) {
        return;
    }
    if (call.key->firstAttempt) {
        handleFirstAttempt(offer, now, actions);
    } else {
        handleResend(call, now, actions);
    }
}

bool AgentCore::answerKnownKey(const Call &call, Actions &actions)
{
    const auto record = m_keys.find(call.key->value);
    if (!record) {
        return false;
    }
    if (record->state == KeyState::Tombstone) {
        const bool blockedByTombstone = call.key->firstAttempt && call.key->issuedAt <= record->issuedAt;
        if (blockedByTombstone) {
            actions.push_back(FinishCall{call.id, Outcome::unknown(RefusalReason::KeySeen)});
        }
        return blockedByTombstone;
    }
    if (record->state == KeyState::OutcomeUnknown) {
        actions.push_back(FinishCall{call.id, Outcome::unknown(RefusalReason::KeySeen)});
        return true;
    }
    actions.push_back(AnswerFromRecord{call.id, record->callId, record->state});
    return true;
}

void AgentCore::handleFirstAttempt(const CallOffered &offer, TimePoint now, Actions &actions)
{
    const Call &call = offer.call;
    const FleetLimits &limits = m_configuration->limits();
    if (call.key->issuedAt > now + limits.clockMargin) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::IssueTimeInFuture)});
        return;
    }
    if (now >= call.key->issuedAt + limits.firstAttemptWindow) {
        actions.push_back(
            FinishCall{call.id, Outcome::unknown(RefusalReason::FirstAttemptExpired, DEFAULT_RETRY_AFTER)});
        return;
    }
    const bool isolatedFromStore = offer.storeReachableFromEntry && now - m_lastStoreContact > STORE_CONTACT_TIMEOUT;
    if (!m_validated || isolatedFromStore) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::NotValidated, DEFAULT_RETRY_AFTER)});
        return;
    }
    if (const auto reason = refusalReasonFor(call, now)) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(*reason, DEFAULT_RETRY_AFTER)});
        return;
    }
    if (!ensureQueueSpace(call, actions)) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::QueueFull, expectedWait(call))});
        return;
    }
    m_keys.setWaiting(call.key->value, KeyState::Queued, call.id, call.key->issuedAt);
    enqueue(call);
}

void AgentCore::handleResend(const Call &call, TimePoint now, Actions &actions)
{
    if (const auto reason = refusalReasonFor(call, now)) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(*reason, DEFAULT_RETRY_AFTER)});
        return;
    }
    if (m_resends.size() >= MAX_PENDING_RESENDS) {
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::QueueFull, DEFAULT_RETRY_AFTER)});
        return;
    }
    m_keys.setWaiting(call.key->value, KeyState::GatheringEvidence, call.id, call.key->issuedAt);
    m_resends.emplace(call.id, call);
    actions.push_back(GatherEvidence{call.id, *call.key});
}

std::optional<RefusalReason> AgentCore::refusalReasonFor(const Call &call, TimePoint now) const
{
    if (isLeaving()) {
        return RefusalReason::EndpointLeaving;
    }
    if (m_endpointDownUntil && now < *m_endpointDownUntil) {
        return RefusalReason::EndpointFailed;
    }
    if (m_policy.quarantines && m_quarantine.isQuarantined(call.fingerprint, now)) {
        return RefusalReason::Quarantined;
    }
    if (call.sheddable && call.deadline <= now) {
        return RefusalReason::DeadlinePassed;
    }
    if (call.sheddable && m_policy.refusesEarly && !canMeetDeadline(call, expectedWait(call), now)) {
        return RefusalReason::DeadlineUnreachable;
    }
    return std::nullopt;
}

Duration AgentCore::expectedWait(const Call &call) const
{
    const auto mean = m_allRunTimes.mean();
    if (!mean || !m_endpoint) {
        return Duration(0);
    }
    std::size_t busy = 0;
    for (const auto &[id, running] : m_running) {
        busy += running.call.tier <= call.tier ? 1 : 0;
    }
    const std::size_t ahead = m_queue.countAhead(call.tier, call.deadline) + busy;
    const auto slots = static_cast<std::size_t>(m_endpoint->slots);
    if (ahead < slots) {
        return Duration(0);
    }
    return *mean * static_cast<std::int64_t>(ahead - slots + 1) / static_cast<std::int64_t>(slots);
}

bool AgentCore::canMeetDeadline(const Call &call, Duration wait, TimePoint now) const
{
    const auto estimate = m_runTimes.find(call.className);
    if (estimate == m_runTimes.end()) {
        return true;
    }
    const auto median = estimate->second.median();
    return !median || now + wait + *median <= call.deadline;
}

bool AgentCore::ensureQueueSpace(const Call &call, Actions &actions)
{
    if (!m_queue.isFull()) {
        return true;
    }
    const auto displaced = m_queue.chooseDisplaced(call);
    if (!displaced) {
        return false;
    }
    const auto removed = m_queue.remove(*displaced);
    if (!removed) {
        throw InternalError("the call chosen for displacement is not in the queue");
    }
    dropQueued(*removed, Outcome::notRun(RefusalReason::QueueFull, expectedWait(*removed)), actions);
    return true;
}

void AgentCore::enqueue(const Call &call)
{
    m_queue.push(call);
}

void AgentCore::dropQueued(const Call &call, const Outcome &outcome, Actions &actions)
{
    if (call.key) {
        m_keys.removeWaiting(call.key->value);
    }
    m_claimedCalls.erase(call.id);
    m_earlierRunTime.erase(call.id);
    actions.push_back(FinishCall{call.id, outcome});
}

void AgentCore::onEvent(const CallCancelled &event, TimePoint, Actions &actions)
{
    if (const auto removed = m_queue.remove(event.callId)) {
        dropQueued(*removed, Outcome::notRun(RefusalReason::Cancelled), actions);
        return;
    }
    const auto it = m_running.find(event.callId);
    if (it != m_running.end() && it->second.call.idempotent) {
        actions.push_back(CancelRun{event.callId});
    }
}

void AgentCore::onEvent(const KeyQueried &event, TimePoint, Actions &actions)
{
    actions.push_back(AnswerKeyQuery{event.queryId, m_keys.query(event.key, event.issuedAt)});
}

void AgentCore::onEvent(const EvidenceGathered &event, TimePoint now, Actions &actions)
{
    const auto it = m_resends.find(event.callId);
    if (it == m_resends.end()) {
        return;
    }
    const IdempotencyKey key = *it->second.key;
    const FleetLimits &limits = m_configuration->limits();
    const ResendLimits resendLimits{limits.firstAttemptWindow, limits.clockMargin, limits.keyRetention};
    const auto decision = decideResend(contentHash(key.value), key.issuedAt, resendLimits, event.evidence, now);
    if (std::holds_alternative<AllowClaim>(decision)) {
        actions.push_back(ClaimKey{event.callId, key});
        return;
    }
    if (const auto *peerRecord = std::get_if<UsePeerRecord>(&decision)) {
        m_keys.removeWaiting(key.value);
        actions.push_back(AnswerFromPeer{event.callId, peerRecord->endpoint, key.value, peerRecord->state});
        m_resends.erase(it);
        return;
    }
    finishResend(event.callId, std::get<RefuseResend>(decision).outcome, actions);
}

void AgentCore::finishResend(const std::string &callId, const Outcome &outcome, Actions &actions)
{
    const auto it = m_resends.find(callId);
    m_keys.removeWaiting(it->second.key->value);
    m_resends.erase(it);
    actions.push_back(FinishCall{callId, outcome});
}

void AgentCore::onEvent(const KeyClaimed &event, TimePoint, Actions &actions)
{
    const auto it = m_resends.find(event.callId);
    if (it == m_resends.end()) {
        return;
    }
    if (event.result == ClaimResult::ClaimedByOther) {
        finishResend(event.callId, Outcome::unknown(RefusalReason::ResendClaimed), actions);
        return;
    }
    if (event.result == ClaimResult::Unclear) {
        finishResend(event.callId, Outcome::unknown(RefusalReason::StoreUnavailable, DEFAULT_RETRY_AFTER), actions);
        return;
    }
    m_claimedCalls[event.callId] = true;
    enqueue(it->second);
    m_resends.erase(it);
}

void AgentCore::onEvent(const JournalWritten &event, TimePoint now, Actions &)
{
    switch (event.result) {
    case JournalResult::Written:
        m_journal->writeSucceeded(now);
        m_validated = true;
        m_lastStoreContact = now;
        break;
    case JournalResult::Failed:
        m_journal->writeFailed(now);
        break;
    case JournalResult::Fenced:
        m_journal->writeFailed(now);
        m_validated = false;
        m_leaveRequested = true;
        break;
    }
}

void AgentCore::onEvent(const OrderEnded &event, TimePoint now, Actions &)
{
    m_placement.noteResult(event.result, now);
}

void AgentCore::onEvent(const LeaveRequested &, TimePoint, Actions &)
{
    m_leaveRequested = true;
}

void AgentCore::onEvent(const Tick &, TimePoint now, Actions &actions)
{
    if (m_configuration) {
        m_keys.expire(now - m_configuration->limits().keyRetention);
    }
    m_quarantine.expire(now);
    refuseUnreachable(now, actions);
    if (const auto order = m_placement.takeOrder(now)) {
        actions.push_back(SendOrder{*order});
    }
}

void AgentCore::refuseUnreachable(TimePoint now, Actions &actions)
{
    for (const Call &call : m_queue.all()) {
        const bool started = m_earlierRunTime.count(call.id) > 0;
        if (!call.sheddable || started) {
            continue;
        }
        const bool late = call.deadline <= now;
        if (late || (m_policy.refusesEarly && !canMeetDeadline(call, Duration(0), now))) {
            m_queue.remove(call.id);
            const auto reason = late ? RefusalReason::DeadlinePassed : RefusalReason::DeadlineUnreachable;
            dropQueued(call, Outcome::notRun(reason, expectedWait(call)), actions);
        }
    }
}

int AgentCore::headroomSlots() const
{
    if (!m_policy.keepsHeadroom || !m_hasMultipleTiers) {
        return 0;
    }
    return static_cast<int>(std::floor(m_configuration->limits().headroomShare * m_endpoint->slots));
}

void AgentCore::startWaitingCalls(TimePoint now, Actions &actions)
{
    if (!m_endpoint) {
        return;
    }
    while (startNext(now, actions)) { }
    if (m_policy.preempts) {
        preemptForWaitingCall(now, actions);
    }
}

bool AgentCore::startNext(TimePoint now, Actions &actions)
{
    const int free = m_endpoint->slots - static_cast<int>(m_running.size());
    if (free <= 0) {
        return false;
    }
    const auto topTierOnly = free <= headroomSlots() ? std::optional<int>(m_topTier) : std::nullopt;
    const auto call = m_queue.pop(m_teamLimits, topTierOnly, now);
    if (!call) {
        return false;
    }
    const bool claimed = m_claimedCalls.count(call->id) > 0;
    const bool expired
        = call->key && !claimed && now >= call->key->issuedAt + m_configuration->limits().firstAttemptWindow;
    if (expired) {
        dropQueued(*call, Outcome::unknown(RefusalReason::FirstAttemptExpired, DEFAULT_RETRY_AFTER), actions);
        return true;
    }
    startRun(*call, now, actions);
    return true;
}

void AgentCore::startRun(const Call &call, TimePoint now, Actions &actions)
{
    StartRun start{call.id, std::nullopt};
    if (call.key) {
        m_keys.setRunning(call.key->value);
        m_journal->recordStarted(contentHash(call.key->value), call.key->issuedAt);
        if (m_claimedCalls.erase(call.id) == 0) {
            start.startBefore = call.key->issuedAt + m_configuration->limits().firstAttemptWindow;
        }
    }
    RunningCall running{call, now, Duration(0), false};
    const auto earlier = m_earlierRunTime.find(call.id);
    if (earlier != m_earlierRunTime.end()) {
        running.earlierRunTime = earlier->second;
        m_earlierRunTime.erase(earlier);
    }
    m_teamLimits.recordStart(call.team);
    m_running.emplace(call.id, running);
    actions.push_back(start);
}

int AgentCore::effectiveTier(const RunningCall &running, TimePoint now) const
{
    const bool late = running.call.sheddable && running.call.deadline <= now;
    return late ? CallQueue::LATE_TIER : running.call.tier;
}

void AgentCore::preemptForWaitingCall(TimePoint now, Actions &actions)
{
    const auto waitingTier = m_queue.highestWaitingTier();
    const bool full = static_cast<int>(m_running.size()) >= m_endpoint->slots;
    if (!waitingTier || !full) {
        return;
    }
    RunningCall *victim = nullptr;
    int preempting = 0;
    for (auto &[id, running] : m_running) {
        preempting += running.preempting ? 1 : 0;
        const int tier = effectiveTier(running, now);
        const bool allowed = running.call.idempotent && (running.call.preemptible || tier == CallQueue::LATE_TIER);
        if (running.preempting || !allowed || tier <= *waitingTier) {
            continue;
        }
        const bool better = !victim || tier > effectiveTier(*victim, now)
            || (tier == effectiveTier(*victim, now) && running.startedAt > victim->startedAt);
        victim = better ? &running : victim;
    }
    if (!victim || preempting > 0) {
        return;
    }
    victim->preempting = true;
    ++m_preemptions;
    actions.push_back(PreemptRun{victim->call.id});
}

void AgentCore::onEvent(const RunEnded &event, TimePoint now, Actions &actions)
{
    const auto it = m_running.find(event.callId);
    if (it == m_running.end()) {
        throw InternalError("received the end of a run for a call that is not running");
    }
    const RunningCall running = it->second;
    m_running.erase(it);
    m_teamLimits.recordEnd(running.call.team);
    finishRun(running, event.end, now, actions);
}

void AgentCore::finishRun(const RunningCall &running, RunEnd end, TimePoint now, Actions &actions)
{
    const Call &call = running.call;
    switch (end) {
    case RunEnd::Completed: {
        const Duration runTime = now - running.startedAt + running.earlierRunTime;
        m_runTimes[call.className].add(runTime);
        m_allRunTimes.add(runTime);
        m_quarantine.clearSuspect(call.fingerprint, now);
        m_endpointDownUntil.reset();
        if (call.key) {
            m_keys.setFinished(call.key->value, KeyState::Ended);
        }
        actions.push_back(FinishCall{call.id, Outcome::served()});
        return;
    }
    case RunEnd::Preempted:
        m_earlierRunTime[call.id] = now - running.startedAt + running.earlierRunTime;
        m_queue.push(call);
        return;
    case RunEnd::NeverStarted:
        m_placement.noteEngineRestarted(now);
        m_endpointDownUntil = now + ENDPOINT_RETRY_INTERVAL;
        if (call.key) {
            m_keys.removeNeverStarted(call.key->value);
        }
        actions.push_back(FinishCall{call.id, Outcome::notRun(RefusalReason::EndpointFailed, DEFAULT_RETRY_AFTER)});
        return;
    case RunEnd::Expired:
        m_keys.removeNeverStarted(call.key->value);
        actions.push_back(
            FinishCall{call.id, Outcome::unknown(RefusalReason::FirstAttemptExpired, DEFAULT_RETRY_AFTER)});
        return;
    case RunEnd::EndpointCrashed:
        m_placement.noteEngineRestarted(now);
        m_endpointDownUntil = now + ENDPOINT_RETRY_INTERVAL;
        m_quarantine.recordCrash(call.fingerprint, m_identity.endpoint, now);
        break;
    case RunEnd::EndpointErrored:
        break;
    case RunEnd::Cancelled:
        actions.push_back(FinishCall{call.id, Outcome::unknown(RefusalReason::Cancelled)});
        return;
    }
    if (call.key) {
        m_keys.setFinished(call.key->value, KeyState::OutcomeUnknown);
    }
    actions.push_back(FinishCall{call.id, Outcome::unknown(RefusalReason::EndpointFailed)});
}

void AgentCore::writeJournal(TimePoint now, Actions &actions)
{
    if (!m_journal) {
        return;
    }
    if (const auto write = m_journal->takeWrite(now)) {
        actions.push_back(WriteJournal{*write});
    }
}

void AgentCore::finishLeaving(TimePoint now, Actions &actions)
{
    const bool empty = m_queue.size() == 0 && m_running.empty() && m_resends.empty();
    if (!m_leaveRequested || !empty || m_stopSent) {
        return;
    }
    if (!m_emptySince) {
        m_emptySince = now;
        if (m_journal && m_validated) {
            m_journal->markClosed();
            writeJournal(now, actions);
        }
    }
    const bool closed = !m_journal || m_journal->isClosedInStore() || now - *m_emptySince >= CLOSE_TIMEOUT;
    if (closed) {
        m_stopSent = true;
        actions.push_back(StopProcess{});
    }
}

AgentStatus AgentCore::status(TimePoint now)
{
    AgentStatus out;
    out.endpoint = m_identity.endpoint;
    out.incarnation = m_identity.incarnation;
    out.revision = revision();
    out.sequence = ++m_sequence;
    out.slots = m_endpoint ? m_endpoint->slots : 0;
    out.running = static_cast<int>(m_running.size());
    out.queued = static_cast<int>(m_queue.size() + m_resends.size());
    out.meanRun = m_allRunTimes.mean().value_or(Duration(0));
    out.leaving = isLeaving();
    out.endpointUp = !m_endpointDownUntil || now >= *m_endpointDownUntil;
    out.crashes = m_quarantine.reports(now, MAX_REPORTED_CRASHES, 0).reports;
    return out;
}

}
