/** \file
 * The client's side of one HTTP connection.
 */
#include "httpclientconnection.h"

namespace Cyclamenturn
{

namespace
{

constexpr int FIRST_FINAL_STATUS = 200;

}

HttpClientConnection::HttpClientConnection(
    EventLoop &loop, const Address &address, const HttpLimits &limits, Duration connectTimeout)
    : m_loop(loop)
    , m_limits(limits)
    , m_connection(loop, address, this)
{
    m_connectTimer = m_loop.callAfter(connectTimeout, [this] {
        m_spent = true;
        fail(ExchangeFailure::NotConnected);
    });
}

HttpClientConnection::~HttpClientConnection()
{
    *m_alive = false;
    m_loop.cancel(m_connectTimer);
}

void HttpClientConnection::send(const HttpRequestHead &head, std::string_view body, ExchangeListener *listener)
{
    HttpRequestHead framed = head;
    if (!body.empty() || head.method == "POST" || head.method == "PUT" || head.method == "PATCH") {
        framed.fields.add("Content-Length", std::to_string(body.size()));
    }
    std::string bytes = formatRequestHead(framed);
    bytes.append(body);
    m_listener = listener;
    m_toHead = head.method == "HEAD";
    m_parser.emplace(HttpParser::forResponse(m_limits, m_toHead));
    m_headHandled = false;
    m_foreign = false;
    if (m_connection.isConnected()) {
        m_connection.write(bytes);
    } else {
        m_unsent = std::move(bytes);
    }
}

void HttpClientConnection::connected()
{
    m_loop.cancel(m_connectTimer);
    m_connection.write(m_unsent);
    m_unsent.clear();
}

void HttpClientConnection::dataReceived()
{
    if (m_listener == nullptr) {
        m_spent = true;
        m_connection.input().clear();
        return;
    }
    while (advance()) { }
}

bool HttpClientConnection::skipForeignAnswer()
{
    const bool interim = m_parser->response().status < FIRST_FINAL_STATUS;
    return interim || m_foreign;
}

bool HttpClientConnection::advance()
{
    const auto isOver = [this, alive = m_alive] {
        return !*alive || m_listener == nullptr;
    };
    try {
        m_parser->consume(m_connection.input());
    } catch (const HttpSyntaxError &) {
        fail(ExchangeFailure::Malformed);
        return false;
    }
    if (!m_parser->isHeadDone()) {
        return false;
    }
    if (!m_headHandled) {
        m_headHandled = true;
        const HttpResponseHead &head = m_parser->response();
        m_foreign = head.status >= FIRST_FINAL_STATUS && !m_listener->isOwnAnswer(head);
        if (!skipForeignAnswer()) {
            m_listener->headReceived(head);
            if (isOver()) {
                return false;
            }
        }
    }
    std::string piece = m_parser->takeBody();
    const bool done = m_parser->isDone();
    if (skipForeignAnswer()) {
        if (!done) {
            return false;
        }
        m_parser.emplace(HttpParser::forResponse(m_limits, m_toHead));
        m_headHandled = false;
        return !m_connection.input().empty();
    }
    if (!piece.empty()) {
        m_listener->bodyReceived(std::move(piece));
        if (isOver()) {
            return false;
        }
    }
    if (done) {
        // Bytes behind the answer belong to no request, so nothing that follows on this connection can be trusted.
        const bool reusable = m_parser->keepsConnection() && m_connection.input().empty() && !m_spent;
        ExchangeListener *listener = m_listener;
        m_listener = nullptr;
        listener->exchangeDone(reusable);
    }
    return false;
}

void HttpClientConnection::connectionEnded(ConnectionEnd end)
{
    m_spent = true;
    m_loop.cancel(m_connectTimer);
    if (m_listener == nullptr) {
        return;
    }
    if (!m_connection.isConnected()) {
        fail(ExchangeFailure::NotConnected);
        return;
    }
    const bool whole = end == ConnectionEnd::Closed && m_headHandled && !skipForeignAnswer() && m_parser->finishAtEnd();
    if (!whole) {
        fail(ExchangeFailure::Broken);
        return;
    }
    ExchangeListener *listener = m_listener;
    m_listener = nullptr;
    listener->exchangeDone(false);
}

void HttpClientConnection::fail(ExchangeFailure failure)
{
    m_spent = true;
    ExchangeListener *listener = m_listener;
    m_listener = nullptr;
    if (listener != nullptr) {
        listener->exchangeFailed(failure);
    }
}

}
