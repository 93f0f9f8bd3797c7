/** \file
 * The messages between entry and agent: the header of a call, and the frames of its response, one JSON object per line.
 * Control methods such as `configuration_fetch` use JSON-RPC instead, which doesn't support streams of frames.
 */
#pragma once

#include "address.h"
#include "agentstatus.h"
#include "call.h"
#include "responsebuffer.h"

#include <json/json.h>
#include <string>
#include <variant>
#include <vector>

namespace Cyclamenturn
{

/** The metadata that an entry sends to an agent together with the body of a call. */
struct CallHeader
{
    /** Valid tiers are from 0 to TIER_LIMIT - 1. */
    static constexpr int TIER_LIMIT = 8;

    Call call;
    std::string method;
    std::string path;
    std::string contentType;
    /** The incarnation of the agent to which the entry sends the call; 0 if the entry doesn't know it. */
    std::uint64_t incarnation = 0;
    /** The number of response pieces that the caller has already received, generated at another endpoint. */
    std::size_t piecesDelivered = 0;
    /** The entry's address and configuration revision; an agent with an older revision fetches the newer one there. */
    Address from;
    std::uint64_t revision = 0;
    /** Whether the entry has received a response from the store recently. */
    bool storeReachable = false;
    /** Endpoint crashes known to the entry during runs of the call's fingerprint. */
    std::vector<CrashReport> crashes;

    /** Conversion to and from JSON text. decode() throws UserError. */
    std::string encode() const;
    static CallHeader decode(const std::string &text);
};

struct HeadFrame
{
    ResponseHead head;
};

struct PieceFrame
{
    std::size_t number = 0;
    std::string data;
};

/**
 * Sent when there is nothing else to send, so that a dead connection can be distinguished from a slow response. Its
 * type in JSON is "beat".
 */
struct KeepAliveFrame
{
    AgentStatus agentStatus;
};

struct EndFrame
{
    ResponseEnd end;
    AgentStatus agentStatus;
};

using Frame = std::variant<HeadFrame, PieceFrame, KeepAliveFrame, EndFrame>;

/** Encodes one frame as a line, including the line break. */
std::string encodeFrame(const Frame &frame);
/** Decodes one line. Throws UserError. */
Frame decodeFrame(const std::string &line);

/** Base64 encoding, which carries arbitrary bytes inside JSON. fromBase64() throws UserError. */
std::string toBase64(const std::string &bytes);
std::string fromBase64(const std::string &text);

/** Conversion of an outcome to and from JSON. outcomeFromJson() throws UserError. */
Json::Value outcomeToJson(const Outcome &outcome);
Outcome outcomeFromJson(const Json::Value &value);

}
