/** \file
 * The server's side of one HTTP connection.
 */
#include "httpserverconnection.h"

#include "httpserver.h"

namespace Cyclamenturn
{

namespace
{

constexpr int CONTINUE = 100;
constexpr int REQUEST_TIMEOUT = 408;
/** Room for pipelined requests behind the one in progress. */
constexpr std::size_t PIPELINE_BYTES = 1048576;
/** A caller that reads nothing while this much waits for it is cut off. */
constexpr std::size_t OUTPUT_LIMIT = 4194304;

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

void HttpServerConnection::restartTimer(Duration wait)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAfter(wait, [this] { timerRan(); });
}

void HttpServerConnection::timerRan()
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
        if (m_connection.input().size() > PIPELINE_BYTES) {
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
    while (!m_busy && !m_closeWhenDrained && !m_connection.input().empty() && readRequest()) { }
    m_processing = false;
}

bool HttpServerConnection::readRequest()
{
    if (!m_parser) {
        m_parser.emplace(HttpParser::forRequest(m_server.limits().message));
        m_requestStart = m_loop.now();
        m_headSeen = false;
        restartTimer(m_server.limits().headerTimeout);
    }
    try {
        m_parser->consume(m_connection.input());
    } catch (const HttpSyntaxError &error) {
        refuse(error.status(), error.what());
        return false;
    }
    if (m_parser->isHeadDone() && !m_headSeen) {
        m_headSeen = true;
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
    m_closeAfterAnswer = !m_parser->keepsConnection();
    ReceivedRequest request{std::move(m_parser->request()), m_parser->takeBody(), m_requestStart};
    m_parser.reset();
    m_toHead = request.head.method == "HEAD";
    m_server.handle(shared_from_this(), request);
    return true;
}

void HttpServerConnection::refuse(int status, const char *reason)
{
    m_busy = true;
    m_closeAfterAnswer = true;
    HttpResponseHead head{status, "", {}};
    head.fields.add("Content-Type", "text/plain");
    sendAnswer(std::move(head), std::string(reason) + "\n");
}

void HttpServerConnection::addConnectionField(HttpResponseHead &head)
{
    m_closeAfterAnswer = m_closeAfterAnswer || m_server.isDraining();
    if (m_closeAfterAnswer) {
        head.fields.add("Connection", "close");
    }
}

void HttpServerConnection::sendAnswer(HttpResponseHead head, std::string_view body)
{
    addConnectionField(head);
    head.fields.add("Content-Length", std::to_string(body.size()));
    std::string bytes = formatResponseHead(head);
    if (!m_toHead) {
        bytes.append(body);
    }
    m_connection.write(bytes);
    finishAnswer();
}

void HttpServerConnection::beginStream(HttpResponseHead head)
{
    addConnectionField(head);
    head.fields.add("Transfer-Encoding", "chunked");
    m_connection.write(formatResponseHead(head));
}

void HttpServerConnection::sendPiece(std::string_view piece)
{
    if (piece.empty()) {
        return;
    }
    m_connection.write(formatChunk(piece));
    if (m_connection.pendingOutput() > OUTPUT_LIMIT) {
        abort();
    }
}

void HttpServerConnection::endStream()
{
    m_connection.write(LAST_CHUNK);
    finishAnswer();
}

void HttpServerConnection::finishAnswer()
{
    m_busy = false;
    m_leftHandler = nullptr;
    m_drainedHandler = nullptr;
    if (m_closeAfterAnswer) {
        m_closeWhenDrained = true;
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
    const auto left = std::move(m_leftHandler);
    m_leftHandler = nullptr;
    remove();
    if (m_busy && left) {
        left();
    }
}

void HttpServerConnection::outputDrained()
{
    if (m_closeWhenDrained) {
        remove();
    } else if (m_drainedHandler) {
        m_drainedHandler();
    }
}

void HttpServerConnection::connectionEnded(ConnectionEnd)
{
    const auto self = shared_from_this();
    const auto left = std::move(m_leftHandler);
    m_leftHandler = nullptr;
    remove();
    if (m_busy && left) {
        left();
    }
}

void HttpServerConnection::remove()
{
    m_loop.cancel(m_timer);
    m_drainedHandler = nullptr;
    m_server.remove(this);
}

}
