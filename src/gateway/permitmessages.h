/** \file
 * Datagrams by which gateways ask for permits, give them, and tell each other the limits of endpoints.
 */
#pragma once

#include "endpointlimit.h"
#include "permitdecision.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamenturn
{

struct PermitQuestion
{
    /** Identifies the question among those of its sender. */
    std::uint32_t id = 0;
    /** Name of the gateway that asks. */
    std::string asker;
    /** The limit as the asker knows it. */
    EndpointLimit limit;
    /** How long the request can wait for its permit. */
    Duration maxWait{};
    /** Within which time the caller comes back if it is sent away; 0 if another endpoint will be tried first. */
    Duration returnsWithin{};
    /** Whether it is passed on for another gateway. It isn't passed on again. */
    bool isRelayed = false;
};

struct PermitAnswer
{
    std::uint32_t id = 0;
    /** Name of the gateway that answers. */
    std::string sender;
    PermitDecision decision;
    /** The latest statement of the endpoint that the sender knows. */
    EndpointLimit limit;
};

/** Encodes a message. Times are written as ages before `now`, since the clocks of VMs differ. */
std::string encodePermitQuestion(const PermitQuestion &question, TimePoint now);
std::string encodePermitAnswer(const PermitAnswer &answer, TimePoint now);
std::string encodeLimitNotice(const EndpointLimit &limit, TimePoint now);
/** Decode a message. They return nothing if the bytes aren't a complete message of the kind. */
std::optional<PermitQuestion> decodePermitQuestion(const std::string &bytes, TimePoint now);
std::optional<PermitAnswer> decodePermitAnswer(const std::string &bytes, TimePoint now);
std::optional<EndpointLimit> decodeLimitNotice(const std::string &bytes, TimePoint now);

}
