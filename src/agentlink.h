/** \file
 * One attempt of a request at one agent: handshake, call, answer frames, and a new connection when the old one falls
 * silent.
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

/** Takes what an attempt delivers, in order and without gaps. A false return gives the attempt up. */
struct AttemptSink
{
    std::function<bool(const AnswerHead &)> onHead;
    std::function<bool(const std::string &)> onPiece;
    /** Called when nothing else arrives; false when the caller has gone. */
    std::function<bool()> onBeat;
    std::function<void(const AgentStatus &)> onFigures;
};

class AgentLink
{
public:
    /** \param header what the agent is told; `piecesDelivered` is the number of pieces the caller has */
    AgentLink(Address agent, std::shared_ptr<FleetKey> fleetKey, CallHeader header, std::string body, AttemptSink sink);
    ~AgentLink();

    /** Runs the attempt to its end. Set `handshake` for a call that must not be sent twice. */
    AttemptResult run(bool handshake);

    /** The number of pieces that the caller has by now. */
    std::size_t piecesDelivered() const
    {
        return m_header.piecesDelivered;
    }

private:
    /** How reading an answer stopped. */
    enum class ReadEnd {
        Finished,
        Broken,
        GivenUp,
    };

    bool shakeHands(HttpConnection &connection);
    ReadEnd readFrames(HttpConnection &connection);
    ReadEnd takeFrame(const HeadFrame &frame);
    ReadEnd takeFrame(const PieceFrame &frame);
    ReadEnd takeFrame(const HeartbeatFrame &frame);
    ReadEnd takeFrame(const EndFrame &frame);
    ReadEnd resume();
    void cancel();
    HttpRequest authorized(const std::string &method, const std::string &path) const;

    Address m_agent;
    std::shared_ptr<FleetKey> m_fleetKey;
    CallHeader m_header;
    std::string m_body;
    AttemptSink m_sink;
    std::optional<Outcome> m_outcome;
    bool m_knowsHead = false;
};

}
