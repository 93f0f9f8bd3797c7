/** \file
 * The way of one request through the gateway.
 */
#include "requestflow.h"

#include "eventlog.h"
#include "gateway.h"
#include "rendezvoushash.h"

#include <algorithm>
#include <cstdio>

namespace Cyclamenturn
{

namespace
{

constexpr int FIRST_CLIENT_ERROR = 400;
constexpr int FIRST_SERVER_ERROR = 500;
constexpr int TOO_MANY_REQUESTS = 429;
constexpr int UNAVAILABLE = 503;
/** Time that a caller waits when it states none. */
constexpr Duration DEFAULT_PATIENCE = milliseconds(30000);
/** How long an idle connection is kept when the endpoint states nothing. */
constexpr Duration DEFAULT_IDLE_LIMIT = milliseconds(2500);
/** Retry-After for refusals that aren't about load: long enough for a pending change to arrive. */
constexpr Duration RETRY_SOON = milliseconds(300);
/** Quiet for this many of a route's event pauses means that the endpoint is lost. */
constexpr int LOST_AFTER_GAPS = 3;
/** A plain repeatable request is tried elsewhere when half of its objective has gone by. */
constexpr int SILENCE_DIVISOR = 2;
/** Few streams last longer, whatever time their route allows. */
constexpr Duration LONGEST_USUAL_STREAM = milliseconds(5000);

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::string secondsText(Duration span)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(span.count()) / 1e6);
    return text;
}

}

RequestFlow::RequestFlow(Gateway &gateway, HttpServerConnectionPtr caller, ReceivedRequest request)
    : m_gateway(gateway)
    , m_answer(std::move(caller), request.arrivedAt)
    , m_request(std::move(request))
{
}

RequestFlow::~RequestFlow()
{
    m_gateway.loop().cancel(m_deadlineTimer);
    m_gateway.loop().cancel(m_silenceTimer);
}

void RequestFlow::start()
{
    m_traits = m_gateway.messages().decodeRequest(m_request.head);
    if (m_gateway.awaitsFirstConfiguration()) {
        m_answer.setLeftHandler([this] { callerLeft(); });
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
    const AdmissionResult result = admitRequest(m_configuration.get(), m_request.head, m_traits);
    if (const auto *refusal = std::get_if<GatewayRefusal>(&result)) {
        refuse(*refusal);
        return;
    }
    m_admitted = std::get<AdmittedRequest>(result);
    m_service = chooseService(*m_admitted.route, m_gateway.draw());
    m_fingerprint = contentHash(m_request.head.target + "\n" + m_traits.key + "\n" + m_request.body);
    if (m_gateway.quarantine().isQuarantined(m_fingerprint, now)) {
        refuse(GatewayRefusal::Quarantined);
        return;
    }
    m_deadline
        = m_request.arrivedAt + std::min(m_admitted.route->timeout, m_traits.patience.value_or(DEFAULT_PATIENCE));
    m_deadlineTimer = m_gateway.loop().callAt(m_deadline, [this] { deadlineReached(); });
    if (!m_gateway.accepts(longestDuration())) {
        refuse(GatewayRefusal::Stopping);
        return;
    }
    m_answer.setLeftHandler([this] { callerLeft(); });
    m_gateway.retries().noteRequest(m_service, now);
    m_lastEventId = m_traits.lastEventId;
    if (m_traits.prompt) {
        m_gateway.placement().noteStarted(*m_traits.prompt, m_admitted.route->priority, now);
        m_demandNoted = true;
    }
    sendToEndpoint();
}

Duration RequestFlow::longestDuration() const
{
    return m_admitted.route->kind == RequestKind::Stream ? std::min(timeLeft(), LONGEST_USUAL_STREAM) : timeLeft();
}

Duration RequestFlow::timeLeft() const
{
    return m_deadline - m_gateway.loop().now();
}

void RequestFlow::sendToEndpoint()
{
    const TimePoint now = m_gateway.loop().now();
    const PromptTraits *prompt = m_traits.prompt ? &*m_traits.prompt : nullptr;
    std::vector<PlacementCandidate> candidates;
    for (const EndpointRecord *record : m_gateway.endpoints().usable(m_service)) {
        if (m_tried.count(record->id) == 0) {
            candidates.push_back(
                {record, &m_gateway.standing(record->id), m_gateway.peers().loadAt(endpointHash(record->id))});
        }
    }
    while (!candidates.empty()) {
        const Placement placement = m_gateway.placement().choose(candidates, prompt, m_gateway.draw(), now);
        if (refusedForOverload(placement)) {
            return;
        }
        auto connection = m_gateway.pool().take(*placement.endpoint, m_gateway.connectionLimit(m_service));
        if (connection) {
            startAttempt(placement, std::move(connection));
            return;
        }
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                             [&placement](const auto &item) { return item.record == placement.endpoint; }),
            candidates.end());
    }
    giveUp(AttemptEnd::NotSent, m_tried.empty() ? GatewayRefusal::NoEndpoint : GatewayRefusal::NotReached);
}

