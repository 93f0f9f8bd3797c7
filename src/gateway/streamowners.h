/** \file
 * Which gateways keep the origin of a stream. All gateways rank the fleet's gateways in the same order for each stream,
 * so that any of them finds out where to ask.
 */
#pragma once

#include "streamorigin.h"

#include <array>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** Number of gateways that keep an origin besides the one that began the stream; one of them may fail. */
constexpr std::size_t STREAM_COPIES = 2;
/** Number of gateways that are asked first. The one that began the stream may be among the first in the order. */
constexpr std::size_t STREAM_OWNERS_ASKED = STREAM_COPIES + 1;

/** The gateways that keep an origin, by gatewayHash(); 0 where there are fewer. */
using StreamOwnerHashes = std::array<std::uint32_t, STREAM_OWNERS_ASKED>;

/** The first `count` of the gateways in the order for this stream. */
std::vector<std::string> rankedGateways(StreamKey stream, const std::vector<std::string> &gateways, std::size_t count);
/** The hashes of the first gateways of a ranking. */
StreamOwnerHashes ownerHashes(const std::vector<std::string> &ranked);

}
