/** \file
 * The settings of one gateway process.
 */
#pragma once

#include "address.h"
#include "overloadpolicy.h"
#include "placement.h"
#include "retrywindow.h"

#include <optional>
#include <string>

namespace Cyclamenturn
{

struct GatewaySettings
{
    std::string name;
    std::string failureDomain;
    /** Where callers connect. */
    Address callers;
    /** Where the balancer asks whether this process takes callers. */
    Address readiness;
    Address metrics;
    /** Where the other gateways send their digests. */
    Address peers;
    Address store;
    /** How long the platform waits after SIGTERM before it kills the process. */
    Duration stopGrace{};
    /** Gateways that the fleet is taken to have while nothing tells their number. */
    int assumedGateways = 16;
    /** Interval between two reads of the list of endpoints. */
    Duration listInterval{};
    RetryAllowance retries;
    PlacementPolicy placement;
    OverloadSettings overload;
};

/** Reads a settings file. Throws UserError with file, line, key and what is allowed. */
GatewaySettings readGatewaySettings(const std::string &fileName);

/** Whether the TOML text says that it is for a gateway. Throws UserError when it isn't TOML. */
bool isGatewaySettings(const std::string &text, const std::string &fileName);

/** Reads settings out of TOML text; `fileName` is used in messages only. */
GatewaySettings parseGatewaySettings(const std::string &text, const std::string &fileName);

}
