/** \file
 * Formats of the responses to callers.
 */
#include "callerreply.h"

#include "admission.h"
#include "jsoncodec.h"
#include "transport/serverexchange.h"

#include <cmath>

namespace Cyclamenturn
{

namespace
{

constexpr int HTTP_OK = 200;
constexpr double MICROSECONDS_PER_SECOND = 1e6;

Json::Value errorJson(const Outcome &outcome)
{
    Json::Value out;
    out["error"]["type"] = toString(outcome.kind());
    out["error"]["reason"] = toString(outcome.reason());
    if (outcome.retryAfter()) {
        out["error"]["retry_after_ms"] = Json::Int64(toMilliseconds(*outcome.retryAfter()));
    }
    return out;
}

void setOutcomeHeaders(ServerExchange &exchange, const Outcome &outcome)
{
    exchange.setHeader("X-Outcome", toString(outcome.kind()));
    exchange.setHeader("X-Reason", toString(outcome.reason()));
    if (outcome.retryAfter()) {
        const double seconds = static_cast<double>(outcome.retryAfter()->count()) / MICROSECONDS_PER_SECOND;
        exchange.setHeader("Retry-After", std::to_string(static_cast<long long>(std::ceil(seconds))));
    }
}

Json::Value chunkJson(const std::string &callId)
{
    Json::Value out;
    out["id"] = callId;
    out["object"] = "chat.completion.chunk";
    out["choices"][0]["index"] = 0;
    out["choices"][0]["delta"] = Json::Value(Json::objectValue);
    out["choices"][0]["finish_reason"] = Json::Value();
    return out;
}

}

void replyWithError(ServerExchange &exchange, const Outcome &outcome)
{
    setOutcomeHeaders(exchange, outcome);
    exchange.reply(httpStatusOf(outcome), toJsonText(errorJson(outcome)));
}

ChatStreamReply::ChatStreamReply(std::string callId)
    : m_callId(std::move(callId))
{
}

bool ChatStreamReply::handleHead(ServerExchange &, const ResponseHead &)
{
    return true;
}

bool ChatStreamReply::send(const std::string &data)
{
    *m_out << "data: " << data << "\n\n" << std::flush;
    return m_out->good();
}

bool ChatStreamReply::handlePiece(ServerExchange &exchange, const std::string &text)
{
    if (!m_out) {
        m_out = &exchange.beginStream(HTTP_OK, "text/event-stream");
    }
    Json::Value chunk = chunkJson(m_callId);
    chunk["choices"][0]["delta"]["content"] = text;
    return send(toJsonText(chunk));
}

void ChatStreamReply::finish(ServerExchange &exchange, const Outcome &outcome)
{
    if (outcome.kind() != OutcomeKind::Served) {
        if (!m_out) {
            replyWithError(exchange, outcome);
        } else {
            send(toJsonText(errorJson(outcome)));
        }
        return;
    }
    if (!m_out) {
        m_out = &exchange.beginStream(HTTP_OK, "text/event-stream");
    }
    Json::Value chunk = chunkJson(m_callId);
    chunk["choices"][0]["finish_reason"] = "stop";
    send(toJsonText(chunk));
    send("[DONE]");
}

ChatObjectReply::ChatObjectReply(std::string callId)
    : m_callId(std::move(callId))
{
}

bool ChatObjectReply::handleHead(ServerExchange &, const ResponseHead &)
{
    return true;
}

bool ChatObjectReply::handlePiece(ServerExchange &, const std::string &text)
{
    m_text += text;
    ++m_pieces;
    return true;
}

void ChatObjectReply::finish(ServerExchange &exchange, const Outcome &outcome)
{
    if (outcome.kind() != OutcomeKind::Served) {
        replyWithError(exchange, outcome);
        return;
    }
    Json::Value out;
    out["id"] = m_callId;
    out["object"] = "chat.completion";
    out["choices"][0]["index"] = 0;
    out["choices"][0]["message"]["role"] = "assistant";
    out["choices"][0]["message"]["content"] = m_text;
    out["choices"][0]["finish_reason"] = "stop";
    out["usage"]["completion_tokens"] = Json::UInt64(m_pieces);
    setOutcomeHeaders(exchange, outcome);
    exchange.reply(HTTP_OK, toJsonText(out));
}

bool PlainReply::handleHead(ServerExchange &, const ResponseHead &head)
{
    m_head = head;
    return true;
}

bool PlainReply::handlePiece(ServerExchange &, const std::string &text)
{
    m_body += text;
    return true;
}

void PlainReply::finish(ServerExchange &exchange, const Outcome &outcome)
{
    const bool hasResponse = outcome.kind() == OutcomeKind::Served || outcome.kind() == OutcomeKind::AlreadyRun;
    if (!hasResponse) {
        replyWithError(exchange, outcome);
        return;
    }
    setOutcomeHeaders(exchange, outcome);
    exchange.reply(m_head.status, m_body, m_head.contentType);
}

}
