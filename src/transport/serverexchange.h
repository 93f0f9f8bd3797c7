/** \file
 * One request and its answer, as a handler on a thread of its own sees them.
 */
#pragma once

#include "httpserverconnection.h"
#include "loopinbox.h"

#include <memory>
#include <optional>
#include <ostream>
#include <string>

namespace Cyclamenturn
{

/**
 * Used by one handler thread. What it sends is handed to the network thread, which owns the connection.
 */
class ServerExchange
{
public:
    ServerExchange(LoopInbox &inbox, HttpServerConnectionPtr connection, ReceivedRequest request);
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
    /** Path and query as they were sent. */
    const std::string &uri() const
    {
        return m_request.head.target;
    }
    /** A parameter of the query; empty when absent. */
    std::string query(const std::string &name) const;
    /** A header; empty when absent. */
    std::string header(const std::string &name) const;
    std::string contentType() const
    {
        return header("Content-Type");
    }
    /** The whole body; empty when it is longer than `limit`. */
    std::optional<std::string> readBody(std::size_t limit);

    void setHeader(const std::string &name, const std::string &value);
    /** Answers with a whole body. */
    void reply(int status, const std::string &body, const std::string &contentType = "application/json");
    /**
     * Starts a chunked answer; each flush sends a chunk and waits while the far end is slow to take it. The stream
     * turns bad when the far end is gone.
     */
    std::ostream &beginStream(int status, const std::string &contentType);
    bool isStreaming() const
    {
        return m_stream != nullptr;
    }
    /** Cuts the connection without an answer; for stand-ins that emulate a crash. */
    void drop();
    /** Completes the answer; one that was never begun becomes an internal error. No other call follows. */
    void finish();
    /** True once the far end has closed the connection. */
    bool peerClosed() const;
    /** The far end sends another request on this connection at once, so a stop waits for it. */
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
    class PieceBuffer;

    HttpResponseHead responseHead(int status, const std::string &contentType);

    ReceivedRequest m_request;
    std::string m_path;
    std::string m_query;
    HttpFields m_fields;
    std::shared_ptr<Channel> m_channel;
    std::unique_ptr<PieceBuffer> m_buffer;
    std::unique_ptr<std::ostream> m_stream;
    bool m_answered = false;
    bool m_expectsFollowUp = false;
};

}
