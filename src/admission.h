/** \file
 * Turns a caller's request into a call, or refuses it: who sends it, of which class, and whether its idempotency key
 * fits.
 */
#pragma once

#include "call.h"
#include "fleetconfiguration.h"
#include "outcome.h"

#include <string>
#include <variant>

namespace Cyclamenturn
{

/** A caller's request as it came in. */
struct CallerRequest
{
    /** Made by the entry; unique in the fleet. */
    std::string id;
    /** SHA-256 of the bearer key in hexadecimal. */
    std::string keyHash;
    std::string className;
    /** The service named in the path of a plain call; empty for chat completions. */
    std::string service;
    std::string method;
    std::string path;
    std::string body;
    std::string idempotencyKey;
    /** Milliseconds since the epoch, as text; empty when absent. */
    std::string issuedAt;
    /** The attempt's number as text; empty when absent. */
    std::string attempt;
};

/** The HTTP status that goes with a refusal. Example: 401 for UnknownTeam. */
int httpStatusOf(const Outcome &outcome);

/** Checks a request against the configuration in force. */
std::variant<Call, Outcome> admitCall(
    const FleetConfiguration &configuration, const CallerRequest &request, TimePoint now);

}
