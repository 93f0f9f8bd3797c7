/** \file
 * Which software version began a stream. What two versions write doesn't fit together, so a stream may go on only at
 * endpoints of the version that wrote its first event.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Cyclamenturn
{

struct EndpointRecord;

/** Identifies a stream by the attempt that brought its first event, together with the caller's key and the request's
 * host and path, so that nobody reaches the stream of another caller or request. */
using StreamKey = std::uint64_t;
/** Identifies a service. */
using ServiceKey = std::uint64_t;
/** Identifies a software version of a service, or an incarnation whose version isn't known. */
using VersionKey = std::uint64_t;

StreamKey streamKey(
    const std::string &attemptId, const std::string &callerKey, const std::string &host, std::string_view path);
ServiceKey serviceKey(const std::string &service);
/** The version of the endpoint, or incarnationKey() if it isn't known. */
VersionKey versionKey(const EndpointRecord &endpoint);
/** The key as log lines show it. */
std::string versionText(VersionKey version);
/** Stands for the version of this incarnation alone, so that it equals no other endpoint's. */
VersionKey incarnationKey(const EndpointRecord &endpoint);

/** Tells that endpoints of this version began the stream. */
struct StreamOrigin
{
    StreamKey stream = 0;
    VersionKey version = 0;

    bool operator==(const StreamOrigin &other) const
    {
        return std::tie(stream, version) == std::tie(other.stream, other.version);
    }
};

/** An origin with the time since its stream began. */
struct AgedOrigin
{
    StreamOrigin origin;
    Duration age{};

    bool operator==(const AgedOrigin &other) const
    {
        return std::tie(origin, age) == std::tie(other.origin, other.age);
    }
};

}
