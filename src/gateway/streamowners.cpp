/** \file
 * Owners of the origins of streams.
 */
#include "streamowners.h"

#include "peerdigest.h"
#include "rendezvoushash.h"

#include <algorithm>

namespace Cyclamenturn
{

std::vector<std::string> rankedGateways(StreamKey stream, const std::vector<std::string> &gateways, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
    ranked.reserve(gateways.size());
    for (const std::string &name : gateways) {
        ranked.emplace_back(contentHash(name, stream), &name);
    }
    const std::size_t size = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size), ranked.end(),
        [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<std::string> out;
    out.reserve(size);
    for (std::size_t i = 0; i < size; ++i) {
        out.push_back(*ranked[i].second);
    }
    return out;
}

StreamOwnerHashes ownerHashes(const std::vector<std::string> &ranked)
{
    StreamOwnerHashes out{};
    for (std::size_t i = 0; i < std::min(out.size(), ranked.size()); ++i) {
        out[i] = gatewayHash(ranked[i]);
    }
    return out;
}

}
