/** \file
 * The load and state that an agent tells on every answer and heartbeat.
 */
#pragma once

#include "crashquarantine.h"
#include "timepoint.h"

#include <json/json.h>
#include <string>
#include <vector>

namespace Cyclamenturn
{

struct AgentStatus
{
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** The configuration revision in force at the agent. */
    std::uint64_t revision = 0;
    /** Grows with each statement of one incarnation, so that a late one is told from a new one. */
    std::uint64_t sequence = 0;
    int slots = 0;
    int running = 0;
    int queued = 0;
    /** The mean time from start to end of a run here. */
    Duration meanRun{};
    bool leaving = false;
    /** False while the agent can't reach its endpoint. */
    bool endpointUp = true;
    std::vector<CrashSuspect> suspects;

    /** Codec for messages between processes. fromJson() throws UserError. */
    Json::Value toJson() const;
    static AgentStatus fromJson(const Json::Value &value);
};

}
