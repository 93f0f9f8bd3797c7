/** \file
 * Settings, calls and agents that many tests use.
 */
#pragma once

#include "agentcore.h"
#include "call.h"
#include "fleetconfiguration.h"

#include <string>
#include <vector>

namespace Cyclamenturn
{

/** The time `ms` milliseconds after the start of a test, which is 1000 s after the epoch. */
inline TimePoint at(std::int64_t ms)
{
    return timeFromMilliseconds(1000000 + ms);
}

/**
 * A fleet configuration with a model service (chat) and a plain service (desk), each with two classes of different
 * tiers and two endpoints. The class "dispatch" is not idempotent.
 */
inline std::string configurationText()
{
    return R"(
[fleet]
name = "test"
[limits]
first_attempt_window_ms = 2000
clock_margin_ms = 250
queue_limit = 4
[[service]]
name = "chat"
kind = "model"
[[service]]
name = "desk"
kind = "plain"
[[class]]
name = "question"
service = "chat"
tier = 1
deadline_ms = 8000
[[class]]
name = "draft"
service = "chat"
tier = 3
deadline_ms = 30000
preemptible = true
[[class]]
name = "dispatch"
service = "desk"
tier = 0
deadline_ms = 2000
idempotent = false
[[class]]
name = "lookup"
service = "desk"
tier = 2
deadline_ms = 2000
[[endpoint]]
name = "chat-1"
service = "chat"
host = "127.0.0.1"
port = 1001
failure_domain = "a"
slots = 2
[[endpoint]]
name = "chat-2"
service = "chat"
host = "127.0.0.1"
port = 1002
failure_domain = "b"
slots = 2
[[endpoint]]
name = "desk-1"
service = "desk"
host = "127.0.0.1"
port = 1003
failure_domain = "a"
slots = 2
[[endpoint]]
name = "desk-2"
service = "desk"
host = "127.0.0.1"
port = 1004
failure_domain = "b"
slots = 2
[[team]]
name = "north"
key_hash = "0000000000000000000000000000000000000000000000000000000000000001"
)";
}

inline FleetConfigurationPtr testConfiguration(std::uint64_t revision = 1, const std::string &extra = "")
{
    return FleetConfiguration::parse(configurationText() + extra, "test", revision);
}

/** A call of one of the classes of the test configuration, received at `now`. */
inline Call makeCall(const std::string &id, const std::string &className, TimePoint now)
{
    const auto configuration = testConfiguration();
    const ServiceClass *spec = configuration->findClass(className);
    Call call;
    call.id = id;
    call.className = className;
    call.service = spec->service;
    call.team = "north";
    call.tier = spec->tier;
    call.idempotent = spec->idempotent;
    call.sheddable = spec->sheddable;
    call.preemptible = spec->preemptible;
    call.deadline = now + spec->deadline;
    return call;
}

/** A non-idempotent call with an idempotency key. */
inline Call makeDispatch(const std::string &id, const std::string &key, TimePoint issuedAt, bool firstAttempt)
{
    Call call = makeCall(id, "dispatch", issuedAt);
    call.key = IdempotencyKey{key, issuedAt, firstAttempt};
    return call;
}

/** An agent core that has applied the test configuration. */
inline AgentCore makeAgent(
    const std::string &endpoint, const std::string &service, TimePoint now, AgentPolicy policy = AgentPolicy())
{
    AgentCore core(
        {service, endpoint, "vm-" + endpoint, static_cast<std::uint64_t>(now.time_since_epoch().count())}, policy);
    core.handle(ConfigurationApplied{testConfiguration()}, now);
    return core;
}

/** Returns the actions of type `Wanted` in their order. */
template<typename Wanted, typename Action>
std::vector<Wanted> actionsOfType(const std::vector<Action> &actions)
{
    std::vector<Wanted> out;
    for (const auto &action : actions) {
        if (const auto *item = std::get_if<Wanted>(&action)) {
            out.push_back(*item);
        }
    }
    return out;
}

}
