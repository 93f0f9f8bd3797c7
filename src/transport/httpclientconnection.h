/** \file
 * Client side of one HTTP connection. It sends one request at a time and passes the response to a listener as it is
 * received.
 */
#pragma once

#include "httpparser.h"
#include "tcpconnection.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Cyclamenturn
{

enum class ExchangeFailure {
    /** No connection was established, so no byte of the request was sent. */
    NotConnected,
    /** The same, since nothing listens at the address. */
    Refused,
    /** The connection was closed or reset before the response was complete. */
    ConnectionLost,
    /** The server sent data that is not a valid HTTP response. */
    Malformed,
    /** The response exceeds a limit of its size, or was preceded by too much that belongs to other requests. */
    TooLarge,
};

/**
 * Receives one response. The listener may destroy the connection from within any of these functions except
 * matchesRequest(), headSkipped() and responseUnreadable().
 */
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    /**
     * Returns whether the request is still to be sent now that the connection is established. When it returns false, it
     * may have destroyed the connection.
     */
    virtual bool isStillWanted()
    {
        return true;
    }
    /**
     * Returns whether a final response belongs to the current request. Responses to other requests are skipped.
     * `isFirst` tells that no final response was received on the connection before, so that this one can't repeat one
     * to an earlier request.
     */
    virtual bool matchesRequest(const HttpResponseHead &head, bool isFirst) = 0;
    /** The head of a response that is skipped: an interim one, or one to another request. */
    virtual void headSkipped(const HttpResponseHead &)
    {
    }
    /** The response is malformed or too large; exchangeFailed() follows. */
    virtual void responseUnreadable(const char *)
    {
    }
    virtual void headReceived(const HttpResponseHead &head) = 0;
    /** Called for each part of the body as it is received. */
    virtual void bodyReceived(std::string data) = 0;
    /** The response is complete. `isReusable` tells whether the connection can be used for another request. */
    virtual void exchangeDone(bool isReusable) = 0;
    virtual void exchangeFailed(ExchangeFailure failure) = 0;
};

class HttpClientConnection : private ConnectionListener
{
public:
    HttpClientConnection(EventLoop &loop, const Address &address, const HttpLimits &limits, Duration connectTimeout);
    ~HttpClientConnection() override;

    /**
     * Sends a request, as soon as the connection is established. The next request may be sent only after
     * ExchangeListener::exchangeDone().
     */
    void send(const HttpRequestHead &head, std::string_view body, ExchangeListener *listener);
    /** The same with a body that isn't copied. */
    void send(const HttpRequestHead &head, std::shared_ptr<const std::string> body, ExchangeListener *listener);
    /**
     * Returns whether the connection can't be used for another request: it failed, or it received bytes while no
     * request was in progress.
     */
    bool isUnusable() const
    {
        return m_isUnusable;
    }
    bool isConnected() const
    {
        return m_connection && m_connection->isConnected();
    }
    /** Number of bytes of the request that wait in this process because the server hasn't made room for them. */
    std::size_t unsentBytes() const
    {
        return m_connection ? m_connection->pendingOutput() : 0;
    }
    /** Number of bytes of the request that the server's system hasn't received. Not 0 after a response that was sent
     * before the request was read. */
    std::size_t undeliveredBytes() const
    {
        return m_connection && m_hasBody ? m_connection->undeliveredOutput() : unsentBytes();
    }
    /** `handler` is called when bytes are received while no request is in progress; the connection is closed then. The
     * handler may destroy it. */
    void setUnexpectedDataHandler(std::function<void()> handler)
    {
        m_unexpectedDataHandler = std::move(handler);
    }

private:
    /** Prepares for the response to a request. Returns the request's head with the fields that frame the body. */
    std::string beginExchange(const HttpRequestHead &head, std::size_t bodyBytes, ExchangeListener *listener);
    void connected() override;
    void dataReceived() override;
    void disconnected(DisconnectReason reason) override;
    WorkKind workKind() const override
    {
        return WorkKind::Response;
    }
    void fail(ExchangeFailure failure);
    /**
     * Parses the received bytes. Returns true if a response was skipped and more bytes remain to be parsed. After a
     * return of false, the listener may have destroyed this object.
     */
    bool parseInput();
    /** Counts a part of a response that is skipped. Returns false if the server sends too many of them. */
    bool maySkip(std::size_t bytes, bool isDone);
    /** Returns whether the current response is interim (1xx) or belongs to another request. */
    bool shouldSkipResponse();

    EventLoop &m_loop;
    HttpLimits m_limits;
    /** Null once it was closed because of unexpected bytes. */
    std::unique_ptr<TcpConnection> m_connection;
    std::function<void()> m_unexpectedDataHandler;
    EventLoop::Timer m_connectTimer;
    /** Request to be sent once the connection is established. */
    std::string m_pendingRequest;
    /** Follows m_pendingRequest; may be null. */
    std::shared_ptr<const std::string> m_pendingBody;
    std::optional<HttpParser> m_parser;
    ExchangeListener *m_listener = nullptr;
    bool m_isHeadRequest = false;
    /** Whether the request has a body; any server makes room for a head. */
    bool m_hasBody = false;
    bool m_headHandled = false;
    /** The current response belongs to another request. */
    bool m_isMismatched = false;
    bool m_isUnusable = false;
    /** A final response was received, to whichever request. */
    bool m_hasFinalResponse = false;
    /** Responses skipped in the current exchange, and bytes of their bodies. */
    std::size_t m_skippedResponses = 0;
    std::size_t m_skippedBytes = 0;
    /** Set to false by the destructor, to detect that the listener has destroyed this object. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
