/** \file
 * Keeps the configuration of this process up to date. New revisions are received through a watch on the store, or
 * fetched from another process whose messages carry a newer revision number.
 */
#pragma once

#include "activeconfiguration.h"
#include "boundedring.h"
#include "service.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Cyclamenturn
{

class FleetKey;
class Metrics;
class StoreClient;

class ConfigurationService : public Service, public std::enable_shared_from_this<ConfigurationService>
{
public:
    using Listener = std::function<void(FleetConfigurationPtr)>;

    ConfigurationService(const Settings &settings, std::shared_ptr<StoreClient> store,
        std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<Metrics> metrics);
    ~ConfigurationService() override;

    void start() override;
    void stop() override;

    /** Calls `listener` with the configuration in force, if there is one, and then with each later one. */
    void subscribe(const Listener &listener);

    /** Null until a configuration is in force. */
    FleetConfigurationPtr current() const;
    std::uint64_t revision() const;
    std::uint64_t invalidRevision() const;
    std::string invalidReason() const;
    /** The document in force as JSON text; empty if there is none. */
    std::string encodedDocument() const;

    /** Handles the configuration revision that another process reported. A newer configuration is fetched from it. */
    void handleRemoteRevision(const Address &from, std::uint64_t revision);

    /** True if the store has responded recently. An idle watch also returns often enough to keep this true. */
    bool isStoreReachable(TimePoint now) const;

    /** Reads the store now. Returns true if it responds and holds the revision that is in force in this process. */
    bool confirmWithStore();

private:
    OfferResult offer(const ConfigurationDocument &document, const char *source);
    void offerText(const std::string &text, const char *source);
    void handleStoredDocument(const std::string &text, std::uint64_t version);
    void repairStore(std::uint64_t version);
    void watchStore();
    void fetchFromPeers();
    void fetchFrom(const Address &address);

    Settings m_settings;
    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<FleetKey> m_fleetKey;
    std::shared_ptr<Metrics> m_metrics;
    mutable std::mutex m_mutex;
    ActiveConfiguration m_activeConfiguration;
    std::vector<Listener> m_listeners;
    /** Processes from which the configuration is to be fetched. */
    BoundedRing<Address> m_fetchQueue;
    std::atomic<bool> m_stopped{false};
    /** Time of the store's last response, in microseconds since the epoch. */
    std::atomic<std::int64_t> m_lastStoreResponse{0};
    std::thread m_watcher;
    std::thread m_fetcher;
};

}
