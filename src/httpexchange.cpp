/** \file
 * The HTTP client, implemented with Poco::Net.
 */
#include "httpexchange.h"

#include "errors.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

namespace Cyclamenturn
{

namespace
{

/** Maximum size of a response body that is read into memory. */
constexpr std::size_t MAX_RESPONSE_BYTES = 64 << 20;

/** Reads up to MAX_RESPONSE_BYTES. Returns false if the stream goes on after them. */
bool readBody(std::istream &stream, std::string &body)
{
    char bytes[16384];
    while (stream.read(bytes, sizeof(bytes)), stream.gcount() > 0) {
        body.append(bytes, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > MAX_RESPONSE_BYTES) {
            return false;
        }
    }
    return true;
}

Poco::Timespan timespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

Poco::Net::HTTPRequest makeRequest(const HttpRequest &request)
{
    Poco::Net::HTTPRequest out(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : request.headers) {
        out.set(name, value);
    }
    out.setKeepAlive(true);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        out.setContentType(request.contentType);
        out.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    return out;
}

}

/** Makes reconnect() accessible, so that the connection can be opened before the request is sent. */
class HttpConnection::Session : public Poco::Net::HTTPClientSession
{
public:
    explicit Session(const Address &address)
        : Poco::Net::HTTPClientSession(address.host, static_cast<Poco::UInt16>(address.port))
    {
        setKeepAlive(true);
    }
    void connectNow()
    {
        reconnect();
    }
};

HttpConnection::HttpConnection(const Address &address, const HttpTimeouts &timeouts)
    : m_address(address)
    , m_timeouts(timeouts)
    , m_session(std::make_unique<Session>(address))
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::connect()
{
    if (m_session->connected()) {
        return;
    }
    try {
        m_session->setTimeout(timespan(m_timeouts.connect), timespan(m_timeouts.receive), timespan(m_timeouts.receive));
        m_session->connectNow();
        m_session->socket().setSendTimeout(timespan(m_timeouts.receive));
    } catch (const Poco::Exception &error) {
        m_session->reset();
        throw ConnectionRefusedError(toString(m_address) + ": " + error.displayText());
    }
}

HttpResponse HttpConnection::begin(const HttpRequest &request)
{
    connect();
    try {
        Poco::Net::HTTPRequest message = makeRequest(request);
        std::ostream &out = m_session->sendRequest(message);
        out << request.body << std::flush;
        Poco::Net::HTTPResponse responseHead;
        m_stream = &m_session->receiveResponse(responseHead);
        HttpResponse response;
        response.status = responseHead.getStatus();
        response.contentType = responseHead.getContentType();
        for (const auto &[name, value] : responseHead) {
            response.headers[name] = value;
        }
        return response;
    } catch (const Poco::Exception &error) {
        m_session->reset();
        throw ExchangeBrokenError(toString(m_address) + ": " + error.displayText());
    }
}

void HttpConnection::setReceiveTimeout(Duration timeout)
{
    connect();
    m_timeouts.receive = timeout;
    m_session->setTimeout(timespan(m_timeouts.connect), timespan(timeout), timespan(timeout));
    m_session->socket().setReceiveTimeout(timespan(timeout));
    m_session->socket().setSendTimeout(timespan(timeout));
}

std::istream &HttpConnection::stream()
{
    return *m_stream;
}

HttpResponse HttpConnection::exchange(const HttpRequest &request)
{
    HttpResponse response = begin(request);
    try {
        const bool isTooLong = !readBody(*m_stream, response.body);
        const bool truncated = m_stream->bad() || isTooLong;
        const auto contentLength = response.headers.find("Content-Length");
        if (truncated
            || (contentLength != response.headers.end()
                && std::to_string(response.body.size()) != contentLength->second)) {
            m_session->reset();
            throw ExchangeBrokenError(toString(m_address) + ": response body truncated or too long");
        }
    } catch (const Poco::Exception &error) {
        m_session->reset();
        throw ExchangeBrokenError(toString(m_address) + ": " + error.displayText());
    }
    return response;
}

bool HttpConnection::readLine(std::string &line)
{
    try {
        return static_cast<bool>(std::getline(*m_stream, line));
    } catch (const Poco::Exception &) {
        return false;
    }
}

void HttpConnection::interrupt()
{
    try {
        m_session->socket().shutdown();
    } catch (const Poco::Exception &) {
        // The socket is already closed.
        return;
    }
}

HttpResponse httpExchange(const Address &address, const HttpRequest &request, const HttpTimeouts &timeouts)
{
    HttpConnection connection(address, timeouts);
    return connection.exchange(request);
}

}
