/** \file
 * Encoding and decoding of the messages between entry and agent.
 */
#include "wire.h"

#include "crashreportjson.h"
#include "errors.h"
#include "jsoncodec.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

Json::Value callToJson(const Call &call)
{
    Json::Value out;
    out["id"] = call.id;
    out["class"] = call.className;
    out["service"] = call.service;
    out["team"] = call.team;
    out["tier"] = call.tier;
    out["idempotent"] = call.idempotent;
    out["sheddable"] = call.sheddable;
    out["preemptible"] = call.preemptible;
    out["deadline_us"] = Json::Int64(call.deadline.time_since_epoch().count());
    out["fingerprint"] = Json::UInt64(call.fingerprint);
    out["prefix"] = Json::UInt64(call.prefix);
    if (call.key) {
        out["key"] = call.key->value;
        out["issued_us"] = Json::Int64(call.key->issuedAt.time_since_epoch().count());
        out["first"] = call.key->firstAttempt;
    }
    return out;
}

std::uint64_t unsignedMember(const JsonObject &in, const std::string &name)
{
    const Json::Value value = in.raw().get(name, Json::Value(0U));
    if (!value.isUInt64()) {
        throw UserError("JSON member '" + name + "' must be an unsigned integer");
    }
    return value.asUInt64();
}

Call callFromJson(const Json::Value &value)
{
    const JsonObject in(value);
    Call out;
    out.id = in.text("id");
    out.className = in.text("class");
    out.service = in.text("service");
    out.team = in.text("team");
    out.tier = static_cast<int>(in.integer("tier"));
    out.idempotent = in.boolean("idempotent");
    out.sheddable = in.boolean("sheddable");
    out.preemptible = in.boolean("preemptible");
    out.deadline = TimePoint(Duration(in.integer("deadline_us")));
    out.fingerprint = unsignedMember(in, "fingerprint");
    out.prefix = unsignedMember(in, "prefix");
    if (in.has("key")) {
        out.key = IdempotencyKey{in.text("key"), TimePoint(Duration(in.integer("issued_us"))), in.boolean("first")};
    }
    const bool isTierValid = out.tier >= 0 && out.tier < CallHeader::TIER_LIMIT;
    if (!isTierValid || out.idempotent == out.key.has_value()) {
        throw UserError("a call's tier or idempotency key doesn't fit its class");
    }
    return out;
}

struct FrameEncoder
{
    Json::Value operator()(const HeadFrame &frame) const
    {
        Json::Value out;
        out["t"] = "head";
        out["status"] = frame.head.status;
        out["type"] = frame.head.contentType;
        return out;
    }
    Json::Value operator()(const PieceFrame &frame) const
    {
        Json::Value out;
        out["t"] = "piece";
        out["n"] = Json::UInt64(frame.number);
        out["d"] = toBase64(frame.data);
        return out;
    }
    Json::Value operator()(const KeepAliveFrame &frame) const
    {
        Json::Value out;
        out["t"] = "beat";
        out["figures"] = frame.agentStatus.toJson();
        return out;
    }
    Json::Value operator()(const EndFrame &frame) const
    {
        Json::Value out;
        out["t"] = "end";
        out["pieces"] = Json::UInt64(frame.end.pieces);
        out["outcome"] = outcomeToJson(frame.end.outcome);
        out["figures"] = frame.agentStatus.toJson();
        return out;
    }
};

}

std::string CallHeader::encode() const
{
    Json::Value out;
    out["call"] = callToJson(call);
    out["method"] = method;
    out["path"] = path;
    out["content_type"] = contentType;
    out["incarnation"] = Json::UInt64(incarnation);
    out["pieces_reached"] = Json::UInt64(piecesDelivered);
    out["from"] = toString(from);
    out["revision"] = Json::UInt64(revision);
    out["store_seen"] = storeReachable;
    out["crash_reports"] = crashReportsToJson(crashes);
    // Read by earlier versions.
    out["crashes"] = Json::UInt64(crashes.size());
    return toJsonText(out);
}

CallHeader CallHeader::decode(const std::string &text)
{
    const JsonObject in(parseJson(text));
    CallHeader out;
    out.call = callFromJson(in.raw()["call"]);
    out.method = in.text("method");
    out.path = in.text("path");
    out.contentType = in.text("content_type");
    out.incarnation = static_cast<std::uint64_t>(in.integer("incarnation"));
    out.piecesDelivered = static_cast<std::size_t>(in.integer("pieces_reached"));
    out.from = addressFromString(in.text("from"));
    out.revision = static_cast<std::uint64_t>(in.integer("revision"));
    out.storeReachable = in.boolean("store_seen");
    out.crashes = crashReportsFromJson(in.array("crash_reports"));
    return out;
}

std::string encodeFrame(const Frame &frame)
{
    return toJsonText(std::visit(FrameEncoder(), frame)) + "\n";
}

Frame decodeFrame(const std::string &line)
{
    const JsonObject in(parseJson(line));
    const std::string type = in.text("t");
    if (type == "head") {
        return HeadFrame{{static_cast<int>(in.integer("status")), in.text("type")}};
    }
    if (type == "piece") {
        return PieceFrame{static_cast<std::size_t>(in.integer("n")), fromBase64(in.text("d"))};
    }
    if (type == "beat") {
        return KeepAliveFrame{AgentStatus::fromJson(in.raw()["figures"])};
    }
    if (type == "end") {
        const ResponseEnd end{outcomeFromJson(in.raw()["outcome"]), static_cast<std::size_t>(in.integer("pieces"))};
        return EndFrame{end, AgentStatus::fromJson(in.raw()["figures"])};
    }
    throw UserError("unknown frame type '" + type + "'");
}

std::string toBase64(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string fromBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    std::string out;
    try {
        decoder.exceptions(std::ios::badbit);
        Poco::StreamCopier::copyToString(decoder, out);
    } catch (const std::exception &error) {
        throw UserError(std::string("broken base64: ") + error.what());
    }
    return out;
}

Json::Value outcomeToJson(const Outcome &outcome)
{
    Json::Value out;
    out["kind"] = toString(outcome.kind());
    out["reason"] = toString(outcome.reason());
    if (outcome.retryAfter()) {
        out["retry_after_us"] = Json::Int64(outcome.retryAfter()->count());
    }
    return out;
}

Outcome outcomeFromJson(const Json::Value &value)
{
    const JsonObject in(value);
    std::optional<Duration> retryAfter;
    if (in.has("retry_after_us")) {
        retryAfter = Duration(in.integer("retry_after_us"));
    }
    const RefusalReason reason = refusalReasonFromString(in.text("reason"));
    switch (outcomeKindFromString(in.text("kind"))) {
    case OutcomeKind::Served:
        return Outcome::served();
    case OutcomeKind::NotRun:
        return Outcome::notRun(reason, retryAfter);
    case OutcomeKind::InProgress:
        return Outcome::inProgress();
    case OutcomeKind::AlreadyRun:
        return Outcome::alreadyRun();
    case OutcomeKind::Unknown:
        break;
    }
    return Outcome::unknown(reason, retryAfter);
}

}
