/** \file
 * Handling of one request, as a state machine driven by the event loop.
 */
#include "requestflow.h"

#include "eventlog.h"
#include "gateway.h"
#include "rendezvoushash.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr int UNAVAILABLE = 503;
/** Assumed caller timeout for requests that don't state one. */
constexpr Duration DEFAULT_CALLER_TIMEOUT = milliseconds(30000);
/** The endpoint of a stream counts as lost when it has sent nothing for this many times the route's event gap, or the
 * route's objective before the first event. */
constexpr int EVENT_GAPS_UNTIL_LOST = 3;
/** A plain repeatable request without a response after its objective divided by this is sent to another endpoint. */
constexpr int RESPONSE_TIMEOUT_DIVISOR = 2;
/** Few streams last longer, even where their route's timeout allows it. */
constexpr Duration TYPICAL_MAX_STREAM_DURATION = milliseconds(5000);

}

RequestFlow::RequestFlow(Gateway &gateway, HttpServerConnectionPtr caller, ReceivedRequest request)
    : m_gateway(gateway)
    , m_callerResponse(std::move(caller), request.arrivedAfter)
    , m_request(std::move(request))
    , m_body(std::make_shared<const std::string>(std::move(m_request.body)))
    , m_witness(gateway.loop(), {gateway.quarantine(), gateway.parts(), gateway.metrics()})
{
}

RequestFlow::~RequestFlow()
{
    m_gateway.loop().cancel(m_deadlineTimer);
    m_gateway.loop().cancel(m_responseTimer);
    m_gateway.loop().cancel(m_permitTimer);
    m_gateway.loop().cancel(m_listTimer);
    clearResponseBody();
}

void RequestFlow::start()
{
    m_traits = m_gateway.messages().decodeRequest(m_request.head);
    if (m_gateway.awaitsFirstConfiguration()) {
        m_callerResponse.setDisconnectHandler([this] { callerDisconnected(); });
        m_gateway.resumeWhenReady(this);
        return;
    }
    admit();
}

void RequestFlow::resume()
{
    if (!m_finished) {
        admit();
    }
}

void RequestFlow::admit()
{
    const TimePoint now = m_gateway.loop().now();
    m_configuration = m_gateway.configuration();
    if (m_gateway.isCatchingUp()) {
        m_failedCheck = "catching_up";
        refuse(GatewayRefusal::ConfigurationOutdated);
        return;
    }
    const AdmissionResult result = admitRequest(m_configuration.get(), m_request.head, m_traits);
    if (const auto *refusal = std::get_if<GatewayRefusal>(&result)) {
        refuseAdmission(*refusal);
        return;
    }
    m_admitted = std::get<AdmittedRequest>(result);
    m_service = chooseService(*m_admitted.route, m_gateway.randomFraction());
    m_witness.setRequest(m_traits.attemptId, m_admitted.team,
        contentHash({m_request.head.target, "\n", m_admitted.team, "\n", *m_body}), m_traits.prompt);
    if (m_witness.isRequestQuarantined()) {
        refuse(GatewayRefusal::Quarantined);
        return;
    }
    if (const auto &verdict = m_witness.judgeParts()) {
        refuseQuarantinedPart(*verdict);
        return;
    }
    m_deadline = m_request.arrivedAfter + std::min(m_admitted.route->timeout, callerTimeout());
    if (!m_gateway.accepts(maxDuration(), m_admitted.route->isRepeatable())) {
        refuse(GatewayRefusal::Stopping);
        return;
    }
    m_deadlineTimer = m_gateway.loop().callAt(m_deadline, [this] { deadlineReached(); });
    limitToStop();
    m_callerResponse.setDisconnectHandler([this] { callerDisconnected(); });
    if (refuseIfBehind()) {
        return;
    }
    m_gateway.retries().noteRequest(m_service, now);
    m_lastEventId = m_traits.lastEventId;
    if (m_traits.prompt) {
        const EngineCostModel engine = m_gateway.engineModel(m_service);
        m_gateway.placement().noteStarted(*m_traits.prompt, m_admitted.route->priority, engine, now);
        m_countedDemand = workloadOf(*m_traits.prompt, engine);
    }
    if (isResumption()) {
        resolveVersion();
    } else {
        sendToEndpoint();
    }
}

