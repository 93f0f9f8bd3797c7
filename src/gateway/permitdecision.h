/** \file
 * The decision on a permit to send one request to an endpoint with a limit.
 */
#pragma once

#include "timepoint.h"

#include <variant>

namespace Cyclamenturn
{

/** The request may be sent once, `wait` from now. */
struct PermitGranted
{
    Duration wait{};

    bool operator==(const PermitGranted &other) const
    {
        return wait == other.wait;
    }
};

/** No permit is free within the time that the asker can wait. */
struct PermitDenied
{
    /** When the next one is expected to be free, for an asker that comes back then. */
    Duration retryAfter{};

    bool operator==(const PermitDenied &other) const
    {
        return retryAfter == other.retryAfter;
    }
};

using PermitDecision = std::variant<PermitGranted, PermitDenied>;

}
