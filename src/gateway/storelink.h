/** \file
 * Keeps this process's copies of the configuration and of the list of endpoints close behind the platform's store.
 */
#pragma once

#include "address.h"
#include "messagecodec.h"

#include "transport/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class StoreCall;

/** What a StoreLink learns. */
class StoreLinkListener
{
public:
    virtual ~StoreLinkListener() = default;
    virtual void configurationRead(RoutingConfigurationPtr configuration, std::uint64_t revision) = 0;
    virtual void endpointsRead(const std::vector<EndpointRecord> &list, std::uint64_t revision) = 0;
    virtual void endpointsReadFailed() = 0;
    /** How long to wait from one read of the list to the next. */
    virtual Duration listReadDelay() = 0;
};

class StoreLink
{
public:
    StoreLink(EventLoop &loop, const StoreCodec &codec, const Address &address, StoreLinkListener &listener);
    ~StoreLink();

    void start();
    void setAddress(const Address &address);
    /** Another process has that revision of the configuration: reads it if the one in hand is older. */
    void handlePeerConfigurationRevision(std::uint64_t revision);
    /** Another process has read the list of endpoints: this one's read can wait. */
    void postponeListRead();
    /** Whether other gateways would tell of a change that this process's watch misses. */
    void setHasPeers(bool hasPeers)
    {
        m_hasPeers = hasPeers;
    }
    std::uint64_t configurationRevision() const
    {
        return m_configurationRevision;
    }
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    /** Either duty against the store: its connection, and whether the store answers it. */
    struct Channel
    {
        const char *name;
        std::unique_ptr<StoreCall> call;
        EventLoop::Timer timer{};
        bool isAvailable = true;
    };

    void readConfiguration();
    void watchConfiguration();
    void handleConfigurationItems(const std::vector<StoreItem> &items);
    void retryConfiguration(Duration wait);
    void readEndpoints();
    void scheduleListRead(Duration wait);
    void finishListRead();
    void failListRead();
    const EndpointRecord *decodeCached(const StoreItem &item);
    void begin(Channel &channel, const StoreRequest &request, Duration timeout,
        std::function<void(int status, const std::string &body)> done);
    void setAvailable(Channel &channel, bool available, const std::string &reason);

    EventLoop &m_loop;
    const StoreCodec &m_codec;
    Address m_address;
    StoreLinkListener &m_listener;
    Channel m_configuration{"configuration", nullptr};
    Channel m_endpoints{"endpoints", nullptr};
    /** Revision of the store as of the last answer about the configuration. */
    std::uint64_t m_watchedRevision = 0;
    /** Revision of the configuration in hand; never goes down. */
    std::uint64_t m_configurationRevision = 0;
    /** When the configuration was last read because of what another process has. */
    TimePoint m_peerTriggeredReadAt;
    bool m_isWatching = false;
    /** Whether other gateways have been heard, so that their digests tell of changes. */
    bool m_hasPeers = false;
    /** A read of the list is on its way. */
    bool m_isListReadPending = false;
    /** Pages of the list being read. */
    std::vector<StoreItem> m_listItems;
    /** Store revision of the first page: the list holds everything up to it. */
    std::uint64_t m_listRevision = 0;
    struct Decoded
    {
        std::uint64_t revision = 0;
        std::optional<EndpointRecord> record;
    };
    /** Registrations by key, so that unchanged ones aren't parsed again. */
    std::map<std::string, Decoded> m_decodedEndpoints;
    std::uint64_t m_calls = 0;
};

}
