/** \file
 * The client's side of one HTTP connection: one request at a time, whose answer is handed on as it comes.
 */
#pragma once

#include "httpparser.h"
#include "tcpconnection.h"

#include <memory>
#include <optional>
#include <string>

namespace Cyclamenturn
{

enum class ExchangeFailure {
    /** No connection was made, so no byte of the request was sent. */
    NotConnected,
    /** The connection ended or was reset before the answer was whole. */
    Broken,
    /** The far end sent something that isn't an answer. */
    Malformed,
};

/** Receives one answer. The connection may be destroyed from within each call. */
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    /** Whether an answer belongs to this request; one that doesn't is left out. */
    virtual bool isOwnAnswer(const HttpResponseHead &head) = 0;
    virtual void headReceived(const HttpResponseHead &head) = 0;
    virtual void bodyReceived(std::string piece) = 0;
    /** The answer is whole. `isReusable` tells whether the connection takes another request. */
    virtual void exchangeDone(bool isReusable) = 0;
    virtual void exchangeFailed(ExchangeFailure failure) = 0;
};

class HttpClientConnection : private ConnectionListener
{
public:
    HttpClientConnection(EventLoop &loop, const Address &address, const HttpLimits &limits, Duration connectTimeout);
    ~HttpClientConnection() override;

    /** Sends a request; it waits for the connection to be made. Call again only after the exchange is done. */
    void send(const HttpRequestHead &head, std::string_view body, ExchangeListener *listener);
    /** Whether the connection was lost, or bytes came that nobody asked for, while it was idle. */
    bool isSpent() const
    {
        return m_spent;
    }
    bool isConnected() const
    {
        return m_connection.isConnected();
    }

private:
    void connected() override;
    void dataReceived() override;
    void connectionEnded(ConnectionEnd end) override;
    void fail(ExchangeFailure failure);
    /** Parses what has come; returns false when a listener destroyed this object or the exchange ended. */
    bool advance();
    bool skipForeignAnswer();

    EventLoop &m_loop;
    HttpLimits m_limits;
    TcpConnection m_connection;
    EventLoop::Timer m_connectTimer;
    std::string m_unsent;
    std::optional<HttpParser> m_parser;
    ExchangeListener *m_listener = nullptr;
    bool m_toHead = false;
    bool m_headHandled = false;
    bool m_foreign = false;
    bool m_spent = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
