/** \file
 * Rotation through the gateways to which digests are sent.
 */
#include "digestrounds.h"

#include <algorithm>

namespace Cyclamenturn
{

std::vector<Address> DigestRounds::next(const std::vector<Address> &addresses)
{
    std::vector<Address> out;
    const std::size_t count = std::min(addresses.size(), DIGESTS_PER_ROUND);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(addresses[(m_next + i) % addresses.size()]);
    }
    m_next = count > 0 ? (m_next + count) % addresses.size() : 0;
    return out;
}

}
