/** \file
 * Implements the server side of one HTTP connection.
 */
#include "httpserverconnection.h"

#include "httpserver.h"

namespace Cyclamenturn
{

namespace
{

constexpr int CONTINUE = 100;
constexpr int REQUEST_TIMEOUT = 408;
/** Maximum number of bytes of pipelined requests that are buffered behind the request in progress. */
constexpr std::size_t MAX_PIPELINED_BYTES = 1048576;
/** A connection with more unsent output is aborted, since its client reads too slowly. */
constexpr std::size_t OUTPUT_LIMIT_BYTES = 4194304;

}

HttpServerConnection::HttpServerConnection(HttpServer &server, EventLoop &loop, const Poco::Net::StreamSocket &socket)
    : m_server(server)
    , m_loop(loop)
    , m_connection(loop, socket, this)
{
    restartTimer(m_server.limits().idleTimeout);
}

HttpServerConnection::~HttpServerConnection()
{
    m_loop.cancel(m_timer);
}

bool HttpServerConnection::isIdle()
{
    return !m_busy && m_connection.pendingOutput() == 0 && m_connection.input().empty()
        && (!m_parser || !m_parser->isStarted());
}

void HttpServerConnection::restartTimer(Duration timeout)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAfter(timeout, [this] { timerExpired(); });
}

void HttpServerConnection::timerExpired()
{
    if (m_busy) {
        return;
    }
    if (m_parser && m_parser->isStarted()) {
        refuse(REQUEST_TIMEOUT, "the request came too slowly");
        return;
    }
    remove();
}

void HttpServerConnection::dataReceived()
{
    if (m_busy) {
        if (m_connection.input().size() > MAX_PIPELINED_BYTES) {
            abort();
        }
        return;
    }
    processInput();
}

void HttpServerConnection::processInput()
{
    if (m_processing) {
        return;
    }
    m_processing = true;
    const auto self = shared_from_this();
    while (!m_busy && !m_closeWhenOutputDrained && !m_connection.input().empty() && readRequest()) { }
    m_processing = false;
}

bool HttpServerConnection::readRequest()
{
    if (!m_parser) {
        m_parser.emplace(HttpParser::forRequest(m_server.limits().message));
        m_requestReadAt = m_loop.now();
        m_requestArrivedAfter = m_loop.eventSince();
        m_headReceived = false;
        restartTimer(m_server.limits().headerTimeout);
    }
    try {
        m_parser->consume(m_connection.input());
    } catch (const HttpSyntaxError &error) {
        refuse(error.status(), error.what());
        return false;
    }
    if (m_parser->isHeadDone() && !m_headReceived) {
        m_headReceived = true;
        restartTimer(m_server.limits().bodyTimeout);
        if (m_parser->request().fields.hasToken("Expect", "100-continue") && !m_parser->isDone()) {
            m_connection.write(formatResponseHead({CONTINUE, "", {}}));
        }
    }
    if (!m_parser->isDone()) {
        return false;
    }
    m_loop.cancel(m_timer);
    m_busy = true;
    m_closeAfterResponse = !m_parser->isKeepAlive();
    ReceivedRequest request{
        std::move(m_parser->request()), m_parser->takeBody(), m_requestArrivedAfter, m_requestReadAt};
    m_parser.reset();
    m_isHeadRequest = request.head.method == "HEAD";
    m_server.handle(shared_from_this(), request);
    return true;
}

void HttpServerConnection::refuse(int status, const char *reason)
{
    m_busy = true;
    m_closeAfterResponse = true;
    HttpResponseHead head
        = m_server.rejectionHead({status, reason, m_parser ? m_parser->request() : HttpRequestHead()});
    head.fields.add("Content-Type", "text/plain");
    sendResponse(std::move(head), std::string(reason) + "\n");
}

void HttpServerConnection::addConnectionField(HttpResponseHead &head)
{
    m_closeAfterResponse = m_closeAfterResponse || m_server.isDraining();
    if (m_closeAfterResponse) {
        head.fields.add("Connection", "close");
    }
}

void HttpServerConnection::sendResponse(HttpResponseHead head, std::string_view body)
{
    addConnectionField(head);
    head.fields.add("Content-Length", std::to_string(body.size()));
    std::string bytes = formatResponseHead(head);
    if (!m_isHeadRequest) {
        bytes.append(body);
    }
    m_connection.write(bytes);
    finishResponse();
}

void HttpServerConnection::beginStream(HttpResponseHead head)
{
    addConnectionField(head);
    head.fields.add("Transfer-Encoding", "chunked");
    m_connection.write(formatResponseHead(head));
}

void HttpServerConnection::sendChunk(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    m_connection.write(formatChunk(data));
    if (m_connection.pendingOutput() > OUTPUT_LIMIT_BYTES) {
        abort();
    }
}

void HttpServerConnection::endStream()
{
    m_connection.write(LAST_CHUNK);
    finishResponse();
}

void HttpServerConnection::finishResponse()
{
    m_busy = false;
    m_disconnectHandler = nullptr;
    m_outputDrainedHandler = nullptr;
    if (m_closeAfterResponse) {
        m_closeWhenOutputDrained = true;
        if (m_connection.pendingOutput() == 0) {
            remove();
        }
        return;
    }
    restartTimer(m_server.limits().idleTimeout);
    processInput();
}

void HttpServerConnection::abort()
{
    m_connection.resetOnClose();
    const auto disconnectHandler = std::move(m_disconnectHandler);
    m_disconnectHandler = nullptr;
    remove();
    if (m_busy && disconnectHandler) {
        disconnectHandler();
    }
}

void HttpServerConnection::outputDrained()
{
    if (m_closeWhenOutputDrained) {
        remove();
    } else if (m_outputDrainedHandler) {
        m_outputDrainedHandler();
    }
}

void HttpServerConnection::disconnected(DisconnectReason)
{
    const auto self = shared_from_this();
    const auto disconnectHandler = std::move(m_disconnectHandler);
    m_disconnectHandler = nullptr;
    remove();
    if (m_busy && disconnectHandler) {
        disconnectHandler();
    }
}

void HttpServerConnection::remove()
{
    m_loop.cancel(m_timer);
    m_outputDrainedHandler = nullptr;
    m_server.remove(this);
}

}
