/** \file
 * Calls that other threads hand to the thread of an event loop.
 */
#pragma once

#include "eventloop.h"

#include <Poco/Net/DatagramSocket.h>

#include <functional>
#include <mutex>
#include <vector>

namespace Cyclamenturn
{

class LoopInbox : private SocketHandler
{
public:
    /** Called on the loop's thread, or before it starts. */
    explicit LoopInbox(EventLoop &loop);
    ~LoopInbox() override;

    /** Runs `call` on the loop's thread in its next turn. Any thread may post; calls of one thread keep their order. */
    void post(std::function<void()> call);

private:
    void socketReady(int modes) override;

    EventLoop &m_loop;
    /** Connected to itself; a datagram in it wakes the loop. */
    Poco::Net::DatagramSocket m_wake;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_calls;
};

}