void RequestFlow::limitToStop()
{
    const auto end = m_gateway.endOfAnswers();
    if (m_finished || !m_admitted.route || !end || *end >= m_deadline) {
        return;
    }
    m_endsWithStop = true;
    m_deadline = *end;
    m_gateway.loop().cancel(m_deadlineTimer);
    m_deadlineTimer = m_gateway.loop().callAt(m_deadline, [this] { deadlineReached(); });
}

void RequestFlow::refuseQuarantinedPart(const PartVerdict &verdict)
{
    if (m_callerResponse.isStreamStarted() || m_mayHaveRun) {
        giveUp(AttemptOutcome::NotRun, GatewayRefusal::Quarantined);
        return;
    }
    refuse(GatewayRefusal::Quarantined, verdict.until - m_gateway.loop().now());
}

void RequestFlow::withdrawIfQuarantined()
{
    if (m_finished || (m_connection && m_firstByteSeen)) {
        return;
    }
    if (const auto &verdict = m_witness.judgeParts()) {
        m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->isConnected());
        endAttempt(false);
        refuseQuarantinedPart(*verdict);
    }
}

bool RequestFlow::refuseIfBehind()
{
    const TimePoint now = m_gateway.loop().now();
    m_gateway.intakeDelay().add(m_request.readAt - m_request.arrivedAfter, now);
    if (timeLeft() <= Duration()) {
        refuse(GatewayRefusal::TimedOutUnsent);
        return true;
    }
    const IntakeInputs inputs{m_gateway.intakeDelay().current(now), timeLeft(), intakePriority(m_admitted)};
    const IntakeDecision decision = decideIntake(inputs, m_gateway.randomFraction());
    const auto *rejection = std::get_if<IntakeRejected>(&decision);
    if (rejection == nullptr) {
        return false;
    }
    refuse(GatewayRefusal::ProcessBehind, rejection->retryAfter);
    return true;
}

Duration RequestFlow::callerTimeout() const
{
    return m_traits.callerTimeout.value_or(DEFAULT_CALLER_TIMEOUT);
}

Duration RequestFlow::maxDuration() const
{
    const Route &route = *m_admitted.route;
    const bool canGoOnElsewhere = route.kind == RequestKind::Stream && route.canResume;
    return canGoOnElsewhere ? std::min(timeLeft(), TYPICAL_MAX_STREAM_DURATION) : timeLeft();
}

Duration RequestFlow::timeLeft() const
{
    return m_deadline - m_gateway.loop().now();
}

Duration RequestFlow::responseTimeout() const
{
    const Route &route = *m_admitted.route;
    if (route.kind == RequestKind::Stream) {
        if (m_firstByteSeen && m_callerResponse.events() > 0) {
            return route.eventGap.value_or(route.objective) * EVENT_GAPS_UNTIL_LOST;
        }
        return route.objective * EVENT_GAPS_UNTIL_LOST;
    }
    return route.objective / RESPONSE_TIMEOUT_DIVISOR;
}

void RequestFlow::startResponseTimer(Duration wait)
{
    m_gateway.loop().cancel(m_responseTimer);
    if (m_admitted.route->isRepeatable() && m_sends < m_admitted.route->maxAttempts) {
        m_responseTimer = m_gateway.loop().callAfter(wait, [this] { responseTimedOut(); });
    }
}

void RequestFlow::responseTimedOut()
{
    if (!m_connection || !mayResend(AttemptOutcome::ResponseLost)) {
        return;
    }
    noteSilence();
    m_gateway.statistics(m_endpoint.id).noteResult(EndpointResult::NoResponse, m_gateway.loop().now());
    m_gateway.metrics().count("cyclamenturn_resends", {{"reason", "silent"}});
    endAttempt(false);
    m_mayHaveRun = true;
    sendToEndpoint();
}

