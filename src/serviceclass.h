/** \file
 * A request class: its service, tier and latency targets, and whether its calls may be repeated, shed or preempted.
 */
#pragma once

#include "timepoint.h"

#include <string>
#include <tuple>

namespace Cyclamenturn
{

/** A request class of the configuration. Tier 0 is the highest. */
struct ServiceClass
{
    std::string name;
    std::string service;
    int tier = 0;
    /** Target for the time from arrival to the first byte of the response. */
    Duration firstByteTarget{};
    /** Target for the time from arrival to the end of the response. A later response does not count as served. */
    Duration deadline{};
    /** If false, each call needs an idempotency key and runs at most once. */
    bool idempotent = true;
    /** If false, a call is never refused or preempted to free capacity. Always false if `idempotent` is false. */
    bool sheddable = true;
    bool preemptible = false;

    auto tied() const
    {
        return std::tie(name, service, tier, firstByteTarget, deadline, idempotent, sheddable, preemptible);
    }
    bool operator==(const ServiceClass &other) const
    {
        return tied() == other.tied();
    }
};

}
