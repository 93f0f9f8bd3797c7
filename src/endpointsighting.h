/** \file
 * Evidence that a suspected endpoint still runs, as processes tell it to each other.
 */
#pragma once

#include "timepoint.h"

#include <string>
#include <tuple>

namespace Cyclamenturn
{

/** A response of an endpoint. */
struct EndpointSighting
{
    /** EndpointRecord::incarnationName() at gateways. */
    std::string endpoint;
    /** When the request was sent to which it responded. */
    TimePoint sentAt;

    bool operator==(const EndpointSighting &other) const
    {
        return std::tie(endpoint, sentAt) == std::tie(other.endpoint, other.sentAt);
    }
};

}
