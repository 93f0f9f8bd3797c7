/** \file
 * Decides to which gateways the digests of a round are sent.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <cstddef>
#include <vector>

namespace Cyclamenturn
{

class DigestRounds
{
public:
    /** Time between two rounds. Short, since the load changes within a few hundred milliseconds when a burst begins. */
    static constexpr Duration INTERVAL = milliseconds(300);
    /** Maximum number of digests sent in a round, so that the traffic of one gateway doesn't grow with the fleet. */
    static constexpr std::size_t DIGESTS_PER_ROUND = 6;

    /** Returns the next addresses, in rotation. */
    std::vector<Address> next(const std::vector<Address> &addresses);

private:
    /** Index of the address at which the next round starts. */
    std::size_t m_next = 0;
};

}
