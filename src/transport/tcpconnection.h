/** \file
 * One non-blocking TCP connection on the event loop, with buffers in both directions.
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

enum class ConnectionEnd {
    /** The far end closed its side in order. */
    Closed,
    /** Reset, or lost for another reason. */
    Broken,
};

/** What a connection tells its owner. The owner may destroy the connection from within a call. */
class ConnectionListener
{
public:
    virtual ~ConnectionListener() = default;
    virtual void connected()
    {
    }
    /** Bytes wait in input(). */
    virtual void dataReceived() = 0;
    virtual void connectionEnded(ConnectionEnd end) = 0;
    /** All that was written has been handed to the network. */
    virtual void outputDrained()
    {
    }
};

class TcpConnection : private SocketHandler
{
public:
    /** Takes over an accepted socket. */
    TcpConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket, ConnectionListener *listener);
    /** Starts to connect; connected() or connectionEnded() follows. */
    TcpConnection(EventLoop &loop, const Address &address, ConnectionListener *listener);
    ~TcpConnection() override;
    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /** Received bytes; the owner erases what it has used. */
    std::string &input()
    {
        return m_input;
    }
    void write(std::string_view bytes);
    bool isConnected() const
    {
        return m_connected;
    }
    /** Bytes that the far end hasn't made room for. */
    std::size_t pendingOutput() const
    {
        return m_output.size();
    }
    /** Makes the close below a reset, so that the far end sees that an answer is incomplete. */
    void resetOnClose();

private:
    void socketReady(int modes) override;
    /** Each returns false when the connection ended or was destroyed by its owner. */
    bool finishConnecting();
    bool sendPending();
    void receive();
    void end(ConnectionEnd kind);
    void updateModes();
    void configure();

    EventLoop &m_loop;
    Poco::Net::StreamSocket m_socket;
    ConnectionListener *m_listener;
    std::string m_input;
    std::string m_output;
    bool m_connected = false;
    bool m_ended = false;
    /** Modes that the loop watches now. */
    int m_modes = 0;
    /** Outlives this object in a running call, so that the call notices that a listener destroyed the connection. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
