/** \file
 * JSON codec of agent status reports.
 */
#include "agentstatus.h"

#include "crashreportjson.h"
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
    out["suspects"] = crashReportsToJson(crashes);
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
    out.crashes = crashReportsFromJson(in.array("suspects"));
    return out;
}

}
