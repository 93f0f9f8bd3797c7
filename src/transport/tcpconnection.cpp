/** \file
 * Implements non-blocking TCP connections with Poco::Net::StreamSocket.
 */
#include "tcpconnection.h"

#include "socketoutput.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t READ_BUFFER_BYTES = 16384;
/** A body up to this size is copied behind its head, so that both are sent by one call. */
constexpr std::size_t COPIED_BODY_BYTES = 65536;
/** Empty buffers of this capacity are kept. */
constexpr std::size_t KEPT_BUFFER_BYTES = 4096;
/**
 * A peer that acknowledges no data for this long is considered unreachable. The platform drops packets to an
 * unreachable peer without resetting the connection.
 */
constexpr int TCP_USER_TIMEOUT_MS = 6000;

/** Whether a send failed only because the operating system has no room for more bytes now. */
bool isWouldBlock(const Poco::Exception &error)
{
    return error.code() == EAGAIN || error.code() == EWOULDBLOCK;
}

}

TcpConnection::TcpConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket, ConnectionListener *listener)
    : m_loop(loop)
    , m_socket(socket)
    , m_listener(listener)
    , m_connected(true)
    , m_modes(Poco::Net::PollSet::POLL_READ)
{
    setSocketOptions();
    m_loop.watch(m_socket, m_modes, this);
}

TcpConnection::TcpConnection(EventLoop &loop, const Address &address, ConnectionListener *listener)
    : m_loop(loop)
    , m_listener(listener)
    , m_modes(Poco::Net::PollSet::POLL_WRITE)
{
    try {
        m_socket.connectNB(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)));
        setSocketOptions();
        m_loop.watch(m_socket, m_modes, this);
    } catch (const Poco::Net::ConnectionRefusedException &) {
        reportDisconnectLater(DisconnectReason::Refused);
    } catch (const Poco::Exception &) {
        reportDisconnectLater(DisconnectReason::Lost);
    }
}

TcpConnection::~TcpConnection()
{
    *m_alive = false;
    m_loop.unwatch(m_socket);
    try {
        m_socket.close();
    } catch (const Poco::Exception &) { // the socket is released in any case
    }
}

void TcpConnection::reportDisconnectLater(DisconnectReason reason)
{
    m_loop.callAt(m_loop.now(), [this, reason, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            reportDisconnect(reason);
        }
    });
}

void TcpConnection::setSocketOptions()
{
    m_socket.setBlocking(false);
    m_socket.setNoDelay(true);
    m_socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS);
}

bool TcpConnection::isClosedByPeer()
{
    if (m_disconnected) {
        return true;
    }
    char byte = 0;
    try {
        return m_socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception &) {
        m_hasFailed = true;
        return true;
    }
}

std::size_t TcpConnection::undeliveredOutput() const
{
    return pendingOutput() + unacknowledgedBytes(m_socket);
}

void TcpConnection::resetOnClose()
{
    try {
        m_socket.setLinger(true, 0);
    } catch (const Poco::Exception &) { // a failed socket cannot deliver a complete response anyway
    }
}

void TcpConnection::write(std::string_view bytes)
{
    if (m_disconnected) {
        return;
    }
    if (m_body) { // bytes can follow only a copy of it
        m_output.append(*m_body, m_bodySent, std::string::npos);
        m_body.reset();
    }
    // The event loop reports a failure at its next poll.
    const std::size_t sent = pendingOutput() == 0 && m_connected ? sendNow(bytes) : 0;
    m_output.append(bytes.substr(sent));
    if (m_connected) {
        updateModes();
    }
}

void TcpConnection::write(std::string head, std::shared_ptr<const std::string> body)
{
    if (body->size() <= COPIED_BODY_BYTES || pendingOutput() > 0) {
        write(head.append(*body));
        return;
    }
    if (m_disconnected) {
        return;
    }
    m_output = std::move(head);
    m_outputSent = 0;
    m_body = std::move(body);
    m_bodySent = 0;
    if (m_connected) {
        sendBuffered();
        updateModes();
    }
}

std::size_t TcpConnection::sendNow(std::string_view bytes)
{
    if (bytes.empty()) {
        return 0;
    }
    try {
        const int sent = m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    } catch (const Poco::Exception &error) {
        m_hasFailed = m_hasFailed || !isWouldBlock(error);
    }
    return 0;
}

