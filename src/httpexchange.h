/** \file
 * HTTP client with timeouts for every step. Its exceptions distinguish requests that the server cannot have handled
 * from those that it may have handled.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <istream>
#include <map>
#include <memory>
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

/**
 * A connection to one server. Not thread-safe, except that interrupt() may be called from another thread.
 *
 * Its functions throw ConnectionRefusedError if the server cannot have handled any part of the request, and
 * ExchangeBrokenError on any other failure.
 */
class HttpConnection
{
public:
    HttpConnection(const Address &address, const HttpTimeouts &timeouts);
    ~HttpConnection();

    /** Connects unless already connected. Only needed to check a condition after connecting and before sending. */
    void connect();

    /** Sets HttpTimeouts::receive for all following reads and writes. Connects if not yet connected. */
    void setReceiveTimeout(Duration timeout);

    /** Sends a request and reads the whole response. */
    HttpResponse exchange(const HttpRequest &request);

    /** Sends a request and reads the head of the response. The body of the result is empty; read it from stream(). */
    HttpResponse begin(const HttpRequest &request);
    std::istream &stream();

    /** Reads one line of the body. Returns false at the end of the body, on a timeout, and if the connection breaks. */
    bool readLine(std::string &line);

    /** Shuts down the connection, which ends a blocked read in another thread. */
    void interrupt();

private:
    class Session;

    Address m_address;
    HttpTimeouts m_timeouts;
    std::unique_ptr<Session> m_session;
    std::istream *m_stream = nullptr;
};

/** Performs one exchange over a new connection. */
HttpResponse httpExchange(const Address &address, const HttpRequest &request, const HttpTimeouts &timeouts);

}
