/** \file
 * The client side of the protocol between entry and agent.
 */
#include "agentattempt.h"

#include "errors.h"
#include "fleetkey.h"
#include "jsoncodec.h"

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
/**
 * An agent that takes longer to respond to a handshake is considered paused. No part of the call has been sent to it by
 * then.
 */
constexpr Duration HANDSHAKE_TIMEOUT = milliseconds(250);
/** The receive timeout exceeds several keep-alive intervals of the agent, so one late frame does not end the read. */
constexpr HttpTimeouts CALL_TIMEOUTS{milliseconds(300), milliseconds(2000)};
constexpr HttpTimeouts CANCEL_TIMEOUTS{milliseconds(200), milliseconds(200)};
/** A frame holds the whole body of a plain response, which base64 makes a third longer. */
constexpr ResponseLimits FRAME_LIMITS{std::size_t(128) << 20, std::size_t(96) << 20};
constexpr int MAX_RESUMES = 3;

}

AgentAttempt::AgentAttempt(
    Address agent, std::shared_ptr<FleetKey> fleetKey, CallHeader header, std::string body, AttemptSink sink)
    : m_agent(std::move(agent))
    , m_fleetKey(std::move(fleetKey))
    , m_header(std::move(header))
    , m_body(std::move(body))
    , m_sink(std::move(sink))
{
}

AgentAttempt::~AgentAttempt() = default;

HttpRequest AgentAttempt::authorizedRequest(const std::string &method, const std::string &path) const
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers["Authorization"] = "Bearer " + m_fleetKey->current();
    return request;
}

AttemptResult AgentAttempt::run(bool handshake)
{
    HttpConnection connection(m_agent, CALL_TIMEOUTS, FRAME_LIMITS);
    if (handshake && !performHandshake(connection)) {
        return AttemptNeverSent();
    }
    ReadResult result = ReadResult::ConnectionBroken;
    try {
        HttpRequest request = authorizedRequest("POST", "/v1/calls");
        request.headers["X-Call"] = m_header.encode();
        request.body = m_body;
        request.contentType = "application/octet-stream";
        const HttpResponse response = connection.begin(request);
        if (response.status != HTTP_OK) {
            // The agent rejects malformed messages before it processes the call, so the call has not run.
            return AttemptAnswered{Outcome::notRun(RefusalReason::BadRequest)};
        }
        result = readFrames(connection);
    } catch (const ConnectionRefusedError &) {
        return AttemptNeverSent();
    } catch (const ExchangeBrokenError &) {
        result = ReadResult::ConnectionBroken;
    }
    for (int i = 0; i < MAX_RESUMES && result == ReadResult::ConnectionBroken; ++i) {
        result = resume();
    }
    if (result == ReadResult::Abandoned) {
        cancel();
        return AttemptAnswered{Outcome::unknown(RefusalReason::Cancelled)};
    }
    if (result == ReadResult::Success && m_outcome) {
        return AttemptAnswered{*m_outcome};
    }
    return AttemptUnanswered();
}

bool AgentAttempt::performHandshake(HttpConnection &connection)
{
    try {
        HttpRequest request = authorizedRequest("GET", "/v1/handshake");
        request.headers["X-From"] = toString(m_header.from);
        request.headers["X-Revision"] = std::to_string(m_header.revision);
        connection.setReceiveTimeout(HANDSHAKE_TIMEOUT);
        const HttpResponse response = connection.exchange(request);
        if (response.status != HTTP_OK) {
            return false;
        }
        m_sink.onStatus(AgentStatus::fromJson(parseJson(response.body)));
        connection.setReceiveTimeout(CALL_TIMEOUTS.receive);
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

AgentAttempt::ReadResult AgentAttempt::readFrames(HttpConnection &connection)
{
    std::string line;
    while (connection.readLine(line)) {
        try {
            const Frame frame = decodeFrame(line);
            const bool last = std::holds_alternative<EndFrame>(frame);
            const ReadResult result = std::visit([this](const auto &item) { return handleFrame(item); }, frame);
            if (result != ReadResult::Success || last) {
                return result;
            }
        } catch (const UserError &) {
            return ReadResult::ConnectionBroken;
        }
    }
    return ReadResult::ConnectionBroken;
}

AgentAttempt::ReadResult AgentAttempt::handleFrame(const HeadFrame &frame)
{
    if (m_headReceived) {
        return ReadResult::Success;
    }
    m_headReceived = true;
    return m_sink.onHead(frame.head) ? ReadResult::Success : ReadResult::Abandoned;
}

AgentAttempt::ReadResult AgentAttempt::handleFrame(const PieceFrame &frame)
{
    if (frame.number < m_header.piecesDelivered) {
        return ReadResult::Success;
    }
    if (frame.number > m_header.piecesDelivered) {
        return ReadResult::ConnectionBroken;
    }
    ++m_header.piecesDelivered;
    return m_sink.onPiece(frame.data) ? ReadResult::Success : ReadResult::Abandoned;
}

AgentAttempt::ReadResult AgentAttempt::handleFrame(const KeepAliveFrame &frame)
{
    m_sink.onStatus(frame.agentStatus);
    return m_sink.onKeepAlive() ? ReadResult::Success : ReadResult::Abandoned;
}

AgentAttempt::ReadResult AgentAttempt::handleFrame(const EndFrame &frame)
{
    m_sink.onStatus(frame.agentStatus);
    const bool complete = frame.end.pieces == m_header.piecesDelivered;
    if (frame.end.outcome.kind() == OutcomeKind::Served && !complete) {
        return ReadResult::ConnectionBroken;
    }
    m_outcome = frame.end.outcome;
    return ReadResult::Success;
}

AgentAttempt::ReadResult AgentAttempt::resume()
{
    const std::string path = "/v1/calls/" + m_header.call.id + "?from=" + std::to_string(m_header.piecesDelivered);
    try {
        HttpConnection connection(m_agent, CALL_TIMEOUTS, FRAME_LIMITS);
        const HttpResponse response = connection.begin(authorizedRequest("GET", path));
        return response.status == HTTP_OK ? readFrames(connection) : ReadResult::ConnectionBroken;
    } catch (const std::runtime_error &) {
        return ReadResult::ConnectionBroken;
    }
}

void AgentAttempt::cancel()
{
    try {
        httpExchange(m_agent, authorizedRequest("DELETE", "/v1/calls/" + m_header.call.id), CANCEL_TIMEOUTS);
    } catch (const std::runtime_error &) {
        // Ignored, since the agent itself cancels a call whose response has no reader for AgentCalls::UNREAD_TIMEOUT.
        return;
    }
}

}