bool TcpConnection::sendBuffered()
{
    m_outputSent += sendNow(std::string_view(m_output).substr(m_outputSent));
    if (m_outputSent < m_output.size()) {
        // Moves the rest seldom enough that the cost for each byte is constant.
        if (m_outputSent > m_output.size() / 2) {
            m_output.erase(0, m_outputSent);
            m_outputSent = 0;
        }
    } else {
        m_output.clear();
        m_outputSent = 0;
        shrinkBuffers();
        if (m_body && !m_hasFailed) {
            m_bodySent += sendNow(std::string_view(*m_body).substr(m_bodySent));
            if (m_bodySent == m_body->size()) {
                m_body.reset();
            }
        }
    }
    return !m_hasFailed;
}

void TcpConnection::shutdownSend()
{
    try {
        m_socket.shutdownSend();
    } catch (const Poco::Exception &) { // the next read reports the failure
    }
}

void TcpConnection::setReading(bool isReading)
{
    if (m_isReading != isReading && !m_disconnected) {
        m_isReading = isReading;
        updateModes();
    }
}

void TcpConnection::shrinkBuffers()
{
    for (std::string *buffer : {&m_input, &m_output}) {
        if (buffer->empty() && buffer->capacity() > KEPT_BUFFER_BYTES) {
            buffer->shrink_to_fit();
        }
    }
}

void TcpConnection::updateModes()
{
    const int modes = (m_connected && m_isReading ? Poco::Net::PollSet::POLL_READ : 0)
        | ((pendingOutput() == 0 || m_hasFailed) && m_connected ? 0 : Poco::Net::PollSet::POLL_WRITE);
    if (modes != m_modes) {
        m_modes = modes;
        m_loop.update(m_socket, modes);
    }
}

void TcpConnection::socketReady(int modes)
{
    if (!m_connected) {
        if (!finishConnecting()) {
            return;
        }
    } else if ((modes & Poco::Net::PollSet::POLL_WRITE) != 0 && !sendPending()) {
        return;
    }
    if ((modes & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
        receive();
    }
}

int TcpConnection::socketError() const
{
    int error = 0;
    m_socket.getOption(SOL_SOCKET, SO_ERROR, error);
    return error;
}

bool TcpConnection::finishConnecting()
{
    const int error = socketError();
    if (error != 0) {
        reportDisconnect(error == ECONNREFUSED ? DisconnectReason::Refused : DisconnectReason::Lost);
        return false;
    }
    m_connected = true;
    updateModes();
    const auto alive = m_alive;
    m_listener->connected();
    return *alive && !m_disconnected && sendPending();
}

bool TcpConnection::sendPending()
{
    if (pendingOutput() == 0) {
        return true;
    }
    if (m_hasFailed || !sendBuffered()) {
        // Bytes received before the reset may hold a response. receive() delivers them before it reports the
        // disconnect.
        updateModes();
        receive();
        return false;
    }
    updateModes();
    const auto alive = m_alive;
    if (pendingOutput() == 0) {
        m_listener->outputDrained();
    } else {
        m_listener->outputReduced();
    }
    return *alive && !m_disconnected;
}

void TcpConnection::receive()
{
    char bytes[READ_BUFFER_BYTES];
    int count = 0;
    try {
        count = m_socket.receiveBytes(bytes, sizeof(bytes));
    } catch (const Poco::Exception &) {
        reportDisconnect(DisconnectReason::Lost);
        return;
    }
    if (count == 0) {
        // The read doesn't report a reset that has followed the close, or that an earlier call has reported.
        const bool isOrderly = !m_hasFailed && socketError() == 0;
        reportDisconnect(isOrderly ? DisconnectReason::ClosedByPeer : DisconnectReason::Lost);
        return;
    }
    if (count > 0) {
        m_input.append(bytes, static_cast<std::size_t>(count));
        m_listener->dataReceived();
    }
}

void TcpConnection::reportDisconnect(DisconnectReason reason)
{
    m_disconnected = true;
    m_loop.unwatch(m_socket);
    m_listener->disconnected(reason);
}

}
