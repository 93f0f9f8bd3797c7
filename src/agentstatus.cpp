/** \file
 * JSON codec of agent status reports.
 */
#include "agentstatus.h"

#include "errors.h"
#include "jsoncodec.h"

namespace Cyclamenturn
{

Json::Value AgentStatus::toJson() const
{
    Json::Value out;
    out["endpoint"] = endpoint;
    out["incarnation"] = Json::UInt64(incarnation);
    out["revision"] = Json::UInt64(revision);
    out["sequence"] = Json::UInt64(sequence);
    out["slots"] = slots;
    out["running"] = running;
    out["queued"] = queued;
    out["mean_run_us"] = Json::Int64(meanRun.count());
    out["leaving"] = leaving;
    out["endpoint_up"] = endpointUp;
    for (const auto &suspect : suspects) {
        Json::Value item;
        item["fingerprint"] = Json::UInt64(suspect.fingerprint);
        item["crashes"] = suspect.crashes;
        item["endpoint"] = suspect.endpoint;
        item["last_crash_us"] = Json::Int64(suspect.lastCrash.time_since_epoch().count());
        out["suspects"].append(item);
    }
    return out;
}

AgentStatus AgentStatus::fromJson(const Json::Value &value)
{
    const JsonObject in(value);
    AgentStatus out;
    out.endpoint = in.text("endpoint");
    out.incarnation = static_cast<std::uint64_t>(in.integer("incarnation"));
    out.revision = static_cast<std::uint64_t>(in.integer("revision"));
    out.sequence = static_cast<std::uint64_t>(in.integer("sequence"));
    out.slots = static_cast<int>(in.integer("slots"));
    out.running = static_cast<int>(in.integer("running"));
    out.queued = static_cast<int>(in.integer("queued"));
    out.meanRun = Duration(in.integer("mean_run_us"));
    out.leaving = in.boolean("leaving");
    out.endpointUp = in.boolean("endpoint_up");
    for (const auto &item : in.array("suspects")) {
        const JsonObject suspect(item);
        const auto fingerprint = suspect.raw()["fingerprint"];
        if (!fingerprint.isUInt64()) {
            throw UserError("JSON member 'fingerprint' must be an unsigned integer");
        }
        out.suspects.push_back({fingerprint.asUInt64(), static_cast<int>(suspect.integer("crashes")),
            TimePoint(Duration(suspect.integer("last_crash_us"))), suspect.text("endpoint", "")});
    }
    return out;
}

}
