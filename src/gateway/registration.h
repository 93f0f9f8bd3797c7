/** \file
 * Registers this gateway in the platform's store under a lease, and reads where the others are.
 */
#pragma once

#include "messagecodec.h"
#include "storecall.h"

#include "transport/eventloop.h"

#include <functional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class Registration
{
public:
    /** An entry outlives its process by this long at most. */
    static constexpr Duration LEASE_DURATION = milliseconds(30000);
    static constexpr Duration RENEWAL_INTERVAL = milliseconds(10000);
    /** Digests keep the gateways together; the list only mends what lost datagrams and cuts left apart. */
    static constexpr Duration LIST_INTERVAL = milliseconds(15000);

    Registration(EventLoop &loop, const StoreCodec &codec, const Address &store, std::string name, Address ownAddress,
        std::function<void(const Address &)> peerFound);
    ~Registration();

    void start();
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    void createLease();
    void writeEntry();
    void listPeers();
    void renew();
    void retry();
    void schedule(Duration wait, void (Registration::*step)());
    void begin(const StoreRequest &request, std::function<void(int status, const std::string &body)> done);

    EventLoop &m_loop;
    const StoreCodec &m_codec;
    StoreCall m_call;
    std::string m_name;
    Address m_ownAddress;
    std::function<void(const Address &)> m_peerFound;
    std::uint64_t m_leaseId = 0;
    TimePoint m_listedAt;
    EventLoop::Timer m_timer;
    std::uint64_t m_calls = 0;
};

}
