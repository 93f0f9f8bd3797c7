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
constexpr int SERVICE_UNAVAILABLE = 503;
/** With this much input behind a request in progress, the connection isn't read until the response is complete. */
constexpr std::size_t MAX_PIPELINED_BYTES = 32768;
/** With more unread output, the connection's next request isn't read. */
constexpr std::size_t MAX_UNREAD_BYTES = 65536;
/** How long the rest of a refused request is read and discarded. */
constexpr Duration REFUSED_CLOSE_DELAY = milliseconds(1000);
/** A connection with more unsent output is aborted, since its client reads too slowly. */
constexpr std::size_t OUTPUT_LIMIT_BYTES = 4194304;

}

HttpServerConnection::HttpServerConnection(HttpServer &server, EventLoop &loop, const Poco::Net::StreamSocket &socket)
    : m_server(server)
    , m_account(server.memory())
    , m_loop(loop)
    , m_connection(loop, socket, this)
    , m_lastChangeAt(loop.now())
{
    restartTimer(m_server.limits().idleTimeout);
}

HttpServerConnection::~HttpServerConnection()
{
    m_loop.cancel(m_timer);
    m_account->setIncomplete(this, 0, m_loop.now(), false);
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
    if (m_closeWhenOutputDrained) { // belongs to no request that will be read
        m_connection.input().clear();
        return;
    }
    if (mayReadRequest()) {
        processInput();
    } else if (m_connection.input().size() > MAX_PIPELINED_BYTES) {
        m_connection.setReading(false);
    }
    updateMemory();
}

bool HttpServerConnection::mayReadRequest() const
{
    return !m_busy && !m_closeWhenOutputDrained && m_connection.pendingOutput() <= MAX_UNREAD_BYTES;
}

void HttpServerConnection::updateMemory()
{
    if (m_isRemoved) {
        return;
    }
    std::size_t bytes = m_connection.pendingOutput() + m_connection.input().size();
    if (m_parser) {
        bytes += m_parser->headMemory() + m_parser->untakenBytes();
    }
    const bool givesWayLast = !isRequestIncomplete();
    if (bytes == m_accountedBytes && givesWayLast == m_givesWayLast) {
        return;
    }
    const bool hasGrown = bytes > m_accountedBytes;
    m_accountedBytes = bytes;
    m_givesWayLast = givesWayLast;
    m_account->setIncomplete(this, bytes, m_loop.now(), givesWayLast);
    if (hasGrown) {
        m_account->letGiveWay(m_loop.now());
    }
}

void HttpServerConnection::giveWay()
{
    const auto self = shared_from_this();
    if (isRequestIncomplete()) {
        m_server.noteLimit("request_memory");
        refuseForLimit("incomplete requests take too much memory");
    } else {
        m_server.noteLimit(m_connection.pendingOutput() > 0 ? "unread_responses" : "pipelined_requests");
        abort();
    }
}

void HttpServerConnection::refuseForLimit(const char *reason)
{
    refuse(SERVICE_UNAVAILABLE, reason);
}

void HttpServerConnection::processInput()
{
    if (m_processing) {
        return;
    }
    m_processing = true;
    const auto self = shared_from_this();
    while (mayReadRequest() && !m_connection.input().empty() && readRequest()) { }
    m_processing = false;
    if (!m_isRemoved && mayReadRequest()) {
        m_connection.setReading(true);
    }
}

bool HttpServerConnection::readRequest()
{
    if (!m_parser) {
        m_parser.emplace(HttpParser::forRequest(m_server.limits().message));
        m_requestReadAt = m_loop.now();
        m_lastChangeAt = m_requestReadAt;
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
    handleRequest();
    return true;
}

void HttpServerConnection::handleRequest()
{
    m_loop.cancel(m_timer);
    const std::size_t bytes = m_parser->headMemory() + m_parser->untakenBytes() * m_server.limits().bodyCopies;
    if (m_accountedBytes > 0) { // a part of the request was read before
        m_accountedBytes = 0;
        m_account->setIncomplete(this, 0, m_loop.now(), false);
    }
    if (!m_account->makeRoomFor(bytes, m_loop.now())) {
        m_server.noteLimit("request_memory");
        refuseForLimit("requests in progress take too much memory");
        return;
    }
    m_busy = true;
    m_closeAfterResponse = !m_parser->isKeepAlive();
    ReceivedRequest request{std::move(m_parser->request()), m_parser->takeBody(), m_requestArrivedAfter,
        m_requestReadAt, m_account->hold(bytes)};
    m_parser.reset();
    m_isHeadRequest = request.head.method == "HEAD";
    m_server.handle(shared_from_this(), request);
}

void HttpServerConnection::refuse(int status, const char *reason)
{
    m_busy = true;
    m_closeAfterResponse = true;
    m_isRefused = true;
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
    bytes = std::string(); // not needed while other requests are read
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
    updateMemory();
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
    m_lastChangeAt = m_loop.now();
    if (m_closeAfterResponse) {
        m_closeWhenOutputDrained = true;
        // What a refused request took is free at once.
        m_parser.reset();
        m_connection.input() = std::string();
        m_connection.setReading(true); // notices that the client leaves
        if (m_connection.pendingOutput() == 0) {
            closeAfterOutput();
            return;
        }
        restartTimer(m_server.limits().idleTimeout);
    } else {
        restartTimer(m_server.limits().idleTimeout);
        processInput();
        m_connection.shrinkBuffers();
    }
    updateMemory();
}

void HttpServerConnection::closeAfterOutput()
{
    if (!m_isRefused) {
        remove();
        return;
    }
    // Closed now, the connection would be reset by what the client still sends, and the response might be lost.
    m_connection.shutdownSend();
    restartTimer(REFUSED_CLOSE_DELAY);
    updateMemory();
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
        closeAfterOutput();
        return;
    }
    const auto self = shared_from_this();
    if (m_outputDrainedHandler) {
        m_outputDrainedHandler();
    }
    if (!m_isRemoved && !m_busy) {
        processInput();
    }
    updateMemory();
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
    m_isRemoved = true;
    m_loop.cancel(m_timer);
    m_outputDrainedHandler = nullptr;
    // The request's memory is free from now on, not only when the connection is destroyed.
    m_parser.reset();
    m_connection.input() = std::string();
    m_account->setIncomplete(this, 0, m_loop.now(), false);
    m_server.remove(this);
}

}
