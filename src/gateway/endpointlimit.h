/** \file
 * The rate of requests that an endpoint accepts from all gateways together, as it states in its responses.
 */
#pragma once

#include "timepoint.h"

#include <optional>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

/** What one response said about the limit of its endpoint. */
struct EndpointLimit
{
    /** EndpointRecord::incarnationName(). */
    std::string endpoint;
    /** Requests per second; empty if the response states no limit. */
    std::optional<double> perSecond;
    /**
     * With a limit, when the response was received. Without one, when its request was sent: an earlier request may have
     * been answered before the limit began.
     */
    TimePoint at;

    bool operator==(const EndpointLimit &other) const
    {
        return std::tie(endpoint, perSecond, at) == std::tie(other.endpoint, other.perSecond, other.at);
    }
};

}