bool RequestFlow::refusedForOverload(const Placement &placement)
{
    if (!m_traits.prompt || !placement.isLongPrompt || m_sends > 0) {
        return false;
    }
    OverloadInputs inputs;
    inputs.expectedFirstEvent = Duration(
        static_cast<std::int64_t>(placement.expectedMs * m_gateway.estimates().factor(m_gateway.loop().now()) * 1000));
    inputs.objective = m_admitted.route->objective;
    inputs.timeLeft = timeLeft();
    inputs.usualPatience = m_admitted.route->timeout;
    const OverloadDecision decision = decideOverload(m_gateway.overload(), inputs, m_gateway.draw());
    const auto *away = std::get_if<TurnAway>(&decision);
    if (away == nullptr) {
        return false;
    }
    m_placement = placement;
    refuse(GatewayRefusal::Overloaded, away->retryAfter);
    return true;
}

void RequestFlow::startAttempt(const Placement &placement, std::unique_ptr<HttpClientConnection> connection)
{
    const TimePoint now = m_gateway.loop().now();
    m_placement = placement;
    m_endpoint = *placement.endpoint;
    m_placement.endpoint = nullptr;
    m_connection = std::move(connection);
    m_sentAt = now;
    m_firstByteSeen = false;
    m_answerBody.clear();
    m_splitter.clear();
    m_tried.insert(m_endpoint.id);
    ++m_sends;
    EndpointStanding &standing = m_gateway.standing(m_endpoint.id);
    standing.noteSent(m_placement.prefillTokens);
    if (m_traits.prompt) {
        standing.noteCached(*m_traits.prompt, now);
    }
    ForwardTraits traits;
    traits.endpointId = m_endpoint.id;
    traits.timeLeft = timeLeft();
    traits.team = m_admitted.team;
    if (m_traits.prompt) {
        traits.enginePriority = engineUrgency(m_admitted);
    }
    traits.lastEventId = m_lastEventId;
    HttpRequestHead head{m_request.head.method, m_request.head.target,
        m_gateway.messages().encodeForward(m_request.head, traits, m_configuration->requiresKeys())};
    m_connection->send(head, m_request.body, this);
    armSilenceTimer(silenceLimit());
    if (m_sends > 1) {
        LogEvent("request_resent")
            .field("request", m_traits.attemptId)
            .field("endpoint", m_endpoint.id)
            .field("send", m_sends)
            .field("last_event", m_lastEventId);
    }
}

Duration RequestFlow::silenceLimit() const
{
    const Route &route = *m_admitted.route;
    if (route.kind == RequestKind::Stream) {
        if (m_firstByteSeen && m_answer.events() > 0) {
            return route.eventGap.value_or(route.objective) * LOST_AFTER_GAPS;
        }
        return route.objective * LOST_AFTER_GAPS;
    }
    return route.objective / SILENCE_DIVISOR;
}

void RequestFlow::armSilenceTimer(Duration wait)
{
    m_gateway.loop().cancel(m_silenceTimer);
    if (m_admitted.route->isRepeatable() && m_sends < m_admitted.route->maxAttempts) {
        m_silenceTimer = m_gateway.loop().callAfter(wait, [this] { silenceDetected(); });
    }
}

void RequestFlow::silenceDetected()
{
    if (!m_connection || !mayResend(AttemptEnd::Lost)) {
        return;
    }
    m_gateway.standing(m_endpoint.id).noteResult(EndpointResult::Silent, m_gateway.loop().now());
    m_gateway.metrics().count("cyclamenturn_resends", {{"reason", "silent"}});
    endAttempt(false);
    m_mayHaveRun = true;
    sendToEndpoint();
}

