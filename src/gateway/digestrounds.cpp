/** \file
 * Turns through the gateways to which digests are sent.
 */
#include "digestrounds.h"

#include <algorithm>
#include <iterator>

namespace Cyclamenturn
{

DigestRounds::DigestRounds(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<Address> DigestRounds::next(const std::vector<Address> &addresses)
{
    std::vector<Address> added;
    std::set_difference(addresses.begin(), addresses.end(), m_known.begin(), m_known.end(), std::back_inserter(added));
    for (const Address &address : added) {
        const auto position = static_cast<std::ptrdiff_t>(m_random() % (m_turn.size() + 1));
        m_turn.insert(m_turn.begin() + position, address);
    }
    m_known = addresses;
    const std::size_t most = m_isFirstTurn ? FIRST_TURN_PER_ROUND : DIGESTS_PER_ROUND;
    const std::size_t count = std::min(addresses.size(), most);
    std::vector<Address> out;
    while (out.size() < count) {
        if (m_turn.empty()) {
            m_isFirstTurn = false;
            m_turn = addresses;
            std::shuffle(m_turn.begin(), m_turn.end(), m_random);
        }
        const Address address = m_turn.back();
        m_turn.pop_back();
        const bool isKnown = std::binary_search(addresses.begin(), addresses.end(), address);
        if (isKnown && std::find(out.begin(), out.end(), address) == out.end()) {
            out.push_back(address);
        }
    }
    return out;
}

}
