/** \file
 * The load and state that an agent reports with each response and heartbeat.
 */
#pragma once

#include "crashreport.h"
#include "timepoint.h"

#include <json/json.h>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** One status report of an agent. */
struct AgentStatus
{
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** The configuration revision that the agent has applied. */
    std::uint64_t revision = 0;
    /** Increases with each report of an incarnation, so that reports received out of order can be discarded. */
    std::uint64_t sequence = 0;
    int slots = 0;
    int running = 0;
    int queued = 0;
    /** Mean run time of completed calls; zero if none has completed. */
    Duration meanRun{};
    /** True while the agent refuses new calls and finishes those it has accepted. */
    bool leaving = false;
    /** False while the endpoint counts as down after a refused connection or a crash. */
    bool endpointUp = true;
    /** The most recent crashes. Named "suspects" in JSON. */
    std::vector<CrashReport> crashes;

    /** Codec for messages between processes. fromJson() throws UserError on a malformed report. */
    Json::Value toJson() const;
    static AgentStatus fromJson(const Json::Value &value);
};

}
