/** \file
 * Calls that other threads hand to the thread of an event loop.
 */
#include "loopinbox.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

namespace Cyclamenturn
{

LoopInbox::LoopInbox(EventLoop &loop)
    : m_loop(loop)
    , m_wake(Poco::Net::SocketAddress("127.0.0.1", 0), false)
{
    m_wake.connect(m_wake.address());
    m_wake.setBlocking(false);
    m_loop.watch(m_wake, Poco::Net::PollSet::POLL_READ, this);
}

LoopInbox::~LoopInbox()
{
    m_loop.unwatch(m_wake);
}

void LoopInbox::post(std::function<void()> call)
{
    bool first = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        first = m_calls.empty();
        m_calls.push_back(std::move(call));
    }
    if (!first) {
        return;
    }
    try {
        m_wake.sendBytes("", 1);
    } catch (const Poco::Exception &) { // a full buffer holds a datagram that wakes the loop
    }
}

void LoopInbox::socketReady(int)
{
    char bytes[16];
    try {
        m_wake.receiveBytes(bytes, sizeof(bytes));
    } catch (const Poco::Exception &) { // the calls below are what counts
    }
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        calls.swap(m_calls);
    }
    for (const auto &call : calls) {
        call();
    }
}

}
