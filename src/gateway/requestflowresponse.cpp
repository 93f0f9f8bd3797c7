/** \file
 * Receipt of responses: which of them belong to the request, what they tell of their endpoint, and how they reach the
 * caller.
 */
#include "requestflow.h"

#include "eventlog.h"
#include "gateway.h"

namespace Cyclamenturn
{

namespace
{

/** Responses with a lower status are interim ones. */
constexpr int FIRST_FINAL_STATUS = 200;
constexpr int FIRST_SERVER_ERROR = 500;

}

bool RequestFlow::matchesRequest(const HttpResponseHead &head, bool isFirst)
{
    const ResponseTraits traits = m_gateway.messages().decodeResponse(head);
    if (!traits.attemptId.empty()) {
        return traits.attemptId == m_traits.attemptId;
    }
    // Without an id, a refusal or an endpoint's own failure may repeat a response to an earlier request on this
    // connection, and this request may have run. Any other failure ends the attempt without telling the caller
    // anything.
    const bool isClaim = traits.hasServerSeal || traits.isNotExecuted;
    return !isSuccess(head.status) && (isFirst || !isClaim);
}

void RequestFlow::handleFirstResponseByte()
{
    const TimePoint now = m_gateway.loop().now();
    EndpointStatistics &statistics = m_gateway.statistics(m_endpoint.id);
    m_firstByteSeen = true;
    if (isSuccess(m_responseHead.status)) {
        m_witness.answerBegan();
    }
    statistics.noteFirstEvent(m_placement.prefillTokens);
    if (m_placement.expectedMs > 0) {
        const double actualMs = static_cast<double>((now - m_sentAt).count()) / 1000.0;
        statistics.noteSlowness(actualMs / m_placement.expectedMs * statistics.slowness());
        observePlacement(now - m_sentAt);
        if (m_traits.prompt && m_placement.isLongPrompt) {
            m_gateway.estimateCorrection().addObservation(
                enginePriority(m_admitted), m_placement.expectedMs, actualMs, now);
        }
    }
}

void RequestFlow::observePlacement(Duration firstEvent)
{
    if (m_placement.waitMs <= 0) {
        return;
    }
    const auto observe = [this](const char *value, Duration time) {
        m_gateway.metrics().observe(
            "cyclamenturn_placement_seconds", {{"route", m_admitted.route->name}, {"value", value}}, time);
    };
    observe("saved", milliseconds(static_cast<std::int64_t>(m_placement.savedMs)));
    observe("wait", milliseconds(static_cast<std::int64_t>(m_placement.waitMs)));
    observe("expected", milliseconds(static_cast<std::int64_t>(m_placement.expectedMs)));
    observe("actual", firstEvent);
}

void RequestFlow::headReceived(const HttpResponseHead &head)
{
    const TimePoint now = m_gateway.loop().now();
    m_witness.byteReceived();
    m_responseHead = head;
    m_responseTraits = m_gateway.messages().decodeResponse(head);
    if (!m_responseTraits.isOtherInstance) {
        m_witness.responded();
    }
    if (m_responseTraits.load) {
        m_gateway.statistics(m_endpoint.id).noteLoad(*m_responseTraits.load, now);
    }
    if (m_responseTraits.load && m_responseTraits.hasServerSeal) {
        m_gateway.engineModels().estimates().noteLoad(m_service, *m_responseTraits.load, now);
    }
    if (m_responseTraits.isLoadUnreadable) {
        noteUnreadableLoad();
    }
    noteStatements(m_responseTraits);
    const std::string *type = head.fields.find("Content-Type");
    m_isEventStream = isSuccess(head.status) && type != nullptr && type->rfind("text/event-stream", 0) == 0;
    // Only an endpoint's own response has the seal, unless it states that it didn't run the request. Any other status,
    // if it were forwarded, would look like this gateway's: a 4xx like a refusal, a 503 like a promise that nothing
    // ran.
    if (!m_responseTraits.hasServerSeal && !m_responseTraits.isNotExecuted) {
        attemptFailed(AttemptOutcome::ResponseLost, EndpointResult::FailureResponse, GatewayRefusal::EndpointMalformed);
        return;
    }
    // A failure response to a stream shows that it hasn't begun.
    const bool isForStream = m_isEventStream || m_admitted.route->kind == RequestKind::Stream;
    if (!m_responseTraits.isNotExecuted && (!isForStream || (!m_isEventStream && isSuccess(head.status)))) {
        countUsage();
    }
}

void RequestFlow::countUsage()
{
    if (!m_isUsageCounted) {
        m_isUsageCounted = true;
        m_gateway.countUsage(m_admitted.team);
    }
}

bool RequestFlow::countsWithoutResponse() const
{
    return m_admitted.route != nullptr && m_admitted.route->kind != RequestKind::Stream && !m_traits.prompt;
}

void RequestFlow::headSkipped(const HttpResponseHead &head)
{
    const ResponseTraits traits = m_gateway.messages().decodeResponse(head);
    noteStatements(traits);
    if (head.status < FIRST_FINAL_STATUS) {
        return;
    }
    const char *reason = traits.attemptId.empty() ? "no_id" : "other_id";
    m_gateway.metrics().count("cyclamenturn_responses_skipped", {{"reason", reason}});
    if (m_gateway.logBudget().allows(true, m_gateway.loop().now())) {
        LogEvent("response_skipped", LogEvent::Level::Warning)
            .field("request", m_traits.attemptId)
            .field("endpoint", m_endpoint.id)
            .field("reason", reason)
            .field("status", head.status)
            .field("says_not_run", static_cast<long long>(traits.isNotExecuted))
            .field("after_ms", toMilliseconds(m_gateway.loop().now() - m_sentAt));
    }
}

void RequestFlow::responseUnreadable(const char *reason)
{
    m_gateway.metrics().count("cyclamenturn_unreadable_responses");
    if (m_gateway.logBudget().allows(true, m_gateway.loop().now())) {
        LogEvent("response_unreadable", LogEvent::Level::Warning)
            .field("request", m_traits.attemptId)
            .field("endpoint", m_endpoint.id)
            .field("reason", reason)
            .field("after_ms", toMilliseconds(m_gateway.loop().now() - m_sentAt));
    }
}

void RequestFlow::noteUnreadableLoad()
{
    m_gateway.metrics().count("cyclamenturn_unreadable_loads");
    if (m_gateway.logBudget().allows(true, m_gateway.loop().now())) {
        LogEvent("endpoint_load_unreadable", LogEvent::Level::Warning)
            .field("request", m_traits.attemptId)
            .field("endpoint", m_endpoint.id);
    }
}

void RequestFlow::noteStatements(const ResponseTraits &response)
{
    if (m_gateway.statements().note(m_endpoint, response, m_sentAt, m_gateway.loop().now())) {
        m_gateway.pool().closeIdleConnections(m_endpoint.id);
    }
}

void RequestFlow::bodyReceived(std::string piece)
{
    m_witness.byteReceived();
    if (!m_firstByteSeen) {
        handleFirstResponseByte();
        observeFirstEvent();
    }
    if (m_isEventStream) {
        forwardEvents(piece);
        return;
    }
    if (!m_gateway.responseMemory().tryReserve(m_responseBody.size(), piece.size())) {
        abandonResponse("body_memory");
        return;
    }
    m_responseBody += piece;
}

void RequestFlow::clearResponseBody()
{
    m_gateway.responseMemory().release(m_responseBody.size());
    std::string().swap(m_responseBody);
}

void RequestFlow::abandonResponse(const char *where)
{
    LogEvent("response_abandoned", LogEvent::Level::Warning)
        .field("request", m_traits.attemptId)
        .field("endpoint", m_endpoint.id)
        .field("where", where)
        .field("after_ms", toMilliseconds(m_gateway.loop().now() - m_sentAt));
    m_gateway.metrics().count("cyclamenturn_unbounded_responses", {{"where", where}});
    attemptFailed(AttemptOutcome::ResponseLost, EndpointResult::Unbounded, GatewayRefusal::EndpointMalformed);
}

void RequestFlow::forwardEvents(const std::string &piece)
{
    for (const auto &event : m_splitter.add(piece)) {
        if (!forwardEvent(event) || m_finished || !m_connection) {
            return;
        }
    }
    if (m_splitter.isTooLong()) {
        abandonResponse("event");
        return;
    }
    startResponseTimer(responseTimeout());
}

bool RequestFlow::forwardEvent(const std::string &event)
{
    const std::string id = m_gateway.messages().eventId(event);
    switch (m_continuation.judge(id)) {
    case StreamContinuation::Verdict::Belongs:
        break;
    case StreamContinuation::Verdict::Ignored:
        m_gateway.metrics().count("cyclamenturn_stream_events_ignored");
        return true;
    case StreamContinuation::Verdict::Contradicts:
        attemptFailed(AttemptOutcome::ResponseLost, EndpointResult::FailureResponse, GatewayRefusal::EndpointMalformed);
        return false;
    }
    if (!id.empty()) {
        m_lastEventId = id;
    }
    const bool isFirst = !m_callerResponse.isStreamStarted();
    if (isFirst) {
        noteStreamBegun();
        countUsage();
    }
    m_callerResponse.sendEvent(m_responseHead, event, m_gateway.loop().now());
    if (isFirst) {
        m_gateway.metrics().observe("cyclamenturn_first_event_seconds", {{"route", m_admitted.route->name}},
            m_callerResponse.timeToFirstEvent());
    }
    return true;
}

void RequestFlow::exchangeDone(bool isReusable)
{
    const TimePoint now = m_gateway.loop().now();
    EndpointStatistics &statistics = m_gateway.statistics(m_endpoint.id);
    if (!m_firstByteSeen) {
        handleFirstResponseByte();
    }
    if (!isReusable) {
        noteEarlyResponse();
    }
    if (m_responseTraits.isOtherInstance) {
        endAttempt(isReusable);
        attemptFailed(AttemptOutcome::OtherInstance, EndpointResult::NotRun, GatewayRefusal::NotReached);
        return;
    }
    if (m_responseTraits.isNotExecuted) {
        endAttempt(isReusable);
        attemptFailed(AttemptOutcome::NotRun, EndpointResult::NotRun, GatewayRefusal::AllFull);
        return;
    }
    if (m_isEventStream) {
        statistics.noteResult(EndpointResult::Succeeded, now);
        // A caller that takes a stream up may have had all of its events; an endpoint that broke off had more.
        const bool isContinued = !m_continuation.isMissing() || !m_callerResponse.isStreamStarted();
        if (!isContinued || !m_splitter.rest().empty()) {
            attemptFailed(
                AttemptOutcome::ResponseLost, EndpointResult::FailureResponse, GatewayRefusal::EndpointMalformed);
            return;
        }
        m_witness.completed();
        observeAnswer();
        endAttempt(isReusable);
        finishStream();
        return;
    }
    endAttempt(isReusable);
    finishPlainResponse();
}

void RequestFlow::noteEarlyResponse()
{
    const std::size_t undelivered = m_connection->undeliveredBytes();
    if (undelivered == 0) {
        return;
    }
    m_gateway.metrics().count("cyclamenturn_early_responses", {{"status", std::to_string(m_responseHead.status)}});
    LogEvent("response_before_request_end")
        .field("request", m_traits.attemptId)
        .field("endpoint", m_endpoint.id)
        .field("status", m_responseHead.status)
        .field("unsent_bytes", static_cast<long long>(undelivered))
        .field("after_ms", toMilliseconds(m_gateway.loop().now() - m_sentAt));
}

void RequestFlow::finishStream()
{
    if (!m_callerResponse.isStreamStarted()) {
        respond({m_responseHead.status, m_responseHead.reason, endToEndFields(m_responseHead.fields)}, "", "served");
        return;
    }
    m_callerResponse.endStream();
    finish(m_responseHead.status, "served");
}

void RequestFlow::finishPlainResponse()
{
    const TimePoint now = m_gateway.loop().now();
    EndpointStatistics &statistics = m_gateway.statistics(m_endpoint.id);
    const bool isFailure = m_responseHead.status >= FIRST_SERVER_ERROR;
    statistics.noteResult(isFailure ? EndpointResult::FailureResponse : EndpointResult::Succeeded, now);
    if (isFailure && mayResend(AttemptOutcome::FailureResponse)) {
        m_gateway.metrics().count("cyclamenturn_resends", {{"reason", "failure_answer"}});
        m_mayHaveRun = true;
        sendToEndpoint();
        return;
    }
    if (m_callerResponse.isStreamStarted()) {
        // The endpoint responded to the resumption of a stream with something other than events.
        m_callerResponse.abortStream();
        finish(m_responseHead.status, "stream_cut");
        return;
    }
    if (isSuccess(m_responseHead.status)) {
        m_witness.completed();
    }
    respond({m_responseHead.status, m_responseHead.reason, endToEndFields(m_responseHead.fields)}, m_responseBody,
        isFailure ? "endpoint_failure" : "served");
}

void RequestFlow::exchangeFailed(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::Refused:
        m_witness.connectionRefused();
        attemptFailed(AttemptOutcome::NotSent, EndpointResult::NotConnected, GatewayRefusal::NotReached);
        break;
    case ExchangeFailure::NotConnected:
        attemptFailed(AttemptOutcome::NotSent, EndpointResult::NotConnected, GatewayRefusal::NotReached);
        break;
    case ExchangeFailure::ConnectionLost:
        m_witness.connectionLost();
        attemptFailed(AttemptOutcome::ResponseLost, EndpointResult::ConnectionLost, GatewayRefusal::EndpointLost);
        break;
    case ExchangeFailure::TooLarge:
        abandonResponse("message");
        break;
    case ExchangeFailure::Malformed:
        attemptFailed(AttemptOutcome::ResponseLost, EndpointResult::FailureResponse, GatewayRefusal::EndpointMalformed);
        break;
    }
}

}
