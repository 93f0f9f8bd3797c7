/** \file
 * Implements the event handlers of the entry's state machine.
 */
#include "entrycore.h"

#include "errors.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Maximum attempts of one request before it waits or finishes, including those that do not use the retry budget. */
constexpr int MAX_ATTEMPTS = 12;
/** The delay before a call that must not be shed is retried when no endpoint could accept it. */
constexpr Duration RETRY_DELAY = milliseconds(25);
/** The default and minimum Retry-After value. */
constexpr Duration DEFAULT_RETRY_AFTER = milliseconds(200);
/**
 * After this many attempts, the refusal "deadline unreachable" is reported to the caller; before, another endpoint is
 * tried.
 */
constexpr int MAX_UNREACHABLE_ATTEMPTS = 3;

}

EntryCore::EntryCore(EntryPolicy policy, std::string failureDomain, std::uint64_t seed)
    : m_policy(policy)
    , m_choice(policy.choice, std::move(failureDomain), seed)
{
}

std::vector<EntryAction> EntryCore::handle(const EntryEvent &event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &item) { onEvent(item, now, actions); }, event);
    return actions;
}

void EntryCore::onEvent(const EntryConfigurationApplied &event, TimePoint, Actions &)
{
    if (m_configuration && event.configuration->revision() <= m_configuration->revision()) {
        return;
    }
    m_configuration = event.configuration;
    m_membership.apply(*m_configuration);
    m_retryBudget.setShare(m_configuration->limits().retryBudgetShare);
}

void EntryCore::onEvent(const CallAdmitted &event, TimePoint now, Actions &actions)
{
    const auto [it, inserted] = m_requests.emplace(event.call.id, Request());
    if (!inserted) {
        throw InternalError("two requests have the same id");
    }
    Request &request = it->second;
    request.call = event.call;
    if (m_policy.quarantines && m_quarantine.isQuarantined(event.call.fingerprint, now)) {
        finish(request, refusalFor(request, RefusalReason::Quarantined, CrashQuarantine::QUARANTINE_TIME, now), now,
            actions);
        return;
    }
    attempt(request, now, actions);
}

TimePoint EntryCore::latestStart(const Request &request) const
{
    const auto &key = request.call.key;
    if (key && key->firstAttempt) {
        return key->issuedAt + m_configuration->limits().firstAttemptWindow;
    }
    return request.call.deadline;
}

void EntryCore::attempt(Request &request, TimePoint now, Actions &actions)
{
    const bool mayTry = request.attempts < MAX_ATTEMPTS && now < std::min(latestStart(request), request.call.deadline);
    const EndpointView *view = mayTry ? m_choice.choose(m_membership, request.call, request.excluded, now) : nullptr;
    if (!view) {
        finishWithoutEndpoint(request, now, actions);
        return;
    }
    ++request.attempts;
    m_membership.noteSent(view->spec.name);
    const bool handshake = request.call.key.has_value();
    actions.push_back(SendAttempt{request.call.id, view->spec.name, view->spec.host, view->spec.port,
        view->status.incarnation, handshake, m_quarantine.reportsOf(request.call.fingerprint, now)});
}

void EntryCore::finishWithoutEndpoint(Request &request, TimePoint now, Actions &actions)
{
    // Stops waiting before the first-attempt window closes, because "not run" can be reported for the key only
    // within that window.
    const TimePoint end = std::min(latestStart(request), request.call.deadline);
    const bool mayWait = !request.call.sheddable && now + RETRY_DELAY < end;
    if (mayWait) {
        request.excluded.clear();
        request.attempts = 0;
        actions.push_back(WaitForRetry{request.call.id, RETRY_DELAY});
        return;
    }
    const Duration retryAfter = std::max(request.retryAfter, DEFAULT_RETRY_AFTER);
    finish(request, refusalFor(request, request.lastReason, retryAfter, now), now, actions);
}

Outcome EntryCore::refusalFor(
    const Request &request, RefusalReason reason, std::optional<Duration> retryAfter, TimePoint now) const
{
    const auto &key = request.call.key;
    if (request.mayHaveRun) {
        return Outcome::unknown(reason, retryAfter);
    }
    const bool resend = key && !key->firstAttempt;
    const bool expired = key && m_configuration && now >= key->issuedAt + m_configuration->limits().firstAttemptWindow;
    if (resend || expired) {
        return Outcome::unknown(reason, retryAfter);
    }
    return Outcome::notRun(reason, retryAfter);
}

void EntryCore::finish(const Request &request, const Outcome &outcome, TimePoint now, Actions &actions)
{
    if (outcome.kind() == OutcomeKind::Served) {
        m_retryBudget.noteServed(request.call.className);
        m_quarantine.clearSuspect(request.call.fingerprint, now);
    }
    const std::string callId = request.call.id;
    m_requests.erase(callId);
    actions.push_back(FinishRequest{callId, outcome});
}