bool RequestFlow::isOwnAnswer(const HttpResponseHead &head)
{
    const AnswerTraits traits = m_gateway.messages().decodeAnswer(head);
    return traits.attemptId.empty() ? !isSuccess(head.status) : traits.attemptId == m_traits.attemptId;
}

void RequestFlow::noteFirstAnswerByte()
{
    const TimePoint now = m_gateway.loop().now();
    EndpointStanding &standing = m_gateway.standing(m_endpoint.id);
    m_firstByteSeen = true;
    standing.noteFirstEvent(m_placement.prefillTokens);
    if (m_placement.expectedMs > 0) {
        const double actualMs = static_cast<double>((now - m_sentAt).count()) / 1000.0;
        standing.noteSpeed(actualMs / m_placement.expectedMs * standing.slowness());
        if (m_traits.prompt && m_placement.isLongPrompt) {
            m_gateway.estimates().note(m_placement.expectedMs, actualMs, now);
        }
    }
}

void RequestFlow::headReceived(const HttpResponseHead &head)
{
    const TimePoint now = m_gateway.loop().now();
    m_answerHead = head;
    m_answerTraits = m_gateway.messages().decodeAnswer(head);
    if (m_answerTraits.load) {
        m_gateway.standing(m_endpoint.id).noteLoad(*m_answerTraits.load, now);
    }
    const std::string *type = head.fields.find("Content-Type");
    m_isEventStream = isSuccess(head.status) && type != nullptr && type->rfind("text/event-stream", 0) == 0;
    if (isSuccess(head.status) && !m_answerTraits.isSealed) {
        attemptFailed(AttemptEnd::Lost, EndpointResult::FailureAnswer, GatewayRefusal::EndpointMalformed);
    }
}

void RequestFlow::bodyReceived(std::string piece)
{
    if (!m_firstByteSeen) {
        noteFirstAnswerByte();
    }
    if (m_isEventStream) {
        passOnEvents(piece);
        return;
    }
    m_answerBody += piece;
}

void RequestFlow::passOnEvents(const std::string &piece)
{
    for (const auto &event : m_splitter.add(piece)) {
        passOnEvent(event);
        if (m_finished || !m_connection) {
            return;
        }
    }
    armSilenceTimer(silenceLimit());
}

void RequestFlow::passOnEvent(const std::string &event)
{
    const std::string id = m_gateway.messages().eventId(event);
    if (!id.empty()) {
        m_lastEventId = id;
    }
    const bool isFirst = !m_answer.isBegun();
    m_answer.sendEvent(m_answerHead, event, m_gateway.loop().now());
    if (isFirst) {
        m_gateway.metrics().observe(
            "cyclamenturn_first_event_seconds", {{"route", m_admitted.route->name}}, m_answer.firstEventAfter());
    }
}

void RequestFlow::exchangeDone(bool isReusable)
{
    const TimePoint now = m_gateway.loop().now();
    EndpointStanding &standing = m_gateway.standing(m_endpoint.id);
    if (!m_firstByteSeen) {
        noteFirstAnswerByte();
    }
    if (m_answerTraits.isOtherInstance) {
        endAttempt(isReusable);
        attemptFailed(AttemptEnd::OtherInstance, EndpointResult::Full, GatewayRefusal::NotReached);
        return;
    }
    if (m_answerTraits.isNotRun) {
        endAttempt(isReusable);
        attemptFailed(AttemptEnd::NotRun, EndpointResult::Full, GatewayRefusal::AllFull);
        return;
    }
    if (m_isEventStream) {
        standing.noteResult(EndpointResult::Answered, now);
        m_gateway.quarantine().clearSuspect(m_fingerprint);
        if (!m_splitter.rest().empty()) {
            attemptFailed(AttemptEnd::Lost, EndpointResult::FailureAnswer, GatewayRefusal::EndpointMalformed);
            return;
        }
        endAttempt(isReusable);
        finishGoodStream();
        return;
    }
    endAttempt(isReusable);
    finishPlainAnswer();
}

void RequestFlow::finishGoodStream()
{
    if (!m_answer.isBegun()) {
        answer({m_answerHead.status, m_answerHead.reason, endToEndFields(m_answerHead.fields)}, "", "served");
        return;
    }
    m_answer.endStream();
    finish(m_answerHead.status, "served");
}

