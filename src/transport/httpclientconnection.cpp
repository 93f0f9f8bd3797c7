/** \file
 * Implements the client side of one HTTP connection.
 */
#include "httpclientconnection.h"

namespace Cyclamenturn
{

namespace
{

/** Responses with a lower status code are interim responses. */
constexpr int FIRST_FINAL_STATUS = 200;
/** Status codes with which the parser reports an exceeded limit. */
constexpr int BODY_TOO_LARGE = 413;
constexpr int HEADER_TOO_LARGE = 431;
/** A server may send a few interim or late responses before the one that is waited for. */
constexpr std::size_t MAX_SKIPPED_RESPONSES = 16;
constexpr std::size_t MAX_SKIPPED_BYTES = 262144;

}

HttpClientConnection::HttpClientConnection(
    EventLoop &loop, const Address &address, const HttpLimits &limits, Duration connectTimeout)
    : m_loop(loop)
    , m_limits(limits)
    , m_connection(new TcpConnection(loop, address, this))
{
    m_connectTimer = m_loop.callAfter(connectTimeout, [this] {
        m_isUnusable = true;
        fail(ExchangeFailure::NotConnected);
    });
}

HttpClientConnection::~HttpClientConnection()
{
    *m_alive = false;
    m_loop.cancel(m_connectTimer);
}

std::string HttpClientConnection::beginExchange(
    const HttpRequestHead &head, std::size_t bodyBytes, ExchangeListener *listener)
{
    HttpRequestHead framedHead = head;
    if (bodyBytes > 0 || head.method == "POST" || head.method == "PUT" || head.method == "PATCH") {
        framedHead.fields.add("Content-Length", std::to_string(bodyBytes));
    }
    m_listener = listener;
    m_isHeadRequest = head.method == "HEAD";
    m_hasBody = bodyBytes > 0;
    m_parser.emplace(HttpParser::forResponse(m_limits, m_isHeadRequest));
    m_headHandled = false;
    m_isMismatched = false;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    return formatRequestHead(framedHead);
}

void HttpClientConnection::send(const HttpRequestHead &head, std::string_view body, ExchangeListener *listener)
{
    std::string bytes = beginExchange(head, body.size(), listener);
    bytes.append(body);
    if (isConnected()) {
        m_connection->write(bytes);
    } else {
        m_pendingRequest = std::move(bytes);
        m_pendingBody.reset();
    }
}

void HttpClientConnection::send(
    const HttpRequestHead &head, std::shared_ptr<const std::string> body, ExchangeListener *listener)
{
    std::string bytes = beginExchange(head, body->size(), listener);
    if (isConnected()) {
        m_connection->write(std::move(bytes), std::move(body));
    } else {
        m_pendingRequest = std::move(bytes);
        m_pendingBody = std::move(body);
    }
}

void HttpClientConnection::connected()
{
    m_loop.cancel(m_connectTimer);
    if (m_listener != nullptr && !m_listener->isStillWanted()) {
        return;
    }
    if (m_pendingBody) {
        m_connection->write(std::move(m_pendingRequest), std::move(m_pendingBody));
    } else {
        m_connection->write(m_pendingRequest);
    }
    m_pendingRequest = std::string();
}

void HttpClientConnection::dataReceived()
{
    if (m_listener == nullptr) {
        m_isUnusable = true;
        m_connection.reset();
        if (const auto handler = std::move(m_unexpectedDataHandler)) {
            handler();
        }
        return;
    }
    while (parseInput()) { }
}

bool HttpClientConnection::shouldSkipResponse()
{
    const bool interim = m_parser->response().status < FIRST_FINAL_STATUS;
    return interim || m_isMismatched;
}

bool HttpClientConnection::maySkip(std::size_t bytes, bool isDone)
{
    m_skippedBytes += bytes;
    m_skippedResponses += isDone ? 1 : 0;
    return m_skippedBytes <= MAX_SKIPPED_BYTES && m_skippedResponses <= MAX_SKIPPED_RESPONSES;
}

bool HttpClientConnection::parseInput()
{
    const auto exchangeEnded = [this, alive = m_alive] {
        return !*alive || m_listener == nullptr;
    };
    try {
        m_parser->consume(m_connection->input());
    } catch (const HttpSyntaxError &error) {
        m_listener->responseUnreadable(error.what());
        const bool isTooLarge = error.status() == BODY_TOO_LARGE || error.status() == HEADER_TOO_LARGE;
        fail(isTooLarge ? ExchangeFailure::TooLarge : ExchangeFailure::Malformed);
        return false;
    }
    if (!m_parser->isHeadDone()) {
        return false;
    }
    if (!m_headHandled) {
        m_headHandled = true;
        const HttpResponseHead &head = m_parser->response();
        const bool isFinal = head.status >= FIRST_FINAL_STATUS;
        m_isMismatched = isFinal && !m_listener->matchesRequest(head, !m_hasFinalResponse);
        m_hasFinalResponse = m_hasFinalResponse || isFinal;
        if (shouldSkipResponse()) {
            m_listener->headSkipped(head);
        } else {
            m_listener->headReceived(head);
            if (exchangeEnded()) {
                return false;
            }
        }
    }
    std::string data = m_parser->takeBody();
    const bool done = m_parser->isDone();
    if (shouldSkipResponse()) {
        if (!maySkip(data.size(), done)) {
            fail(ExchangeFailure::TooLarge);
            return false;
        }
        if (!done) {
            return false;
        }
        m_parser.emplace(HttpParser::forResponse(m_limits, m_isHeadRequest));
        m_headHandled = false;
        return !m_connection->input().empty();
    }
    if (!data.empty()) {
        m_listener->bodyReceived(std::move(data));
        if (exchangeEnded()) {
            return false;
        }
    }
    if (done) {
        // Bytes after the response belong to no request, so later data on this connection could not be trusted.
        // A next request would wait behind the rest of this one, which the server may never read.
        const bool reusable
            = m_parser->isKeepAlive() && m_connection->input().empty() && undeliveredBytes() == 0 && !m_isUnusable;
        ExchangeListener *listener = m_listener;
        m_listener = nullptr;
        listener->exchangeDone(reusable);
    }
    return false;
}

void HttpClientConnection::disconnected(DisconnectReason reason)
{
    m_isUnusable = true;
    m_loop.cancel(m_connectTimer);
    if (m_listener == nullptr) {
        return;
    }
    if (!isConnected()) {
        fail(reason == DisconnectReason::Refused ? ExchangeFailure::Refused : ExchangeFailure::NotConnected);
        return;
    }
    // A server that ends the connection before it has received the request may reset it next, so that the end of a
    // response without a length isn't known.
    const bool isComplete = reason == DisconnectReason::ClosedByPeer && undeliveredBytes() == 0 && m_headHandled
        && !shouldSkipResponse() && m_parser->finishAtEof();
    if (!isComplete) {
        fail(ExchangeFailure::ConnectionLost);
        return;
    }
    ExchangeListener *listener = m_listener;
    m_listener = nullptr;
    listener->exchangeDone(false);
}

void HttpClientConnection::fail(ExchangeFailure failure)
{
    m_isUnusable = true;
    ExchangeListener *listener = m_listener;
    m_listener = nullptr;
    if (listener != nullptr) {
        listener->exchangeFailed(failure);
    }
}

}
