/** \file
 * Decides to which gateways the digests of a round are sent.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace Cyclamenturn
{

/**
 * Sends to all gateways in turn, in an order of its own for each process and each turn. With a common order, gateways
 * that start together send to the same few at the same time, and each receives nothing until the turn is over.
 */
class DigestRounds
{
public:
    /** Time between two rounds. Short, since the load changes within a few hundred milliseconds when a burst begins. */
    static constexpr Duration INTERVAL = milliseconds(300);
    /** Maximum number of digests sent in a round, so that the traffic of one gateway doesn't grow with the fleet. */
    static constexpr std::size_t DIGESTS_PER_ROUND = 6;

    /** In the first turn, as the others don't know a process that has just started. */
    static constexpr std::size_t FIRST_TURN_PER_ROUND = 12;

    explicit DigestRounds(std::uint64_t seed);

    /** Returns the addresses of the next round, out of those given, which are sorted. */
    std::vector<Address> next(const std::vector<Address> &addresses);

private:
    std::mt19937_64 m_random;
    /** The rest of the current turn, from the back. A gateway that becomes known during the turn is in it, too. */
    std::vector<Address> m_turn;
    bool m_isFirstTurn = true;
    /** The addresses at the last round. */
    std::vector<Address> m_known;
};

}
