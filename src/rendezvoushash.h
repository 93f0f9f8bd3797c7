/** \file
 * Rendezvous hashing: each key defines its own order of the endpoints, and the relative order of the others does not
 * change when an endpoint is added or removed.
 */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamenturn
{

/** A 64-bit hash of `bytes` that is the same on every VM. */
std::uint64_t contentHash(const std::string &bytes, std::uint64_t seed = 0);
/** The hash of the parts one after the other, without a copy of them. */
std::uint64_t contentHash(std::initializer_list<std::string_view> parts);

/** A rank for rendezvous hashing with weights: the key goes to the candidate with the highest rank, and each candidate
 * gets keys in proportion to its weight. With equal weights the order is that of the hashes. */
double weightedRank(std::uint64_t hash, double weight);

/**
 * Returns `names` in the order of preference for `key`. The first one is the home of the key.
 * Example: `rendezvousOrder("k1", {"a", "b"})`.
 */
std::vector<std::string> rendezvousOrder(const std::string &key, std::vector<std::string> names);

}
