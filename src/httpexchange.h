/** \file
 * HTTP client with timeouts for every step and limits for every part of a response. Its exceptions distinguish requests
 * that the server cannot have handled from those that it may have handled.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Cyclamenturn
{

struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::string contentType = "application/json";
};

struct HttpResponse
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string contentType;
    std::string body;
};

struct HttpTimeouts
{
    Duration connect = milliseconds(500);
    /** Maximum time between two received parts of the response. */
    Duration receive = milliseconds(2000);
};

/** The largest body and the longest line of a body that are read. */
struct ResponseLimits
{
    std::size_t bodyBytes = std::size_t(64) << 20;
    std::size_t lineBytes = std::size_t(1) << 20;
};

/**
 * A connection to one server. Not thread-safe, except that interrupt() may be called from another thread.
 *
 * Its functions throw ConnectionRefusedError if the server cannot have handled any part of the request, and
 * ExchangeBrokenError on any other failure, also if the response is malformed, cut or larger than the limits.
 */
class HttpConnection
{
public:
    HttpConnection(const Address &address, const HttpTimeouts &timeouts, const ResponseLimits &limits = {});
    ~HttpConnection();

    /** Connects unless already connected. Only needed to check a condition after connecting and before sending. */
    void connect();

    /** Sets HttpTimeouts::receive for all following reads and writes. Connects if not yet connected. Not to be called
     * while a response is being read. */
    void setReceiveTimeout(Duration timeout);

    /** Sends a request and reads the whole response. */
    HttpResponse exchange(const HttpRequest &request);

    /** Sends a request and reads the head of the response. The body of the result is empty; read it from the
     * connection. */
    HttpResponse begin(const HttpRequest &request);
    /** Reads the rest of the body. */
    std::string readBody();
    /** Reads one line of the body. Returns false at the end of the body, on a timeout, if the connection breaks or the
     * response is malformed, and if the line or the body exceeds its limit. */
    bool readLine(std::string &line);

    /** Shuts down the connection, which ends a blocked read in another thread. */
    void interrupt();

private:
    class Session;

    void replaceSession(std::unique_ptr<Session> session);
    /** Closes the connection and throws ExchangeBrokenError. */
    [[noreturn]] void fail(const std::string &reason);

    Address m_address;
    HttpTimeouts m_timeouts;
    ResponseLimits m_limits;
    /** Guards the pointer for interrupt(). */
    std::mutex m_mutex;
    /** Null while there is no connection. */
    std::unique_ptr<Session> m_session;
};

/** Limits the memory of all responses that this process reads at the same time; small ones are read in any case. At
 * first, only each of them is limited. */
void limitResponseMemory(std::size_t bytes);

/** Performs one exchange over a new connection. */
HttpResponse httpExchange(const Address &address, const HttpRequest &request, const HttpTimeouts &timeouts);

}
