/** \file
 * Client of the platform's VM list. The list lags behind the real state of the VMs: the state "leaving" is a hint that
 * the processes on a VM should shut down, but no state proves that a VM no longer runs.
 */
#pragma once

#include "address.h"

#include <string>

namespace Cyclamenturn
{

enum class VmState {
    Live,
    Leaving,
    /** The list doesn't contain the VM, gives it another state, or couldn't be read. */
    NotListed,
};

/** Queries the list for one VM. Never throws; returns NotListed if the list is unreachable. */
VmState readVmState(const Address &vmList, const std::string &vm);

}
