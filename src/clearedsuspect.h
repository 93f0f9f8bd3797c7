/** \file
 * A crash suspect that has completed. Processes exchange these beside crash reports, since a report that another
 * process still has would otherwise bring the suspicion back.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>

namespace Cyclamenturn
{

struct ClearedSuspect
{
    /** Fingerprint of the request. */
    std::uint64_t fingerprint = 0;
    /** Crashes before this time don't count for the request. */
    TimePoint at;

    bool operator==(const ClearedSuspect &other) const
    {
        return fingerprint == other.fingerprint && at == other.at;
    }
};

}
