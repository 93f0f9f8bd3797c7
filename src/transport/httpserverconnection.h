/** \file
 * Server side of one HTTP connection. Requests are processed one at a time, and responses are sent in the same order.
 */
#pragma once

#include "httpparser.h"
#include "requestmemory.h"
#include "tcpconnection.h"

#include <functional>
#include <memory>
#include <optional>

namespace Cyclamenturn
{

class HttpServer;

/** A complete request. */
struct ReceivedRequest
{
    HttpRequestHead head;
    std::string body;
    /** The earliest time at which the request may have arrived. */
    TimePoint arrivedAfter;
    /** Monotonic time at which the server started to read the request; not before `arrivedAfter`. */
    TimePoint readAt;
    /** Counts the memory of the request as long as it lives. */
    RequestMemory::Hold hold;
};

class HttpServerConnection : private ConnectionListener,
                             private RequestMemoryUser,
                             public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(HttpServer &server, EventLoop &loop, const Poco::Net::StreamSocket &socket);
    ~HttpServerConnection() override;

    /** Sends a complete response to the request in progress. */
    void sendResponse(HttpResponseHead head, std::string_view body);
    /** Starts a chunked response, which sendChunk() continues and endStream() completes. */
    void beginStream(HttpResponseHead head);
    /** Sends a chunk, or aborts the connection if the client reads too slowly. Does nothing for empty data. */
    void sendChunk(std::string_view data);
    void endStream();
    /** Resets the connection, so that the client can't mistake the response in progress for a complete one. */
    void abort();

    /** Sets the function that is called once if the connection ends while its request is in progress. */
    void setDisconnectHandler(std::function<void()> handler)
    {
        m_disconnectHandler = std::move(handler);
    }
    /**
     * Sets the function that is called whenever buffered output has been passed to the operating system completely,
     * until the response in progress is complete.
     */
    void setOutputDrainedHandler(std::function<void()> handler)
    {
        m_outputDrainedHandler = std::move(handler);
    }
    std::size_t pendingOutput() const
    {
        return m_connection.pendingOutput();
    }
    /** Whether the client has closed the connection, by what the operating system knows now. */
    bool isClosedByClient()
    {
        return m_connection.isClosedByPeer();
    }
    bool isBusy() const
    {
        return m_busy;
    }
    /** Whether no byte of a request was received since the last response, and that response was sent completely. */
    bool isIdle();

private:
    friend class HttpServer;

    /** Whether the connection waits for the rest of a request. */
    bool isRequestIncomplete() const
    {
        return !m_busy && !m_closeWhenOutputDrained && m_parser;
    }
    /** When the connection was accepted, its last request was read or its last response ended. */
    TimePoint lastChangeAt() const
    {
        return m_lastChangeAt;
    }
    /** Refuses the request that isn't complete, or that hasn't begun, and closes the connection. */
    void refuseForLimit(const char *reason);
    /** Reads what arrived before the server took the connection. */
    void readArrived()
    {
        m_connection.receiveArrived();
    }
    void dataReceived() override;
    void disconnected(DisconnectReason reason) override;
    void outputDrained() override;
    void outputReduced() override
    {
        updateMemory();
    }
    void giveWay() override;
    WorkKind workKind() const override
    {
        return m_busy ? WorkKind::ClientClose : WorkKind::NewRequest;
    }

    void processInput();
    /** Whether the next request may be read: the client has read the responses to the former ones, or nearly so. */
    bool mayReadRequest() const;
    /** Tells the account what the connection takes, and lets connections give way if that is too much. */
    void updateMemory();
    /** Passes a complete request to the server, or refuses it if there is no memory for it. */
    void handleRequest();
    /** Parses the input and passes a complete request to the server. Returns whether the input may hold another one. */
    bool readRequest();
    /** Sends an error response with `reason` as its body, and closes the connection afterwards. */
    void refuse(int status, const char *reason);
    void finishResponse();
    /** Closes the connection after its last response. */
    void closeAfterOutput();
    void addConnectionField(HttpResponseHead &head);
    void restartTimer(Duration timeout);
    void timerExpired();
    void remove();

    HttpServer &m_server;
    /** The server's account, which the connection may outlive. */
    std::shared_ptr<RequestMemory> m_account;
    EventLoop &m_loop;
    TcpConnection m_connection;
    std::optional<HttpParser> m_parser;
    std::function<void()> m_disconnectHandler;
    std::function<void()> m_outputDrainedHandler;
    EventLoop::Timer m_timer;
    TimePoint m_requestArrivedAfter;
    TimePoint m_requestReadAt;
    TimePoint m_lastChangeAt;
    /** What the account knows: the bytes, and whether they give way last. */
    std::size_t m_accountedBytes = 0;
    bool m_givesWayLast = false;
    /** A request was passed to the server, or refused, and its response is not complete. */
    bool m_busy = false;
    /** processInput() is running. A handler may send its response at once, which calls processInput() again. */
    bool m_processing = false;
    bool m_headReceived = false;
    bool m_closeAfterResponse = false;
    bool m_closeWhenOutputDrained = false;
    bool m_isHeadRequest = false;
    /** The client may still be sending the request that was refused. */
    bool m_isRefused = false;
    /** The server has forgotten the connection, which is destroyed soon. */
    bool m_isRemoved = false;
};

using HttpServerConnectionPtr = std::shared_ptr<HttpServerConnection>;

}
