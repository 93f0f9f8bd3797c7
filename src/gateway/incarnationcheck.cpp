/** \file
 * Check of an endpoint's incarnation.
 */
#include "incarnationcheck.h"

#include "messagecodec.h"

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
/** A report lists the requests that run, with some 50 bytes each. */
constexpr std::size_t MAX_BODY_BYTES = 262144;

}

IncarnationCheck::IncarnationCheck(EventLoop &loop, const MessageCodec &messages, EndpointRecord expected,
    std::unique_ptr<EndpointConnection> connection, Handler handler)
    : m_loop(loop)
    , m_messages(messages)
    , m_expected(std::move(expected))
    , m_connection(std::move(connection))
    , m_handler(std::move(handler))
{
    HttpRequestHead question = m_messages.incarnationRequest();
    question.fields.add("Host", toString(m_expected.address));
    m_timer = m_loop.callAfter(TIMEOUT, [this] { finish(Result::Failed); });
    m_connection->send(question, "", this);
}

IncarnationCheck::~IncarnationCheck()
{
    m_loop.cancel(m_timer);
}

bool IncarnationCheck::matchesRequest(const HttpResponseHead &head, bool)
{
    // The question has no id, so a response that names one is to an earlier request.
    return m_messages.decodeResponse(head).attemptId.empty();
}

void IncarnationCheck::headReceived(const HttpResponseHead &head)
{
    m_status = head.status;
}

void IncarnationCheck::bodyReceived(std::string data)
{
    m_body += data;
    if (m_body.size() > MAX_BODY_BYTES) {
        finish(Result::Failed);
    }
}

IncarnationCheck::Result IncarnationCheck::judge()
{
    if (m_status == NOT_FOUND) {
        return Result::NotStated;
    }
    const auto startedAt = m_status == OK ? m_messages.decodeIncarnation(m_body) : std::nullopt;
    if (!startedAt) {
        return Result::Failed;
    }
    m_statedStartMs = *startedAt;
    return m_statedStartMs == m_expected.startedAtMs ? Result::Same : Result::Other;
}

void IncarnationCheck::exchangeDone(bool isReusable)
{
    if (!isReusable) {
        m_connection.reset();
    }
    finish(judge());
}

void IncarnationCheck::exchangeFailed(ExchangeFailure failure)
{
    if (failure == ExchangeFailure::Refused || failure == ExchangeFailure::NotConnected) {
        m_connectFailure = failure;
    }
    finish(Result::Failed);
}

void IncarnationCheck::finish(Result result)
{
    m_loop.cancel(m_timer);
    const Handler handler = std::move(m_handler);
    handler(result, std::move(m_connection));
}

const char *toString(IncarnationCheck::Result result)
{
    switch (result) {
    case IncarnationCheck::Result::Same:
        return "same";
    case IncarnationCheck::Result::Other:
        return "other";
    case IncarnationCheck::Result::NotStated:
        return "not_stated";
    case IncarnationCheck::Result::Failed:
        return "failed";
    }
    return "";
}

}
