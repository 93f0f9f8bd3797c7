/** \file
 * A ring buffer of fixed capacity that passes items between threads. It never discards items: when it is full, a sender
 * chooses between failing (tryPush) and waiting (pushBlocking).
 */
#pragma once

#include "timepoint.h"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace Cyclamenturn
{

/**
 * Thread-safe queue for any number of senders and receivers.
 *
 * Example:
 *     BoundedRing<int> ring(16);
 *     ring.tryPush(1);
 *     ring.pop(milliseconds(20)); // 1
 */
template<typename Item>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /** Returns false if the ring is full or closed. The sender must then report the refusal to its own client. */
    [[nodiscard]] bool tryPush(Item item)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_notEmpty.notify_one();
        return true;
    }

    /**
     * Waits while the ring is full. For events that have already happened and therefore cannot be refused. Has no
     * effect if the ring is closed.
     */
    void pushBlocking(Item item)
    {
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_notFull.wait(lock, [this] { return m_closed || !m_items.full(); });
            if (m_closed) {
                return;
            }
            m_items.push_back(std::move(item));
        }
        m_notEmpty.notify_one();
    }

    /** Waits at most `timeout` for an item. Returns nothing if there is none by then. */
    std::optional<Item> pop(Duration timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        if (m_items.empty()) {
            return std::nullopt;
        }
        Item item = std::move(m_items.front());
        m_items.pop_front();
        lock.unlock();
        m_notFull.notify_one();
        return item;
    }

    /** Rejects further items and wakes all waiting threads. Items already in the ring can still be received. */
    void close()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_notEmpty.notify_all();
        m_notFull.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    boost::circular_buffer<Item> m_items;
    bool m_closed = false;
};

}