void RequestFlow::noteSilence()
{
    if (m_connection && m_connection->isConnected()) {
        m_witness.abandoned(responseTimeout());
    }
}

void RequestFlow::endAttempt(bool isReusable)
{
    if (!m_connection) {
        return;
    }
    m_gateway.loop().cancel(m_responseTimer);
    EndpointStatistics &statistics = m_gateway.statistics(m_endpoint.id);
    if (!m_firstByteSeen) {
        statistics.noteFirstEvent(m_placement.prefillTokens);
    }
    if (m_traits.prompt) {
        statistics.room().noteEnded(tokensNeeded(*m_traits.prompt));
    }
    statistics.noteEnded();
    // Meanwhile the endpoint may have been replaced under its id, and the old incarnation may serve for a while.
    const EndpointRecord *listed = m_gateway.endpoints().find(m_endpoint.id);
    const bool isCurrent = listed != nullptr && m_gateway.incarnations().current(*listed).isSameIncarnation(m_endpoint);
    if (isReusable && !isCurrent) {
        m_gateway.metrics().count("cyclamenturn_outdated_connections_closed");
    }
    if (isReusable && isCurrent) {
        m_gateway.pool().release(m_endpoint.id, std::move(m_connection),
            m_responseTraits.keepAlive.value_or(ConnectionPool::DEFAULT_IDLE_TIMEOUT));
    } else {
        m_connection.reset();
        m_gateway.pool().releaseClosed(m_endpoint.id);
    }
}

bool RequestFlow::mayResend(AttemptOutcome outcome)
{
    const ResendState state{m_sends, m_callerResponse.isStreamStarted(), timeLeft()};
    if (chooseResend(*m_admitted.route, outcome, state) == ResendChoice::GiveUp) {
        return false;
    }
    if (m_callerResponse.isStreamStarted() && m_lastEventId.empty()) {
        // No endpoint can be told where to go on.
        return false;
    }
    if (m_witness.isRequestQuarantined()) {
        m_gateway.metrics().count("cyclamenturn_resends_refused", {{"reason", "quarantined"}});
        return false;
    }
    if (outcome == AttemptOutcome::NotSent) {
        return true;
    }
    const bool allowed = m_gateway.retries().tryTake(m_service, m_gateway.gatewayCount(), m_gateway.loop().now());
    if (!allowed) {
        m_gateway.metrics().count("cyclamenturn_resends_refused", {{"reason", "allowance"}});
    }
    return allowed;
}

void RequestFlow::attemptFailed(AttemptOutcome outcome, EndpointResult result, GatewayRefusal reason)
{
    const TimePoint now = m_gateway.loop().now();
    LogEvent("attempt_failed")
        .field("request", m_traits.attemptId)
        .field("endpoint", m_endpoint.id)
        .field("endpoint_version", m_endpoint.version)
        .field("incarnation", m_incarnation)
        .field("reason", toString(reason))
        .field("after_ms", toMilliseconds(now - m_sentAt))
        .field("unsent_bytes", m_connection ? static_cast<long long>(m_connection->unsentBytes()) : 0)
        .field("events", m_callerResponse.events());
    m_gateway.statistics(m_endpoint.id).noteResult(result, now);
    endAttempt(false);
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::OtherInstance) {
        --m_sends;
    }
    m_mayHaveRun
        = m_mayHaveRun || outcome == AttemptOutcome::ResponseLost || outcome == AttemptOutcome::FailureResponse;
    if (!mayResend(outcome)) {
        giveUp(outcome, reason);
        return;
    }
    m_gateway.metrics().count("cyclamenturn_resends", {{"reason", toString(reason)}});
    sendToEndpoint();
}

