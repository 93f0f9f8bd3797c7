/** \file
 * Bounds the memory of the responses that are collected until they are complete, summed over all requests.
 */
#pragma once

#include <algorithm>
#include <cstddef>

namespace Cyclamenturn
{

class ResponseMemory
{
public:
    /** A quarter of the smallest VM's memory. */
    static constexpr std::size_t CAPACITY_BYTES = 25165824;
    /** Responses up to this size are collected in any case. */
    static constexpr std::size_t SMALL_RESPONSE_BYTES = 65536;

    /** Reserves `bytes` for a response that has `ownBytes` already. Returns false if too much is in use. */
    bool tryReserve(std::size_t ownBytes, std::size_t bytes)
    {
        if (ownBytes + bytes > SMALL_RESPONSE_BYTES && m_used + bytes > CAPACITY_BYTES) {
            return false;
        }
        m_used += bytes;
        return true;
    }
    void release(std::size_t bytes)
    {
        m_used -= std::min(bytes, m_used);
    }
    std::size_t used() const
    {
        return m_used;
    }

private:
    std::size_t m_used = 0;
};

}
