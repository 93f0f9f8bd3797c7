/** \file
 * Keeps this process's copies of the configuration and of the list of endpoints up to date with the platform's store.
 * The configuration is watched with long polls; the list is read at intervals.
 */
#pragma once

#include "address.h"
#include "configurationorigin.h"
#include "configurationselection.h"
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
    virtual void configurationRead(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin) = 0;
    virtual void endpointsRead(const std::vector<EndpointRecord> &list, const StoreRevision &revision) = 0;
    virtual void endpointsReadFailed() = 0;
    /** The store was restored from a copy, which may lack what this process has written. */
    virtual void storeRestored() = 0;
    /** How long to wait before the next read of the list of endpoints. */
    virtual Duration delayUntilListRead() = 0;
    /** How long the store may hold a watch of the configuration. */
    virtual Duration configurationWatchDuration() = 0;
    virtual Duration storeRetryDelay() = 0;
};

class StoreLink
{
public:
    StoreLink(EventLoop &loop, const StoreCodec &codec, const Address &address, StoreLinkListener &listener);
    ~StoreLink();

    void start();
    /** Uses another store. Its revisions have nothing to do with those of the store before. */
    void setAddress(const Address &address);
    /** Handles the latest revision of the configuration that another gateway has read: reads the configuration if that
     * revision is new. */
    void handlePeerConfigurationRevision(const StoreRevision &revision);
    /** Records that the store confirmed to another gateway at that time that this is the latest revision of the
     * configuration. */
    void handlePeerConfirmation(const StoreRevision &revision, TimePoint at);
    /** Reads the configuration now instead of waiting for the watch. `reason` is logged. */
    void recheckConfiguration(const char *reason);
    /** Reads the list of endpoints now, or as soon as the next try is due if the last read has failed, and calls
     * `handler` once with whether a read that began after this call has succeeded. */
    void readListFor(std::function<void(bool isRead)> handler);
    /** Postpones the next read of the list of endpoints, because another gateway has just read it. */
    void postponeListRead();
    /** The revision of the latest configuration that was decoded; it may not be in force. */
    StoreRevision latestConfigurationRevision() const
    {
        return m_selection.latestRevision().value_or(StoreRevision());
    }
    /** Whether the latest read of the list has succeeded. */
    bool isListAvailable() const
    {
        return !m_hasListReadFailed;
    }
    /** Whether the store has returned a configuration that isn't decoded yet. */
    bool isDecoding() const
    {
        return m_decoding.has_value();
    }
    /** Of the configuration in force. */
    const ConfigurationOrigin &configurationOrigin() const
    {
        return m_configurationOrigin;
    }
    /** The store at its last response about the configuration, or the start of a newer era. */
    const StoreRevision &storeRevision() const
    {
        return m_storeRevision;
    }
    /** When the store last confirmed the latest revision of the configuration, to this gateway or to another one. */
    TimePoint configurationConfirmedAt() const
    {
        return m_configurationConfirmedAt;
    }
    const ConfigurationSelection &configurationSelection() const
    {
        return m_selection;
    }
    /** The number of calls by their kind. */
    const std::map<std::string, std::uint64_t> &calls() const
    {
        return m_calls;
    }

private:
    /** Connection to the store for one kind of data, and whether the store responds to its calls. */
    struct Channel
    {
        const char *name;
        std::unique_ptr<StoreCall> call;
        /** Reads that took too long, the oldest first. Their responses are still used, since the store may be slow
         * rather than silent. Empty once a read was answered. */
        std::vector<std::unique_ptr<StoreCall>> lateReads{};
        EventLoop::Timer timer{};
        EventLoop::Timer readTimer{};
        bool isAvailable = true;
        /** How long a read may take before another one is begun. */
        Duration readTimeout = MIN_READ_TIMEOUT;
    };

    /** The store usually responds within a few milliseconds. */
    static constexpr Duration MIN_READ_TIMEOUT = milliseconds(800);
    /** For a store that is slower, in time to apply a configuration within the platform's bound for disturbances. */
    static constexpr Duration MAX_READ_TIMEOUT = milliseconds(3200);
    /** As many as are begun within MAX_READ_TIMEOUT. */
    static constexpr std::size_t MAX_LATE_READS = 3;
    /** A read may take this many times as long as the last one. */
    static constexpr int READ_TIMEOUT_FACTOR = 4;