void RequestFlow::giveUp(AttemptOutcome, GatewayRefusal reason)
{
    if (m_callerResponse.isStreamStarted()) {
        m_callerResponse.abortStream();
        m_abortReason = toString(reason);
        finish(0, "stream_cut");
        return;
    }
    // Status 503 tells the caller that the request hasn't run.
    const bool promisesNotRun = statusOf(reason) == UNAVAILABLE;
    refuse(promisesNotRun && m_mayHaveRun ? GatewayRefusal::EndpointLost : reason);
}

void RequestFlow::deadlineReached()
{
    const bool waiting = m_connection != nullptr && m_connection->isConnected();
    m_mayHaveRun = m_mayHaveRun || waiting;
    if (!m_endsWithStop) {
        noteSilence();
    }
    endAttempt(false);
    giveUp(AttemptOutcome::ResponseLost, m_mayHaveRun ? GatewayRefusal::TimedOut : GatewayRefusal::TimedOutUnsent);
}

void RequestFlow::callerDisconnected()
{
    noteSilence();
    m_mayHaveRun = m_mayHaveRun || (m_connection && m_connection->isConnected());
    endAttempt(false);
    finish(0, toString(GatewayRefusal::CallerDisconnected));
}

void RequestFlow::refuseAdmission(GatewayRefusal refusal)
{
    m_failedCheck = toString(refusal);
    const GatewayRefusal answer = refusalInDoubt(refusal, m_gateway.configurationDoubt());
    if (answer == GatewayRefusal::ConfigurationOutdated) {
        m_gateway.recheckConfiguration();
    }
    refuse(answer);
}

void RequestFlow::refuse(GatewayRefusal refusal)
{
    const TimePoint now = m_gateway.loop().now();
    if (const auto pausedUntil = m_service.empty() ? std::nullopt : endOfPauses()) {
        refuse(refusal, *pausedUntil - now);
        return;
    }
    const bool isWaitUnknown = refusal == GatewayRefusal::NoConfiguration || refusal == GatewayRefusal::NoEndpoint;
    refuse(refusal, isWaitUnknown ? std::max(DEFAULT_RETRY_AFTER, callerTimeout() * 3 / 10) : DEFAULT_RETRY_AFTER);
}

void RequestFlow::refuse(GatewayRefusal refusal, Duration retryAfter)
{
    HttpResponseHead head = refusalHead(statusOf(refusal), retryAfter);
    if (refusal == GatewayRefusal::StreamUnknown || refusal == GatewayRefusal::StreamVersionGone) {
        // The stream can't go on later either; the caller has to begin anew.
        head.fields.remove("Retry-After");
    }
    head.fields.add("Content-Type", "text/plain");
    m_gateway.metrics().count("cyclamenturn_refusals", {{"reason", toString(refusal)}});
    respond(std::move(head), std::string(toString(refusal)) + "\n", toString(refusal));
}

void RequestFlow::respond(HttpResponseHead head, const std::string &body, const char *outcome)
{
    const int status = head.status;
    m_callerResponse.send(std::move(head), body);
    finish(status, outcome);
}

void RequestFlow::finish(int status, const char *outcome)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_gateway.loop().cancel(m_deadlineTimer);
    m_gateway.loop().cancel(m_permitTimer);
    m_gateway.loop().cancel(m_listTimer);
    cancelCheck();
    if (m_mayHaveRun && countsWithoutResponse()) {
        countUsage();
    }
    if (m_countedDemand) {
        m_gateway.placement().noteEnded(*m_countedDemand);
    }
    const TimePoint now = m_gateway.loop().now();
    const Duration took = now - m_request.arrivedAfter;
    const Route *route = m_admitted.route;
    if (route != nullptr) {
        m_gateway.metrics().observe(
            "cyclamenturn_request_seconds", {{"route", route->name}, {"outcome", outcome}}, took);
    }
    if (m_gateway.logBudget().allows(!isSuccess(status), now)) {
        logOutcome(status, outcome, took);
    }
    m_gateway.remove(this);
}

}
