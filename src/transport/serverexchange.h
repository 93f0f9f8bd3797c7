/** \file
 * One request and its response, as seen by a handler that runs on a thread of its own.
 */
#pragma once

#include "callbackqueue.h"
#include "httpserverconnection.h"

#include <memory>
#include <optional>
#include <ostream>
#include <string>

namespace Cyclamenturn
{

/**
 * Must be used by one handler thread only. All output is passed to the network thread, which owns the connection.
 */
class ServerExchange
{
public:
    ServerExchange(CallbackQueue &callbackQueue, HttpServerConnectionPtr connection, ReceivedRequest request);
    ~ServerExchange();

    const std::string &method() const
    {
        return m_request.head.method;
    }
    /** The path without its query. */
    const std::string &path() const
    {
        return m_path;
    }
    /** Path and query as received. */
    const std::string &uri() const
    {
        return m_request.head.target;
    }
    /** Value of a query parameter; empty if absent. */
    std::string query(const std::string &name) const;
    /** Value of a header field; empty if absent. */
    std::string header(const std::string &name) const;
    std::string contentType() const
    {
        return header("Content-Type");
    }
    /** Moves out the body. Returns nullopt if it is longer than `limit` bytes. */
    std::optional<std::string> readBody(std::size_t limit);

    void setHeader(const std::string &name, const std::string &value);
    /** Sends a complete response. */
    void reply(int status, const std::string &body, const std::string &contentType = "application/json");
    /**
     * Starts a chunked response. Each flush of the stream sends a chunk, and blocks while too much of the response is
     * unsent because the client reads slowly. The stream becomes bad when the client has disconnected.
     */
    std::ostream &beginStream(int status, const std::string &contentType);
    bool isStreaming() const
    {
        return m_stream != nullptr;
    }
    /**
     * Resets the connection, so that the client can't mistake the response for a complete one. Stand-ins also use it to
     * emulate a crash.
     */
    void abort();
    /**
     * Completes the response. Sends status 500 if no response was started. No other function may be called afterwards.
     */
    void finish();
    /** Whether the connection has ended before the response was complete. */
    bool isDisconnected() const;
    /** Announces that the client sends another request on this connection at once, so that waitIdle() waits for it. */
    void expectFollowUp()
    {
        m_expectsFollowUp = true;
    }
    bool expectsFollowUp() const
    {
        return m_expectsFollowUp;
    }

private:
    class Channel;
    class ChunkBuffer;

    HttpResponseHead responseHead(int status, const std::string &contentType);

    ReceivedRequest m_request;
    std::string m_path;
    std::string m_query;
    HttpFields m_fields;
    std::shared_ptr<Channel> m_channel;
    std::unique_ptr<ChunkBuffer> m_buffer;
    std::unique_ptr<std::ostream> m_stream;
    bool m_responseStarted = false;
    bool m_expectsFollowUp = false;
};

}
