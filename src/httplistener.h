/** \file
 * An HTTP server with one handler function, bounded threads, and a time limit on how long a caller may take to send
 * its request.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Poco::Net
{
class HTTPServerRequest;
class HTTPServerResponse;
}

namespace Cyclamenturn
{

/** The state of one exchange, handed to the handler. */
class HttpExchange
{
public:
    HttpExchange(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    const std::string &method() const;
    /** The path without its query. */
    const std::string &path() const
    {
        return m_path;
    }
    /** Path and query as they were sent. */
    const std::string &uri() const;
    /** A parameter of the query; empty when absent. */
    std::string query(const std::string &name) const;
    /** A header; empty when absent. */
    std::string header(const std::string &name) const;
    std::string contentType() const;

    /** Reads the whole body. Empty when it is longer than `limit` or wasn't sent whole within `timeout`. */
    std::optional<std::string> readBody(std::size_t limit, Duration timeout);

    void setHeader(const std::string &name, const std::string &value);
    /** Answers with a whole body. */
    void reply(int status, const std::string &body, const std::string &contentType = "application/json");
    /** Starts a chunked answer. */
    std::ostream &beginStream(int status, const std::string &contentType);
    /** Cuts the connection without an answer; for stand-ins that emulate a crash. */
    void drop();
    /** True once the far end has closed the connection. */
    bool peerClosed();
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
    /** Reads to the end of the body; a null `body` discards it. False when it was too long, late or cut. */
    bool readInto(std::string *body, std::size_t limit, Duration timeout);

    Poco::Net::HTTPServerRequest &m_request;
    Poco::Net::HTTPServerResponse &m_response;
    std::string m_path;
    std::string m_query;
    bool m_expectsFollowUp = false;
};

/**
 * Example:
 *     HttpListener listener({"127.0.0.1", 8080}, 64, [](HttpExchange &exchange) { exchange.reply(200, "{}"); });
 */
class HttpListener
{
public:
    using Handler = std::function<void(HttpExchange &)>;

    /** Listens at once. Throws UserError when the address is taken. */
    HttpListener(const Address &address, int threads, Handler handler);
    ~HttpListener();

    /** Closes the door: no new connection is taken; exchanges in progress go on. */
    void stopAccepting();
    /** Waits at most `timeout` for the exchanges in progress and those announced by expectFollowUp(). Returns true when
     * none is left. */
    bool waitIdle(Duration timeout);
    int inProgress() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> m_implementation;
};

}
