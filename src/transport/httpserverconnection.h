/** \file
 * The server's side of one HTTP connection: requests come out one at a time, answers go back in their order.
 */
#pragma once

#include "httpparser.h"
#include "tcpconnection.h"

#include <functional>
#include <memory>
#include <optional>

namespace Cyclamenturn
{

class HttpServer;

/** A whole request with the time at which its first byte came. */
struct ReceivedRequest
{
    HttpRequestHead head;
    std::string body;
    TimePoint arrivedAt;
};

class HttpServerConnection : private ConnectionListener, public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, EventLoop &loop, const Poco::Net::StreamSocket &socket);
    ~HttpServerConnection() override;

    /** Answers the request in progress with a whole body. */
    void sendAnswer(HttpResponseHead head, std::string_view body);
    /** Starts an answer that is sent in pieces. */
    void beginStream(HttpResponseHead head);
    void sendPiece(std::string_view piece);
    void endStream();
    /** Cuts the connection so that the answer in progress can't be taken for a whole one. */
    void abort();

    /** Called once when the caller is gone while its request is in progress. */
    void setLeftHandler(std::function<void()> handler)
    {
        m_leftHandler = std::move(handler);
    }
    /** Called whenever the far end has taken all that was sent, until the answer in progress is complete. */
    void setDrainedHandler(std::function<void()> handler)
    {
        m_drainedHandler = std::move(handler);
    }
    std::size_t pendingOutput() const
    {
        return m_connection.pendingOutput();
    }
    bool isBusy() const
    {
        return m_busy;
    }
    /** Whether no byte of a request has come since the last answer, which is sent. */
    bool isIdle();

private:
    friend class HttpServer;

    void dataReceived() override;
    void connectionEnded(ConnectionEnd end) override;
    void outputDrained() override;

    void processInput();
    /** Returns whether another request may follow in the input. */
    bool readRequest();
    void refuse(int status, const char *reason);
    void finishAnswer();
    void addConnectionField(HttpResponseHead &head);
    void restartTimer(Duration wait);
    void timerRan();
    void remove();

    HttpServer &m_server;
    EventLoop &m_loop;
    TcpConnection m_connection;
    std::optional<HttpParser> m_parser;
    std::function<void()> m_leftHandler;
    std::function<void()> m_drainedHandler;
    EventLoop::Timer m_timer;
    TimePoint m_requestStart;
    /** A request was handed over and its answer isn't complete. */
    bool m_busy = false;
    bool m_processing = false;
    bool m_headSeen = false;
    bool m_closeAfterAnswer = false;
    bool m_closeWhenDrained = false;
    bool m_toHead = false;
};

using HttpServerConnectionPtr = std::shared_ptr<HttpServerConnection>;

}
