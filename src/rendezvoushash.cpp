/** \file
 * Implements rendezvous hashing with XXH3.
 */
#include "rendezvoushash.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>
#include <xxhash.h>

namespace Cyclamenturn
{

std::uint64_t contentHash(const std::string &bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t contentHash(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(state.get());
    for (const std::string_view part : parts) {
        XXH3_64bits_update(state.get(), part.data(), part.size());
    }
    return XXH3_64bits_digest(state.get());
}

double weightedRank(std::uint64_t hash, double weight)
{
    // The hash as a number between 0 and 1, both excluded.
    constexpr unsigned UNUSED_BITS = 11;
    const double fraction = std::ldexp(static_cast<double>(hash >> UNUSED_BITS) + 0.5, -53);
    return weight / -std::log(fraction);
}

std::vector<std::string> rendezvousOrder(const std::string &key, std::vector<std::string> names)
{
    const std::uint64_t seed = contentHash(key);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(names.size());
    for (auto &name : names) {
        const std::uint64_t rank = contentHash(name, seed);
        ranked.emplace_back(rank, std::move(name));
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto &item : ranked) {
        out.push_back(std::move(item.second));
    }
    return out;
}

}
