/** \file
 * The settings of one gateway process.
 */
#pragma once

#include "address.h"
#include "dutysettings.h"
#include "overloadpolicy.h"
#include "placement.h"
#include "retrywindow.h"

#include "transport/requestmemory.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

struct GatewaySettings
{
    std::string name;
    std::string failureDomain;
    /** Address for callers' requests. */
    Address callers;
    /** Address for the load balancer's readiness checks. */
    Address readiness;
    /** Address for reads of the metrics. */
    Address metrics;
    /** Address for datagrams from the other gateways. */
    Address peers;
    Address store;
    /** Time from the platform's SIGTERM to its SIGKILL. */
    Duration stopGrace{};
    /** Assumed minimum number of gateways in the fleet while no peer is live. */
    int assumedGateways = 16;
    /** Minimum interval between two reads of the list of endpoints. */
    Duration listInterval{};
    /** How long a confirmation of the configuration by the store is valid. Afterwards, what the configuration lacks may
     * have been added. */
    Duration confirmationTimeout{};
    /** Memory of the VM. */
    int memoryMegabytes = static_cast<int>(RequestMemory::DEFAULT_VM_MB);
    /** Descriptors that the process may have. */
    int descriptors = 2870;
    /** Names of the contracts that are in force in the deployment; the platform's adapter knows what they mean. */
    std::vector<std::string> contracts;
    RetryBudgetSettings retries;
    PlacementPolicy placement;
    OverloadSettings overload;
    /** Empty if the platform has no API. */
    std::optional<DutySettings> duties;
};

/** Reads a settings file. Throws UserError that names the file, line, key and allowed values. */
GatewaySettings readGatewaySettings(const std::string &fileName);

/** Adds settings that a deployment passes beside the file: `memory_mb`, `descriptors`, `contracts` and `[duties]`, as
 * TOML text. They take precedence over the file. Throws UserError that names `source`. */
void addDeploymentSettings(GatewaySettings &settings, const std::string &text, const std::string &source);

/** Whether the TOML text sets the role "gateway". Throws UserError when the text isn't valid TOML. */
bool isGatewaySettings(const std::string &text, const std::string &fileName);

/** Parses settings from TOML text; `fileName` is used in error messages only. Throws UserError like
 * readGatewaySettings(). */
GatewaySettings parseGatewaySettings(const std::string &text, const std::string &fileName);

}