void RequestFlow::finishPlainAnswer()
{
    const TimePoint now = m_gateway.loop().now();
    EndpointStanding &standing = m_gateway.standing(m_endpoint.id);
    const bool isFailure = m_answerHead.status >= FIRST_SERVER_ERROR;
    standing.noteResult(isFailure ? EndpointResult::FailureAnswer : EndpointResult::Answered, now);
    if (isFailure && mayResend(AttemptEnd::FailureAnswer)) {
        m_gateway.metrics().count("cyclamenturn_resends", {{"reason", "failure_answer"}});
        m_mayHaveRun = true;
        sendToEndpoint();
        return;
    }
    if (m_answer.isBegun()) {
        // A resumed stream was answered with something else than events.
        m_answer.cut();
        finish(m_answerHead.status, "stream_cut");
        return;
    }
    m_gateway.quarantine().clearSuspect(m_fingerprint);
    answer({m_answerHead.status, m_answerHead.reason, endToEndFields(m_answerHead.fields)}, m_answerBody,
        isFailure ? "endpoint_failure" : "served");
}

void RequestFlow::exchangeFailed(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NotConnected:
        attemptFailed(AttemptEnd::NotSent, EndpointResult::NotConnected, GatewayRefusal::NotReached);
        break;
    case ExchangeFailure::Broken:
        m_gateway.quarantine().recordCrash(m_fingerprint, m_endpoint.id, m_gateway.loop().now());
        attemptFailed(AttemptEnd::Lost, EndpointResult::Broken, GatewayRefusal::EndpointLost);
        break;
    case ExchangeFailure::Malformed:
        attemptFailed(AttemptEnd::Lost, EndpointResult::FailureAnswer, GatewayRefusal::EndpointMalformed);
        break;
    }
}

void RequestFlow::endAttempt(bool isReusable)
{
    if (!m_connection) {
        return;
    }
    m_gateway.loop().cancel(m_silenceTimer);
    EndpointStanding &standing = m_gateway.standing(m_endpoint.id);
    if (!m_firstByteSeen) {
        standing.noteFirstEvent(m_placement.prefillTokens);
    }
    standing.noteEnded();
    if (isReusable) {
        m_gateway.pool().giveBack(
            m_endpoint.id, std::move(m_connection), m_answerTraits.keepAlive.value_or(DEFAULT_IDLE_LIMIT));
    } else {
        m_connection.reset();
        m_gateway.pool().noteClosed(m_endpoint.id);
    }
}

bool RequestFlow::mayResend(AttemptEnd end)
{
    const ResendState state{m_sends, m_answer.isBegun(), timeLeft()};
    if (chooseResend(*m_admitted.route, end, state) == ResendChoice::GiveUp) {
        return false;
    }
    if (end == AttemptEnd::NotSent) {
        return true;
    }
    const bool allowed = m_gateway.retries().tryTake(m_service, m_gateway.gateways(), m_gateway.loop().now());
    if (!allowed) {
        m_gateway.metrics().count("cyclamenturn_resends_refused", {{"reason", "allowance"}});
    }
    return allowed;
}

void RequestFlow::attemptFailed(AttemptEnd end, EndpointResult result, GatewayRefusal reason)
{
    const TimePoint now = m_gateway.loop().now();
    LogEvent("attempt_failed")
        .field("request", m_traits.attemptId)
        .field("endpoint", m_endpoint.id)
        .field("reason", toString(reason))
        .field("after_ms", toMilliseconds(now - m_sentAt))
        .field("events", m_answer.events());
    m_gateway.standing(m_endpoint.id).noteResult(result, now);
    endAttempt(false);
    if (end == AttemptEnd::NotSent || end == AttemptEnd::OtherInstance) {
        --m_sends;
    }
    m_mayHaveRun = m_mayHaveRun || end == AttemptEnd::Lost || end == AttemptEnd::FailureAnswer;
    if (!mayResend(end)) {
        giveUp(end, reason);
        return;
    }
    m_gateway.metrics().count("cyclamenturn_resends", {{"reason", toString(reason)}});
    sendToEndpoint();
}

