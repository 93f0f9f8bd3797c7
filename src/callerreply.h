/** \file
 * Writes a response to the caller in the format that the request asked for: a stream of events, one JSON object, or
 * plain HTTP.
 */
#pragma once

#include "outcome.h"
#include "responsebuffer.h"

#include <string>
#include <variant>

namespace Cyclamenturn
{

class ServerExchange;

/**
 * A chat completion as server-sent events. The stream ends with "[DONE]" only if the response is complete.
 *
 * In this class and the next two, handleHead() and handlePiece() return false if the caller has disconnected.
 */
class ChatStreamReply
{
public:
    explicit ChatStreamReply(std::string callId);

    bool handleHead(ServerExchange &exchange, const ResponseHead &head);
    bool handlePiece(ServerExchange &exchange, const std::string &text);
    void finish(ServerExchange &exchange, const Outcome &outcome);

private:
    bool send(const std::string &data);

    std::string m_callId;
    std::ostream *m_out = nullptr;
};

/** A chat completion as one JSON object. */
class ChatObjectReply
{
public:
    explicit ChatObjectReply(std::string callId);

    bool handleHead(ServerExchange &exchange, const ResponseHead &head);
    bool handlePiece(ServerExchange &exchange, const std::string &text);
    void finish(ServerExchange &exchange, const Outcome &outcome);

private:
    std::string m_callId;
    std::string m_text;
    std::size_t m_pieces = 0;
};

/** The status, content type and body of a plain service's response, sent when complete. */
class PlainReply
{
public:
    bool handleHead(ServerExchange &exchange, const ResponseHead &head);
    bool handlePiece(ServerExchange &exchange, const std::string &text);
    void finish(ServerExchange &exchange, const Outcome &outcome);

private:
    ResponseHead m_head;
    std::string m_body;
};

using CallerReply = std::variant<ChatStreamReply, ChatObjectReply, PlainReply>;

/** Sends an error response with the outcome in its headers and JSON body. */
void replyWithError(ServerExchange &exchange, const Outcome &outcome);

}
