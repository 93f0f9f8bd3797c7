/** \file
 * Non-blocking TCP connection on an event loop, with an input and an output buffer.
 */
#pragma once

#include "address.h"
#include "eventloop.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <string_view>

namespace Cyclamenturn
{

enum class DisconnectReason {
    /** The peer closed its side of the connection in an orderly way. */
    ClosedByPeer,
    /** The connection was refused: nothing listens at the address. */
    Refused,
    /** The connection could not be established, was reset, or failed for another reason. */
    Lost,
};

/** Receives the events of a TcpConnection. It may destroy the connection from within any of these functions. */
class ConnectionListener
{
public:
    virtual ~ConnectionListener() = default;
    virtual void connected()
    {
    }
    /** Bytes were appended to input(). */
    virtual void dataReceived() = 0;
    virtual void disconnected(DisconnectReason reason) = 0;
    /** The output that had to be buffered has been passed to the operating system. */
    virtual void outputDrained()
    {
    }
    /** A part of it has been passed on. */
    virtual void outputReduced()
    {
    }
    /** What dataReceived() and disconnected() would do now. */
    virtual WorkKind workKind() const = 0;
};

class TcpConnection : private SocketHandler
{
public:
    /** Takes ownership of an accepted socket. */
    TcpConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket, ConnectionListener *listener);
    /** Starts to connect. The event loop calls connected() or disconnected() later. */
    TcpConnection(EventLoop &loop, const Address &address, ConnectionListener *listener);
    ~TcpConnection() override;
    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /** Received bytes. The owner erases the bytes that it has processed. */
    std::string &input()
    {
        return m_input;
    }
    void write(std::string_view bytes);
    /** Writes `head` and then `body`, which isn't copied unless it is short. */
    void write(std::string head, std::shared_ptr<const std::string> body);
    /** Tells the peer that nothing more will be sent. */
    void shutdownSend();
    /** Stops reading, or reads again. While reading is stopped, an orderly close by the peer isn't noticed. */
    void setReading(bool isReading);
    /** Returns the memory of buffers that are empty. */
    void shrinkBuffers();
    bool isConnected() const
    {
        return m_connected;
    }
    /** Number of bytes that are buffered because the peer has not yet made room for them. */
    std::size_t pendingOutput() const
    {
        return m_output.size() - m_outputSent + (m_body ? m_body->size() - m_bodySent : 0);
    }
    /** Number of written bytes of which the peer's operating system hasn't acknowledged the receipt. */
    std::size_t undeliveredOutput() const;
    /** Whether the peer has closed or reset the connection, by what the operating system knows now. False while unread
     * bytes precede the close. */
    bool isClosedByPeer();
    /** Reads bytes that have already arrived, without waiting for the next iteration of the event loop. */
    void receiveArrived()
    {
        receive();
    }
    /** Makes the destructor reset the connection, so that the peer can tell that a response is incomplete. */
    void resetOnClose();

private:
    void socketReady(int modes) override;
    WorkKind workKind() const override
    {
        return m_listener->workKind();
    }
    /** Returns and clears the error that is pending at the socket, 0 if there is none. */
    int socketError() const;
    /** Returns false when the connection has ended or the listener has destroyed it. */
    bool finishConnecting();
    /** Passes as much of `bytes` to the operating system as it takes now, and returns how much that was. */
    std::size_t sendNow(std::string_view bytes);
    /** Passes as much of the buffered output to the operating system as it takes now. Returns false if the connection
     * has failed. */
    bool sendBuffered();
    /** Returns false when the connection has ended or the listener has destroyed it. */
    bool sendPending();
    void receive();
    void reportDisconnect(DisconnectReason reason);
    /** For the constructor, whose caller doesn't expect a call of its listener. */
    void reportDisconnectLater(DisconnectReason reason);
    void updateModes();
    void setSocketOptions();

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    ConnectionListener *m_listener;
    std::string m_input;
    /** Buffered output: the rest of `m_output`, then the rest of `m_body`. */
    std::string m_output;
    std::size_t m_outputSent = 0;
    /** Null unless something of it is unsent. */
    std::shared_ptr<const std::string> m_body;
    std::size_t m_bodySent = 0;
    bool m_isReading = true;
    bool m_connected = false;
    bool m_disconnected = false;
    /** A call has reported that the connection has failed. The operating system reports that once, and a later read
     * ends as if the peer had closed the connection in an orderly way. */
    bool m_hasFailed = false;
    /** Poll modes that are registered with the event loop. */
    int m_modes = 0;
    /**
     * Set to false by the destructor. A running member function keeps a copy, to detect that the listener has destroyed
     * the connection.
     */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
