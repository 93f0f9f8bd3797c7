/** \file
 * Client of the platform's VM list. The list lags behind the VMs' real state: its entry for this VM is a hint to leave,
 * never proof that a VM no longer runs.
 */
#pragma once

#include "address.h"

#include <string>

namespace Cyclamenturn
{

enum class VmState {
    Live,
    Leaving,
    /** The list doesn't contain the VM, or didn't answer. */
    NotListed,
};

/** Queries the list for one VM. Never throws; returns NotListed if the list is unreachable. */
VmState readVmState(const Address &vmList, const std::string &vm);

}
