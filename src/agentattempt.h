/** \file
 * One attempt to run a request at one agent: sends the call, receives the frames of the response, and reconnects when
 * the connection breaks or times out.
 */
#pragma once

#include "entryevents.h"
#include "httpexchange.h"
#include "wire.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class FleetKey;

/**
 * Callbacks for the response of an attempt. Pieces are passed in order and without gaps. The attempt is abandoned and
 * the call cancelled if onHead, onPiece or onKeepAlive returns false.
 */
struct AttemptSink
{
    std::function<bool(const ResponseHead &)> onHead;
    std::function<bool(const std::string &)> onPiece;
    /** Called for each keep-alive frame. Allows the entry to check whether the caller is still connected. */
    std::function<bool()> onKeepAlive;
    /** Called for each status report that the agent sends with a frame or handshake. */
    std::function<void(const AgentStatus &)> onStatus;
};

/** The client side of one call from an entry to an agent. */
class AgentAttempt
{
public:
    /** \param header sent with the call; its `piecesDelivered` is the number of pieces that the caller already has */
    AgentAttempt(
        Address agent, std::shared_ptr<FleetKey> fleetKey, CallHeader header, std::string body, AttemptSink sink);
    ~AgentAttempt();

    /**
     * Runs the attempt to its end.
     * \param handshake whether the agent must answer a handshake before the call is sent; needed for a call that must
     *     not be sent twice
     */
    AttemptResult run(bool handshake);

    /** Number of pieces that the caller has received so far, including those of earlier attempts. */
    std::size_t piecesDelivered() const
    {
        return m_header.piecesDelivered;
    }

private:
    /** Result of reading one frame or the whole response. */
    enum class ReadResult {
        Success,
        /** The connection was closed or timed out, or a frame was malformed, missing or out of order. */
        ConnectionBroken,
        /** A callback of AttemptSink returned false. */
        Abandoned,
    };

    /** Returns false if the agent refuses the handshake or does not answer in time. */
    bool performHandshake(HttpConnection &connection);
    ReadResult readFrames(HttpConnection &connection);
    ReadResult handleFrame(const HeadFrame &frame);
    ReadResult handleFrame(const PieceFrame &frame);
    ReadResult handleFrame(const KeepAliveFrame &frame);
    ReadResult handleFrame(const EndFrame &frame);
    /** Reads the rest of the response over a new connection. */
    ReadResult resume();
    /** Asks the agent to cancel the call; errors are ignored. */
    void cancel();
    /** Returns a request with the fleet's key. */
    HttpRequest authorizedRequest(const std::string &method, const std::string &path) const;

    Address m_agent;
    std::shared_ptr<FleetKey> m_fleetKey;
    CallHeader m_header;
    std::string m_body;
    AttemptSink m_sink;
    std::optional<Outcome> m_outcome;
    bool m_headReceived = false;
};

}
