/** \file
 * Queue through which any thread can run callbacks on the thread of an event loop.
 */
#pragma once

#include "eventloop.h"

#include <Poco/Net/DatagramSocket.h>

#include <functional>
#include <mutex>
#include <vector>

namespace Cyclamenturn
{

class CallbackQueue : private SocketHandler
{
public:
    /** Must be called on the loop's thread, or before the loop is started. */
    explicit CallbackQueue(EventLoop &loop);
    ~CallbackQueue() override;

    /**
     * Runs `callback` on the loop's thread, in the next iteration of the loop. May be called from any thread. Callbacks
     * posted by the same thread run in the order of the calls.
     */
    void post(std::function<void()> callback);

private:
    void socketReady(int modes) override;

    EventLoop &m_loop;
    /** Connected to itself. Sending a datagram on it wakes the event loop. */
    Poco::Net::DatagramSocket m_wakeSocket;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_callbacks;
};

}
