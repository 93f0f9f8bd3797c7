/** \file
 * Writes an answer to the caller in the form that the request asked for.
 */
#pragma once

#include "answerbuffer.h"
#include "outcome.h"

#include <string>
#include <variant>

namespace Cyclamenturn
{

class ServerExchange;

/** Chat completions as server-sent events; ends in "[DONE]" only when the answer is whole. */
class ChatStreamReply
{
public:
    explicit ChatStreamReply(std::string callId);

    bool head(ServerExchange &exchange, const AnswerHead &head);
    bool piece(ServerExchange &exchange, const std::string &text);
    void finish(ServerExchange &exchange, const Outcome &outcome);

private:
    bool send(const std::string &data);

    std::string m_callId;
    std::ostream *m_out = nullptr;
};

/** Chat completions as one JSON object. */
class ChatWholeReply
{
public:
    explicit ChatWholeReply(std::string callId);

    bool head(ServerExchange &exchange, const AnswerHead &head);
    bool piece(ServerExchange &exchange, const std::string &text);
    void finish(ServerExchange &exchange, const Outcome &outcome);

private:
    std::string m_callId;
    std::string m_text;
    std::size_t m_pieces = 0;
};

/** The answer of a plain service with its status, type and body. */
class PlainReply
{
public:
    bool head(ServerExchange &exchange, const AnswerHead &head);
    bool piece(ServerExchange &exchange, const std::string &text);
    void finish(ServerExchange &exchange, const Outcome &outcome);

private:
    AnswerHead m_head;
    std::string m_body;
};

using CallerReply = std::variant<ChatStreamReply, ChatWholeReply, PlainReply>;

/** Answers with a typed error body and the headers that tell the outcome. */
void replyWithError(ServerExchange &exchange, const Outcome &outcome);

}
