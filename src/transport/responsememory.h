/** \file
 * Bounds the memory of the responses that are collected until they are complete, summed over all requests.
 */
#pragma once

#include <atomic>
#include <cstddef>

namespace Cyclamenturn
{

/** Thread-safe. */
class ResponseMemory
{
public:
    /** A quarter of the smallest VM's memory. */
    static constexpr std::size_t CAPACITY_BYTES = 25165824;
    /** Responses up to this size are collected in any case. */
    static constexpr std::size_t SMALL_RESPONSE_BYTES = 65536;

    /** A quarter of a VM's memory, in bytes. */
    static constexpr std::size_t capacityOf(std::size_t vmMegabytes)
    {
        return (vmMegabytes << 20) / 4;
    }
    explicit ResponseMemory(std::size_t capacityBytes = CAPACITY_BYTES)
        : m_capacity(capacityBytes)
    {
    }

    void setCapacity(std::size_t bytes)
    {
        m_capacity = bytes;
    }
    /** Reserves `bytes` for a response that has `ownBytes` already. Returns false if too much is in use. */
    bool tryReserve(std::size_t ownBytes, std::size_t bytes)
    {
        const std::size_t used = m_used.fetch_add(bytes);
        if (ownBytes + bytes > SMALL_RESPONSE_BYTES && used + bytes > m_capacity) {
            m_used -= bytes;
            return false;
        }
        return true;
    }
    void release(std::size_t bytes)
    {
        m_used -= bytes;
    }
    std::size_t used() const
    {
        return m_used;
    }

private:
    std::atomic<std::size_t> m_capacity;
    std::atomic<std::size_t> m_used{0};
};

}
