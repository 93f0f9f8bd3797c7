/** \file
 * Implements the callback queue with a loopback socket that wakes the event loop.
 */
#include "callbackqueue.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

namespace Cyclamenturn
{

CallbackQueue::CallbackQueue(EventLoop &loop)
    : m_loop(loop)
    , m_wakeSocket(Poco::Net::SocketAddress("127.0.0.1", 0), false)
{
    m_wakeSocket.connect(m_wakeSocket.address());
    m_wakeSocket.setBlocking(false);
    m_loop.watch(m_wakeSocket, Poco::Net::PollSet::POLL_READ, this);
}

CallbackQueue::~CallbackQueue()
{
    m_loop.unwatch(m_wakeSocket);
}

void CallbackQueue::post(std::function<void()> callback)
{
    bool wasEmpty = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        wasEmpty = m_callbacks.empty();
        m_callbacks.push_back(std::move(callback));
    }
    if (!wasEmpty) {
        return;
    }
    try {
        m_wakeSocket.sendBytes("", 1);
    } catch (const Poco::Exception &) { // a full socket buffer already holds a datagram that wakes the loop
    }
}

void CallbackQueue::socketReady(int)
{
    char bytes[16];
    try {
        m_wakeSocket.receiveBytes(bytes, sizeof(bytes));
    } catch (const Poco::Exception &) { // run the callbacks even if the datagram cannot be read
    }
    std::vector<std::function<void()>> callbacks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        callbacks.swap(m_callbacks);
    }
    for (const auto &callback : callbacks) {
        callback();
    }
}

}