    void cancelTimers();
    void connect();
    void readConfiguration();
    void handleConfigurationRead(StoreResponse &&response);
    void watchConfiguration();
    void handleConfigurationWatch(StoreResponse &&response);
    /** Begins to decode a version that the store returned, or keeps it until the one that is being decoded is done. */
    void handleConfigurationItem(ConfigurationItem item, const char *source);
    void beginDecoding(ConfigurationItem item, const ConfigurationOrigin &origin);
    /** Does a part of the decoding. Returns whether there is more to do. */
    bool continueDecoding();
    void finishDecoding(RoutingConfigurationPtr configuration);
    void stopDecoding();
    /** The latest revision of the configuration that the store returned. */
    StoreRevision receivedRevision() const;
    void offerConfiguration(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin);
    void applyConfiguration(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin);
    /** Keeps an older version of a restored store, and applies it later if nothing newer comes. */
    void deferConfiguration(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin);
    void retryConfiguration(Duration wait);
    void readEndpoints();
    void scheduleListRead(Duration wait);
    void finishListRead();
    void failListRead();
    /** Calls the handlers that wait for a read that began at `askedAt` or before. */
    void endListWaits(TimePoint askedAt, bool isRead);
    const EndpointRecord *decodeCached(const StoreItem &item);
    void begin(Channel &channel, const char *kind, const StoreRequest &request, Duration timeout,
        std::function<void(StoreResponse &&response)> responseHandler);
    void noteEra(const Channel &channel, const StoreResponse &response);
    using ReadHandler = std::function<void(StoreResponse &&response)>;
    /**
     * Begins a read. Its timeout follows the response times that the store has shown. After the timeout the handler is
     * called with a late response, and again if the store responds after all, before it has answered a later read.
     */
    void read(
        Channel &channel, const char *kind, const StoreRequest &request, bool isUsableLate, const ReadHandler &handler);
    void handleReadTimeout(Channel &channel, bool isUsableLate, const ReadHandler &handler);
    void handleReadResponse(Channel &channel, const StoreCall *call, TimePoint startedAt, StoreResponse &&response,
        const ReadHandler &handler);
    /** Takes a call out of the late reads of the channel. */
    std::unique_ptr<StoreCall> takeLateRead(Channel &channel, const StoreCall *call);
    /** Records that the store has just answered a call about the configuration. */
    void noteConfigurationConfirmed();
    void setAvailable(Channel &channel, bool available, const std::string &reason);

    EventLoop &m_loop;
    const StoreCodec &m_codec;
    Address m_address;
    StoreLinkListener &m_listener;
    Channel m_configuration{"configuration", nullptr};
    Channel m_endpoints{"endpoints", nullptr};
    /** The store at the last response about the configuration; the watch continues from there. */
    StoreRevision m_watchedRevision;
    ConfigurationSelection m_selection;
    ConfigurationOrigin m_configurationOrigin;
    EventLoop::Timer m_deferredTimer;
    struct Decoding
    {
        ConfigurationOrigin origin;
        std::unique_ptr<ConfigurationDecoder> decoder;
        std::size_t bytes;
        /** Time spent by this process. */
        Duration spent;
        EventLoop::Task task;
    };
    std::optional<Decoding> m_decoding;
    struct Received
    {
        ConfigurationItem item;
        ConfigurationOrigin origin;
    };
    /** A newer version, set only while another one is being decoded. */
    std::optional<Received> m_nextVersion;
    /** The latest configuration, with which the next one may share routes. */
    RoutingConfigurationPtr m_lastDecoded;
    StoreRevision m_storeRevision;
    TimePoint m_configurationConfirmedAt;
    /** When the configuration was last read without waiting for the watch. */
    TimePoint m_recheckedAt;
    bool m_isWatching = false;
    /** Whether a read of the list is in progress. */
    bool m_isListReadInProgress = false;
    /** Whether the last read of the list has failed; the next one is scheduled, or in progress. */
    bool m_hasListReadFailed = false;
    struct ListWaiter
    {
        TimePoint since;
        std::function<void(bool isRead)> handler;
    };
    std::vector<ListWaiter> m_listWaiters;
    /** When the first page of the list being read was asked for. */
    TimePoint m_listAskedAt;
    /** Items of the pages received so far of the list being read. */
    std::vector<StoreItem> m_listItems;
    /** Store revision of the first page: the list contains all changes up to it. */
    StoreRevision m_listRevision;
    struct Decoded
    {
        StoreRevision revision;
        std::optional<EndpointRecord> record;
    };
    /** Decoded registrations by key, so that unchanged ones aren't parsed again. */
    std::map<std::string, Decoded> m_decodedEndpoints;
    std::map<std::string, std::uint64_t> m_calls;
};

}
