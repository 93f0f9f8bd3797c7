/** \file
 * One crash of an endpoint while it ran a request. Processes exchange reports instead of counts, since the union of
 * reports doesn't depend on the order in which they are merged or on how often.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

struct CrashReport
{
    /** Fingerprint of the request. */
    std::uint64_t fingerprint = 0;
    /** The endpoint that crashed. */
    std::string endpoint;
    TimePoint at;
    /** Whether the endpoint has ended for certain, so that responses under its name come from a successor. */
    bool isFinal = false;

    bool operator==(const CrashReport &other) const
    {
        return std::tie(fingerprint, endpoint, at, isFinal)
            == std::tie(other.fingerprint, other.endpoint, other.at, other.isFinal);
    }
};

}
