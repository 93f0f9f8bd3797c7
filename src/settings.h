/** \file
 * The settings of one process: its role, its addresses and the addresses of the services and processes that it uses.
 * Settings of the whole fleet are in the configuration document instead.
 */
#pragma once

#include "address.h"
#include "agentcore.h"
#include "entrycore.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

enum class Role {
    Entry,
    Agent,
};

struct Settings
{
    Role role = Role::Entry;
    /** The name of this process in logs, status and the VM list. */
    std::string name;
    /** The name that the VM list uses for the VM on which the process runs. */
    std::string vm;
    std::string failureDomain;
    Address listen;
    /** The address at which other processes reach this one. */
    Address advertised;
    Address store;
    std::optional<Address> vmList;
    /** Processes from which the configuration can be fetched while the store is unreachable. */
    std::vector<Address> seeds;
    std::string fleetKeyFile;
    int threads = 0;
    /** Memory of the VM. */
    int memoryMegabytes = 0;
    /** Descriptors that the process may have. */
    int descriptors = 0;

    /** Only for agents: the endpoint's name in the configuration, its service and the address that it listens on. */
    std::string endpoint;
    std::string service;
    Address endpointAddress;

    EntryPolicy entryPolicy;
    AgentPolicy agentPolicy;
};

/** Reads a settings file. Throws UserError with the file, the line, the key and the allowed values. */
Settings readSettings(const std::string &fileName);

/** Parses settings from TOML text; `fileName` is used in messages only. */
Settings parseSettings(const std::string &text, const std::string &fileName);

}
