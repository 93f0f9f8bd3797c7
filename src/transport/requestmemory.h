/** \file
 * Accounts the memory that the requests of a process's clients take, and decides which connection has to give way when
 * too much is in use. A client that stops just short of a request's end would keep that memory for long otherwise.
 */
#pragma once

#include "timepoint.h"

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <utility>

namespace Cyclamenturn
{

/** A connection that takes memory for requests, as the account knows it. */
class RequestMemoryUser
{
public:
    virtual ~RequestMemoryUser() = default;
    /** Ends the request that isn't complete, or closes the connection. The account knows afterwards that the connection
     * takes less. */
    virtual void giveWay() = 0;
};

/** Used by one thread. Must be owned by a shared pointer. */
class RequestMemory : public std::enable_shared_from_this<RequestMemory>
{
public:
    static constexpr std::size_t BYTES_PER_MB = 1048576;
    /** The memory of the smallest VM. */
    static constexpr std::size_t DEFAULT_VM_MB = 112;
    /** Connections that take no more than this give way last: a head of the largest permitted size and a short body. */
    static constexpr std::size_t SMALL_REQUEST_BYTES = 32768;

    /** A complete request. It can't give way, since it may be running. Counts its memory until it is destroyed. */
    class Hold
    {
    public:
        Hold() = default;
        Hold(Hold &&other) noexcept
            : m_memory(std::move(other.m_memory))
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        Hold &operator=(Hold &&other) noexcept
        {
            std::swap(m_memory, other.m_memory);
            std::swap(m_bytes, other.m_bytes);
            return *this;
        }
        Hold(const Hold &) = delete;
        Hold &operator=(const Hold &) = delete;
        ~Hold();

    private:
        friend class RequestMemory;
        Hold(std::shared_ptr<RequestMemory> memory, std::size_t bytes)
            : m_memory(std::move(memory))
            , m_bytes(bytes)
        {
        }

        std::shared_ptr<RequestMemory> m_memory;
        std::size_t m_bytes = 0;
    };

    /** The part of a VM's memory that requests may take, in bytes: a third. A quarter is for responses that are
     * collected (ResponseMemory). The rest is for the process itself, and for copies while strings grow. */
    static std::size_t capacityOf(std::size_t vmMegabytes)
    {
        return vmMegabytes * BYTES_PER_MB / 3;
    }
    explicit RequestMemory(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /**
     * Sets what a connection takes for data that isn't a complete request: heads and bodies in part, input behind a
     * request in progress, and responses that its client hasn't read. `givesWayLast`: closing the connection would
     * spoil a request in progress or a response.
     */
    void setIncomplete(RequestMemoryUser *user, std::size_t bytes, TimePoint now, bool givesWayLast);
    /** Lets connections give way until what is in use fits. */
    void letGiveWay(TimePoint now);
    /** Lets connections give way until there is room for a complete request of `bytes`. Returns whether there is. What
     * its own connection takes for it mustn't be counted any more. */
    bool makeRoomFor(std::size_t bytes, TimePoint now);
    /** Counts a complete request. */
    Hold hold(std::size_t bytes);

    std::size_t used() const
    {
        return m_incomplete + m_held;
    }
    /** Returns whether much memory was in use since the last call that returned true, and nearly none is now. Freed
     * memory is worth returning to the operating system then. */
    bool takeEmptied();

private:
    struct Use
    {
        std::size_t bytes = 0;
        bool givesWayLast = false;
        /** When `bytes` changed last. */
        TimePoint changedAt;
        /** Bytes times microseconds until then. */
        double taken = 0;

        double takenUntil(TimePoint now) const;
    };
    /** Returns the connection that must give way so that `additional` bytes fit, or null. */
    RequestMemoryUser *nextToGiveWay(std::size_t additional, TimePoint now) const;
    /** Additional room while the capacity is filled: for small requests, for input behind requests in progress, and for
     * responses. */
    std::size_t reserve() const
    {
        return m_capacity / 4;
    }

    std::size_t m_capacity;
    /** Connections that take something. */
    std::unordered_map<RequestMemoryUser *, Use> m_uses;
    /** Sum over m_uses. */
    std::size_t m_incomplete = 0;
    /** Sum over all holds. */
    std::size_t m_held = 0;
    /** The largest sum since takeEmptied() has returned true. */
    std::size_t m_peak = 0;
};

}