void RequestFlow::giveUp(AttemptEnd, GatewayRefusal reason)
{
    if (m_answer.isBegun()) {
        m_answer.cut();
        m_cutReason = toString(reason);
        finish(0, "stream_cut");
        return;
    }
    // A status of 503 promises that the request hasn't run.
    const bool promisesNotRun = statusOf(reason) == UNAVAILABLE;
    refuse(promisesNotRun && m_mayHaveRun ? GatewayRefusal::EndpointLost : reason);
}

void RequestFlow::deadlineReached()
{
    const bool waiting = m_connection != nullptr && m_connection->isConnected();
    endAttempt(false);
    giveUp(AttemptEnd::Lost, waiting || m_mayHaveRun ? GatewayRefusal::TimedOut : GatewayRefusal::TimedOutUnsent);
}

void RequestFlow::callerLeft()
{
    endAttempt(false);
    finish(0, toString(GatewayRefusal::CallerLeft));
}

void RequestFlow::refuse(GatewayRefusal refusal)
{
    const bool isUnknownWait = refusal == GatewayRefusal::NoConfiguration || refusal == GatewayRefusal::NoEndpoint;
    const Duration patience = m_traits.patience.value_or(DEFAULT_PATIENCE);
    refuse(refusal, isUnknownWait ? std::max(RETRY_SOON, patience * 3 / 10) : RETRY_SOON);
}

void RequestFlow::refuse(GatewayRefusal refusal, Duration retryAfter)
{
    HttpResponseHead head{statusOf(refusal), "", {}};
    head.fields.add("Content-Type", "text/plain");
    if (head.status == UNAVAILABLE || head.status == TOO_MANY_REQUESTS) {
        head.fields.add("Retry-After", secondsText(retryAfter));
    }
    m_gateway.metrics().count("cyclamenturn_refusals", {{"reason", toString(refusal)}});
    answer(std::move(head), std::string(toString(refusal)) + "\n", toString(refusal));
}

void RequestFlow::answer(HttpResponseHead head, const std::string &body, const char *outcome)
{
    const int status = head.status;
    m_answer.send(std::move(head), body);
    finish(status, outcome);
}

void RequestFlow::logOutcome(int status, const char *outcome, Duration took) const
{
    const TimePoint now = m_gateway.loop().now();
    const Route *route = m_admitted.route;
    LogEvent event("request_finished");
    event.field("request", m_traits.attemptId)
        .field("outcome", outcome)
        .field("status", status)
        .field("reason", m_cutReason)
        .field("took_ms", toMilliseconds(took));
    if (route != nullptr) {
        event.field("route", route->name)
            .field("team", m_admitted.team)
            .field("priority", m_admitted.priority)
            .field("endpoint", m_endpoint.id)
            .field("sends", m_sends)
            .field("events", m_answer.events())
            .field("first_event_ms", toMilliseconds(m_answer.firstEventAfter()))
            .field("longest_pause_ms", toMilliseconds(m_answer.longestPause()))
            .field("expected_ms", static_cast<long long>(m_placement.expectedMs))
            .field("estimate_factor_pct", static_cast<long long>(100 * m_gateway.estimates().factor(now)))
            .field("prefill_tokens", m_placement.prefillTokens)
            .field("home", m_placement.isHome ? 1 : 0)
            .field("long_answer_endpoints", static_cast<long long>(m_placement.longAnswerEndpoints));
    }
    if (m_configuration) {
        event.field("configuration", static_cast<long long>(m_configuration->version()));
    }
    event.field("endpoints_revision", static_cast<long long>(m_gateway.endpoints().revision()));
    if (m_gateway.endpoints().readAt()) {
        event.field("endpoints_age_ms", toMilliseconds(now - *m_gateway.endpoints().readAt()));
    }
}

void RequestFlow::finish(int status, const char *outcome)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_gateway.loop().cancel(m_deadlineTimer);
    if (m_demandNoted) {
        m_gateway.placement().noteEnded(*m_traits.prompt);
    }
    const TimePoint now = m_gateway.loop().now();
    const Duration took = now - m_request.arrivedAt;
    const Route *route = m_admitted.route;
    if (route != nullptr) {
        m_gateway.metrics().observe(
            "cyclamenturn_request_seconds", {{"route", route->name}, {"outcome", outcome}}, took);
    }
    const bool isFailure = status < 200 || status >= FIRST_CLIENT_ERROR;
    if (m_gateway.logBudget().allows(isFailure, now)) {
        logOutcome(status, outcome, took);
    }
    m_gateway.remove(this);
}

}
