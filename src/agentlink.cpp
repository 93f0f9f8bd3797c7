/** \file
 * An attempt at one agent.
 */
#include "agentlink.h"

#include "errors.h"
#include "fleetkey.h"
#include "jsoncodec.h"

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
/** An agent that answers a handshake later is taken as paused; nothing of the call has been sent to it. */
constexpr Duration HANDSHAKE_TIMEOUT = milliseconds(250);
/** Longer than several beats of the agent. */
constexpr HttpTimeouts CALL_TIMEOUTS{milliseconds(300), milliseconds(2000)};
constexpr HttpTimeouts CANCEL_TIMEOUTS{milliseconds(200), milliseconds(200)};
constexpr int MOST_RESUMES = 3;

}

AgentLink::AgentLink(
    Address agent, std::shared_ptr<FleetKey> fleetKey, CallHeader header, std::string body, AttemptSink sink)
    : m_agent(std::move(agent))
    , m_fleetKey(std::move(fleetKey))
    , m_header(std::move(header))
    , m_body(std::move(body))
    , m_sink(std::move(sink))
{
}

AgentLink::~AgentLink() = default;

HttpRequest AgentLink::authorized(const std::string &method, const std::string &path) const
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers["Authorization"] = "Bearer " + m_fleetKey->current();
    return request;
}

AttemptResult AgentLink::run(bool handshake)
{
    HttpConnection connection(m_agent, CALL_TIMEOUTS);
    if (handshake && !shakeHands(connection)) {
        return AttemptNeverSent();
    }
    ReadEnd end = ReadEnd::Broken;
    try {
        HttpRequest request = authorized("POST", "/v1/calls");
        request.headers["X-Call"] = m_header.encode();
        request.body = m_body;
        request.contentType = "application/octet-stream";
        const HttpReply reply = connection.begin(request);
        if (reply.status != HTTP_OK) {
            // The agent refuses the message itself before it looks at the call.
            return AttemptAnswered{Outcome::notRun(RefusalReason::BadRequest)};
        }
        end = readFrames(connection);
    } catch (const ConnectionRefusedError &) {
        return AttemptNeverSent();
    } catch (const ExchangeBrokenError &) {
        end = ReadEnd::Broken;
    }
    for (int i = 0; i < MOST_RESUMES && end == ReadEnd::Broken; ++i) {
        end = resume();
    }
    if (end == ReadEnd::GivenUp) {
        cancel();
        return AttemptAnswered{Outcome::unknown(RefusalReason::Cancelled)};
    }
    if (end == ReadEnd::Finished && m_outcome) {
        return AttemptAnswered{*m_outcome};
    }
    return AttemptUnanswered();
}

bool AgentLink::shakeHands(HttpConnection &connection)
{
    try {
        HttpRequest request = authorized("GET", "/v1/handshake");
        request.headers["X-From"] = toString(m_header.from);
        request.headers["X-Revision"] = std::to_string(m_header.revision);
        connection.setReceiveTimeout(HANDSHAKE_TIMEOUT);
        const HttpReply reply = connection.exchange(request);
        if (reply.status != HTTP_OK) {
            return false;
        }
        m_sink.onFigures(AgentStatus::fromJson(parseJson(reply.body)));
        connection.setReceiveTimeout(CALL_TIMEOUTS.receive);
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

AgentLink::ReadEnd AgentLink::readFrames(HttpConnection &connection)
{
    std::string line;
    while (connection.readLine(line)) {
        try {
            const Frame frame = decodeFrame(line);
            const bool last = std::holds_alternative<EndFrame>(frame);
            const ReadEnd end = std::visit([this](const auto &item) { return takeFrame(item); }, frame);
            if (end != ReadEnd::Finished || last) {
                return end;
            }
        } catch (const UserError &) {
            return ReadEnd::Broken;
        }
    }
    return ReadEnd::Broken;
}

AgentLink::ReadEnd AgentLink::takeFrame(const HeadFrame &frame)
{
    if (m_knowsHead) {
        return ReadEnd::Finished;
    }
    m_knowsHead = true;
    return m_sink.onHead(frame.head) ? ReadEnd::Finished : ReadEnd::GivenUp;
}

AgentLink::ReadEnd AgentLink::takeFrame(const PieceFrame &frame)
{
    if (frame.number < m_header.piecesDelivered) {
        return ReadEnd::Finished;
    }
    if (frame.number > m_header.piecesDelivered) {
        return ReadEnd::Broken;
    }
    ++m_header.piecesDelivered;
    return m_sink.onPiece(frame.data) ? ReadEnd::Finished : ReadEnd::GivenUp;
}

AgentLink::ReadEnd AgentLink::takeFrame(const HeartbeatFrame &frame)
{
    m_sink.onFigures(frame.agentStatus);
    return m_sink.onBeat() ? ReadEnd::Finished : ReadEnd::GivenUp;
}

AgentLink::ReadEnd AgentLink::takeFrame(const EndFrame &frame)
{
    m_sink.onFigures(frame.agentStatus);
    const bool whole = frame.end.pieces == m_header.piecesDelivered;
    if (frame.end.outcome.kind() == OutcomeKind::Served && !whole) {
        return ReadEnd::Broken;
    }
    m_outcome = frame.end.outcome;
    return ReadEnd::Finished;
}

AgentLink::ReadEnd AgentLink::resume()
{
    const std::string path = "/v1/calls/" + m_header.call.id + "?from=" + std::to_string(m_header.piecesDelivered);
    try {
        HttpConnection connection(m_agent, CALL_TIMEOUTS);
        const HttpReply reply = connection.begin(authorized("GET", path));
        return reply.status == HTTP_OK ? readFrames(connection) : ReadEnd::Broken;
    } catch (const std::runtime_error &) {
        return ReadEnd::Broken;
    }
}

void AgentLink::cancel()
{
    try {
        httpExchange(m_agent, authorized("DELETE", "/v1/calls/" + m_header.call.id), CANCEL_TIMEOUTS);
    } catch (const std::runtime_error &) {
        // The agent cancels by itself a call that nobody reads.
        return;
    }
}

}