void EntryCore::onEvent(const AttemptEnded &event, TimePoint now, Actions &actions)
{
    m_membership.noteEnded(event.endpoint);
    const auto it = m_requests.find(event.callId);
    if (it == m_requests.end()) {
        return;
    }
    Request &request = it->second;
    if (std::holds_alternative<AttemptNeverSent>(event.result)) {
        handleNeverSent(request, event.endpoint, now, actions);
    } else if (const auto *answered = std::get_if<AttemptAnswered>(&event.result)) {
        handleAnswer(request, event.endpoint, answered->outcome, now, actions);
    } else {
        m_membership.noteFailure(event.endpoint, now);
        handleInterruption(request, event.endpoint, RefusalReason::AgentSilent, now, actions);
    }
}

void EntryCore::handleNeverSent(Request &request, const std::string &endpoint, TimePoint now, Actions &actions)
{
    m_membership.noteFailure(endpoint, now);
    request.excluded.insert(endpoint);
    retryElsewhere(request, RetryReason::ConnectionRefused, now, actions);
}

void EntryCore::retryElsewhere(Request &request, RetryReason reason, TimePoint now, Actions &actions)
{
    ++m_retries[reason];
    attempt(request, now, actions);
}

void EntryCore::handleAnswer(
    Request &request, const std::string &endpoint, const Outcome &outcome, TimePoint now, Actions &actions)
{
    switch (outcome.kind()) {
    case OutcomeKind::NotRun:
        handleRefusal(request, endpoint, outcome, now, actions);
        return;
    case OutcomeKind::Unknown:
        if (request.call.idempotent) {
            handleInterruption(request, endpoint, outcome.reason(), now, actions);
            return;
        }
        break;
    case OutcomeKind::Served:
    case OutcomeKind::InProgress:
    case OutcomeKind::AlreadyRun:
        break;
    }
    finish(request, outcome, now, actions);
}

void EntryCore::handleRefusal(
    Request &request, const std::string &endpoint, const Outcome &outcome, TimePoint now, Actions &actions)
{
    request.lastReason = outcome.reason();
    request.retryAfter = std::max(request.retryAfter, outcome.retryAfter().value_or(Duration(0)));
    const bool wrongIncarnation = outcome.reason() == RefusalReason::WrongIncarnation;
    if (!wrongIncarnation) {
        request.excluded.insert(endpoint);
    }
    const bool isFinal = outcome.reason() == RefusalReason::Quarantined
        || outcome.reason() == RefusalReason::DeadlinePassed || outcome.reason() == RefusalReason::Cancelled
        || outcome.reason() == RefusalReason::IssueTimeInFuture
        || (outcome.reason() == RefusalReason::DeadlineUnreachable && request.attempts >= MAX_UNREACHABLE_ATTEMPTS);
    if (isFinal) {
        finish(request, refusalFor(request, outcome.reason(), request.retryAfter, now), now, actions);
        return;
    }
    const bool leaving = outcome.reason() == RefusalReason::EndpointLeaving;
    retryElsewhere(request, leaving ? RetryReason::EndpointLeaving : RetryReason::AgentRefused, now, actions);
}

void EntryCore::handleInterruption(
    Request &request, const std::string &endpoint, RefusalReason reason, TimePoint now, Actions &actions)
{
    request.mayHaveRun = true;
    request.lastReason = reason;
    request.excluded.insert(endpoint);
    if (reason == RefusalReason::EndpointFailed) {
        m_quarantine.recordCrash(request.call.fingerprint, endpoint, now);
    }
    const bool quarantined = m_policy.quarantines && m_quarantine.isQuarantined(request.call.fingerprint, now);
    const bool mayRepeat = request.call.idempotent && !quarantined && reason != RefusalReason::Cancelled;
    if (!mayRepeat) {
        const RefusalReason finalReason = quarantined ? RefusalReason::Quarantined : reason;
        finish(request, Outcome::unknown(finalReason, DEFAULT_RETRY_AFTER), now, actions);
        return;
    }
    if (!m_retryBudget.tryTake(request.call.className)) {
        finish(request, Outcome::unknown(RefusalReason::RetriesExhausted, DEFAULT_RETRY_AFTER), now, actions);
        return;
    }
    const bool agentSilent = reason == RefusalReason::AgentSilent;
    retryElsewhere(request, agentSilent ? RetryReason::AgentSilent : RetryReason::EndpointFailed, now, actions);
}

void EntryCore::onEvent(const RetryDue &event, TimePoint now, Actions &actions)
{
    const auto it = m_requests.find(event.callId);
    if (it != m_requests.end()) {
        attempt(it->second, now, actions);
    }
}

void EntryCore::onEvent(const CallerDisconnected &event, TimePoint, Actions &)
{
    m_requests.erase(event.callId);
}

void EntryCore::onEvent(const AgentReportReceived &event, TimePoint now, Actions &)
{
    if (!m_membership.applyReport(event.status, now)) {
        return;
    }
    for (const CrashReport &report : event.status.crashes) {
        m_quarantine.merge(report, now);
    }
}

void EntryCore::onEvent(const HeartbeatFailed &event, TimePoint now, Actions &)
{
    m_membership.noteFailure(event.endpoint, now);
}

void EntryCore::onEvent(const EntryTick &, TimePoint now, Actions &actions)
{
    m_quarantine.expire(now);
    if (const EndpointView *view = m_membership.takeDueHeartbeat(now)) {
        actions.push_back(SendHeartbeat{view->spec.name, view->spec.host, view->spec.port});
    }
}

}
