/** \file
 * Registers this gateway in the platform's store under a lease, and reads the addresses of the other gateways there.
 */
#pragma once

#include "messagecodec.h"
#include "storecall.h"

#include "transport/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class Registration
{
public:
    /** Upper limit on how long a registration remains in the store after its process has ended. */
    static constexpr Duration LEASE_DURATION = milliseconds(30000);
    static constexpr Duration RENEWAL_INTERVAL = milliseconds(10000);
    /** Minimum time between two reads of the list of gateways. Gateways normally stay in contact through their digests;
     * the list only restores contact after lost datagrams or network partitions. */
    static constexpr Duration LIST_INTERVAL = milliseconds(15000);

    /** `peerFound` is called with the name and address of each other gateway in the store's list. */
    Registration(EventLoop &loop, const StoreCodec &codec, const Address &store, std::string name, Address ownAddress,
        std::function<void(const std::string &, const Address &)> peerFound);
    ~Registration();

    void start();
    /** Registers under a new lease after `delay`. */
    void registerAgain(Duration delay);
    /** Registers in another store. */
    void setStore(const Address &store);
    /** The number of calls by their kind. */
    const std::map<std::string, std::uint64_t> &calls() const
    {
        return m_calls;
    }

private:
    void createLease();
    void writeAddress();
    void listPeers();
    /** Notes a gateway of the list. An entry that holds no address is logged. */
    void notePeer(const StoreItem &item);
    void renew();
    void retry();
    void schedule(Duration wait, void (Registration::*step)());
    void begin(
        const char *kind, const StoreRequest &request, std::function<void(StoreResponse &&response)> responseHandler);

    EventLoop &m_loop;
    const StoreCodec &m_codec;
    std::unique_ptr<StoreCall> m_call;
    std::string m_name;
    Address m_ownAddress;
    std::function<void(const std::string &, const Address &)> m_peerFound;
    std::uint64_t m_leaseId = 0;
    TimePoint m_listedAt;
    /** Whether this process has read the list from the store itself. */
    bool m_hasListed = false;
    EventLoop::Timer m_timer;
    std::map<std::string, std::uint64_t> m_calls;
};

}
