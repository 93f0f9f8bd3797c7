/** \file
 * Implements the account of the memory that requests take.
 */
#include "requestmemory.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** The account counts as emptied below a part of this of its capacity, and as used above it. */
constexpr std::size_t EMPTIED_DIVISOR = 8;

}

double RequestMemory::Use::takenUntil(TimePoint now) const
{
    return taken + static_cast<double>(bytes) * static_cast<double>((now - changedAt).count());
}

RequestMemory::Hold::~Hold()
{
    if (m_memory) {
        m_memory->m_held -= m_bytes;
    }
}

void RequestMemory::setIncomplete(RequestMemoryUser *user, std::size_t bytes, TimePoint now, bool givesWayLast)
{
    const auto found = m_uses.find(user);
    const std::size_t bytesBefore = found == m_uses.end() ? 0 : found->second.bytes;
    m_incomplete = m_incomplete - bytesBefore + bytes;
    m_peak = std::max(m_peak, used());
    if (found == m_uses.end()) {
        if (bytes > 0) {
            m_uses.emplace(user, Use{bytes, givesWayLast, now, 0});
        }
    } else if (bytes == 0) {
        m_uses.erase(found);
    } else {
        found->second = {bytes, givesWayLast, now, found->second.takenUntil(now)};
    }
}

RequestMemoryUser *RequestMemory::nextToGiveWay(std::size_t additional, TimePoint now) const
{
    const std::size_t wanted = used() + additional;
    if (wanted <= m_capacity) {
        return nullptr;
    }
    const bool mayAnyGiveWay = wanted > m_capacity + reserve();
    RequestMemoryUser *out = nullptr;
    std::pair<bool, double> mostTaken;
    for (const auto &[user, use] : m_uses) {
        const bool givesWayFirst = use.bytes > SMALL_REQUEST_BYTES && !use.givesWayLast;
        // Of several connections that have just begun, the one that has taken most.
        const std::pair<bool, double> taken(givesWayFirst, use.takenUntil(now) + static_cast<double>(use.bytes));
        if ((givesWayFirst || mayAnyGiveWay) && (out == nullptr || taken > mostTaken)) {
            out = user;
            mostTaken = taken;
        }
    }
    return out;
}

void RequestMemory::letGiveWay(TimePoint now)
{
    while (RequestMemoryUser *user = nextToGiveWay(0, now)) {
        user->giveWay();
    }
}

bool RequestMemory::makeRoomFor(std::size_t bytes, TimePoint now)
{
    const std::size_t limit = m_capacity + (bytes <= SMALL_REQUEST_BYTES ? reserve() : 0);
    while (used() + bytes > limit) {
        RequestMemoryUser *user = nextToGiveWay(bytes, now);
        if (user == nullptr) {
            return false;
        }
        user->giveWay();
    }
    return true;
}

RequestMemory::Hold RequestMemory::hold(std::size_t bytes)
{
    m_held += bytes;
    m_peak = std::max(m_peak, used());
    return {shared_from_this(), bytes};
}

bool RequestMemory::takeEmptied()
{
    if (m_peak <= m_capacity / EMPTIED_DIVISOR || used() > m_capacity / EMPTIED_DIVISOR) {
        return false;
    }
    m_peak = used();
    return true;
}

}
