/** \file
 * The messages between entry and agent: a call's header, and the frames of its answer, one JSON object a line. Control
 * calls go over JSON-RPC instead; a stream of frames doesn't fit it.
 */
#pragma once

#include "address.h"
#include "agentfigures.h"
#include "answerbuffer.h"
#include "call.h"

#include <json/json.h>
#include <string>
#include <variant>

namespace Cyclamenturn
{

/** What an entry tells an agent beside the body of a call. */
struct CallHeader
{
    /** Tiers lie below this number. */
    static constexpr int TIER_LIMIT = 8;

    Call call;
    std::string method;
    std::string path;
    std::string contentType;
    /** The agent's incarnation that the entry means; 0 when it knows none. */
    std::uint64_t incarnation = 0;
    /** Pieces of the answer that the caller has already, generated at another endpoint. */
    std::size_t piecesDelivered = 0;
    /** The entry's address and configuration revision, so that whoever is behind can fetch. */
    Address from;
    std::uint64_t revision = 0;
    bool storeReachable = false;
    int crashes = 0;

    /** Codec. decode() throws UserError. */
    std::string encode() const;
    static CallHeader decode(const std::string &text);
};

struct HeadFrame
{
    AnswerHead head;
};

struct PieceFrame
{
    std::size_t number = 0;
    std::string data;
};

/** Sent when nothing else is, so that a silent connection is told from a slow answer. */
struct HeartbeatFrame
{
    AgentFigures agentStatus;
};

struct EndFrame
{
    AnswerEnd end;
    AgentFigures agentStatus;
};

using Frame = std::variant<HeadFrame, PieceFrame, HeartbeatFrame, EndFrame>;

/** Writes one frame as a line with its line end. */
std::string encodeFrame(const Frame &frame);
/** Reads one line. Throws UserError. */
Frame decodeFrame(const std::string &line);

/** Codec for bytes of any kind inside JSON. fromBase64() throws UserError. */
std::string toBase64(const std::string &bytes);
std::string fromBase64(const std::string &text);

/** Codec of an outcome. outcomeFromJson() throws UserError. */
Json::Value outcomeToJson(const Outcome &outcome);
Outcome outcomeFromJson(const Json::Value &value);

}
