/** \file
 * Keeps this process's copies of the configuration and of the list of endpoints up to date with the platform's store.
 * The configuration is watched with long polls; the list is read at intervals.
 */
#pragma once

#include "address.h"
#include "configurationorigin.h"
#include "messagecodec.h"

#include "transport/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Cyclamenturn
{

class StoreCall;

/** Receives what a StoreLink reads from the store. */
class StoreLinkListener
{
public:
    virtual ~StoreLinkListener() = default;
    virtual void configurationRead(RoutingConfigurationPtr configuration, std::uint64_t revision) = 0;
    virtual void endpointsRead(const std::vector<EndpointRecord> &list, std::uint64_t revision) = 0;
    virtual void endpointsReadFailed() = 0;
    /** How long to wait before the next read of the list of endpoints. */
    virtual Duration delayUntilListRead() = 0;
};

class StoreLink
{
public:
    StoreLink(EventLoop &loop, const StoreCodec &codec, const Address &address, StoreLinkListener &listener);
    ~StoreLink();

    void start();
    void setAddress(const Address &address);
    /** Handles the configuration revision reported by another gateway: reads the configuration if the current one is
     * older. */
    void handlePeerConfigurationRevision(std::uint64_t revision);
    /** Postpones the next read of the list of endpoints, because another gateway has just read it. */
    void postponeListRead();
    /** Sets whether there are live peers, whose digests report changes that this process's watch may miss. */
    void setHasPeers(bool hasPeers)
    {
        m_hasPeers = hasPeers;
    }
    std::uint64_t configurationRevision() const
    {
        return m_configurationRevision;
    }
    const ConfigurationOrigin &configurationOrigin() const
    {
        return m_configurationOrigin;
    }
    /** The latest revision of the store that any of its responses has shown. */
    const StoreRevision &storeRevision() const
    {
        return m_storeRevision;
    }
    /** When the store last answered a call about the configuration. */
    TimePoint configurationCheckedAt() const
    {
        return m_configurationCheckedAt;
    }
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    /** Connection to the store for one kind of data, and whether the store responds to its calls. */
    struct Channel
    {
        const char *name;
        std::unique_ptr<StoreCall> call;
        EventLoop::Timer timer{};
        bool isAvailable = true;
    };

    void readConfiguration();
    void watchConfiguration();
    void handleConfigurationItems(const std::vector<StoreItem> &items, const char *source);
    void retryConfiguration(Duration wait);
    void readEndpoints();
    void scheduleListRead(Duration wait);
    void finishListRead();
    void failListRead();
    const EndpointRecord *decodeCached(const StoreItem &item);
    void begin(Channel &channel, const StoreRequest &request, Duration timeout,
        std::function<void(const StoreResponse &response)> responseHandler);
    void noteEra(const Channel &channel, const StoreResponse &response);
    void setAvailable(Channel &channel, bool available, const std::string &reason);

    EventLoop &m_loop;
    const StoreCodec &m_codec;
    Address m_address;
    StoreLinkListener &m_listener;
    Channel m_configuration{"configuration", nullptr};
    Channel m_endpoints{"endpoints", nullptr};
    /** Revision of the store at the last response about the configuration. */
    std::uint64_t m_watchedRevision = 0;
    /** Revision of the current configuration; never decreases. */
    std::uint64_t m_configurationRevision = 0;
    ConfigurationOrigin m_configurationOrigin;
    StoreRevision m_storeRevision;
    TimePoint m_configurationCheckedAt;
    /** When the configuration was last read because another gateway reported a newer revision. */
    TimePoint m_peerTriggeredReadAt;
    bool m_isWatching = false;
    /** Whether other gateways are live, so that their digests report changes. */
    bool m_hasPeers = false;
    /** Whether a read of the list is in progress. */
    bool m_isListReadInProgress = false;
    /** Items of the pages received so far of the list being read. */
    std::vector<StoreItem> m_listItems;
    /** Store revision of the first page: the list contains all changes up to it. */
    std::uint64_t m_listRevision = 0;
    struct Decoded
    {
        std::uint64_t revision = 0;
        std::optional<EndpointRecord> record;
    };
    /** Decoded registrations by key, so that unchanged ones aren't parsed again. */
    std::map<std::string, Decoded> m_decodedEndpoints;
    std::uint64_t m_calls = 0;
};

}
