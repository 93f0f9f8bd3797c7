/** \file
 * Distribution of the configuration document.
 */
#include "configurationservice.h"

#include "clock.h"
#include "errors.h"
#include "eventlog.h"
#include "fleetkey.h"
#include "metrics.h"
#include "rpcclient.h"
#include "storeclient.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr Duration WATCH_TIMEOUT = milliseconds(20000);
/**
 * Longer than WATCH_TIMEOUT, so that the store stays reachable while a watch is idle; shorter than
 * AgentCore::STORE_CONTACT_TIMEOUT.
 */
constexpr Duration MAX_STORE_RESPONSE_AGE = milliseconds(25000);
constexpr Duration RETRY_INTERVAL = milliseconds(500);
constexpr Duration POLL_INTERVAL = milliseconds(100);
constexpr std::size_t FETCH_RING_SIZE = 64;
constexpr std::int64_t FETCH_TIMEOUT_MS = 1000;

const char *toString(OfferResult result)
{
    switch (result) {
    case OfferResult::Applied:
        return "applied";
    case OfferResult::AlreadyInForce:
        return "already_in_force";
    case OfferResult::RefusedOlder:
        return "refused_older";
    case OfferResult::RefusedInvalid:
        return "refused_invalid";
    }
    throw InternalError("unknown OfferResult value");
}

}

ConfigurationService::ConfigurationService(const Settings &settings, std::shared_ptr<StoreClient> store,
    std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<Metrics> metrics)
    : m_settings(settings)
    , m_store(std::move(store))
    , m_fleetKey(std::move(fleetKey))
    , m_metrics(std::move(metrics))
    , m_fetchQueue(FETCH_RING_SIZE)
{
}

ConfigurationService::~ConfigurationService() = default;

void ConfigurationService::start()
{
    for (const Address &seed : m_settings.seeds) {
        (void)m_fetchQueue.tryPush(seed);
    }
    // stop() doesn't wait for this thread, which may be blocked in a watch, so the thread keeps the service alive.
    m_watcher = std::thread([self = shared_from_this()] { self->watchStore(); });
    m_fetcher = std::thread([this] { fetchFromPeers(); });
}

void ConfigurationService::stop()
{
    m_stopped = true;
    m_fetchQueue.close();
    m_fetcher.join();
    m_watcher.detach();
}

void ConfigurationService::subscribe(const Listener &listener)
{
    FleetConfigurationPtr configuration;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_listeners.push_back(listener);
        configuration = m_activeConfiguration.configuration();
    }
    if (configuration) {
        listener(configuration);
    }
}

FleetConfigurationPtr ConfigurationService::current() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_activeConfiguration.configuration();
}

std::uint64_t ConfigurationService::revision() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_activeConfiguration.revision();
}

std::uint64_t ConfigurationService::invalidRevision() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_activeConfiguration.invalidRevision();
}

std::string ConfigurationService::invalidReason() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_activeConfiguration.invalidReason();
}

std::string ConfigurationService::encodedDocument() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_activeConfiguration.document() ? m_activeConfiguration.document()->encode() : std::string();
}

OfferResult ConfigurationService::offer(const ConfigurationDocument &document, const char *source)
{
    OfferResult result = OfferResult::AlreadyInForce;
    FleetConfigurationPtr configuration;
    std::vector<Listener> listeners;
    std::string invalidReason;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        result = m_activeConfiguration.offer(document);
        configuration = m_activeConfiguration.configuration();
        listeners = m_listeners;
        invalidReason = m_activeConfiguration.invalidReason();
    }
    if (result == OfferResult::AlreadyInForce) {
        return result;
    }
    m_metrics->count("cyclamenturn_configuration_offers_total", {{"result", toString(result)}, {"source", source}});
    LogEvent event(
        "configuration_offered", result == OfferResult::Applied ? LogEvent::Level::Info : LogEvent::Level::Warning);
    event.field("revision", static_cast<long long>(document.revision)).field("source", source);
    event.field("result", toString(result));
    if (result == OfferResult::RefusedInvalid) {
        event.field("error", invalidReason);
    }
    if (result == OfferResult::Applied) {
        m_metrics->set("cyclamenturn_configuration_revision", {}, static_cast<double>(document.revision));
        // Called without the lock, since a listener may wait for a thread that reads the configuration.
        for (const auto &listener : listeners) {
            listener(configuration);
        }
    }
    return result;
}

void ConfigurationService::offerText(const std::string &text, const char *source)
{
    try {
        offer(ConfigurationDocument::decode(text), source);
    } catch (const UserError &error) {
        m_metrics->count("cyclamenturn_configuration_offers_total", {{"result", "unreadable"}, {"source", source}});
        LogEvent("configuration_unreadable", LogEvent::Level::Warning)
            .field("source", source)
            .field("error", error.what());
    }
}

void ConfigurationService::handleStoredDocument(const std::string &text, std::uint64_t version)
{
    try {
        const auto document = ConfigurationDocument::decode(text);
        if (offer(document, "store") == OfferResult::RefusedOlder) {
            repairStore(version);
        }
    } catch (const UserError &error) {
        LogEvent("configuration_unreadable", LogEvent::Level::Warning)
            .field("source", "store")
            .field("error", error.what());
    }
}

void ConfigurationService::repairStore(std::uint64_t version)
{
    // The store holds an older revision than this process, so it was reset to an earlier state. An accepted
    // configuration must not be lost, so the newest one is written again.
    const SwapResult result = m_store->compareAndSwap(ConfigurationDocument::STORE_KEY, version, encodedDocument());
    m_metrics->count(
        "cyclamenturn_store_repairs_total", {{"result", result.state == SwapState::Written ? "written" : "lost"}});
    LogEvent("store_repaired", LogEvent::Level::Warning)
        .field("result", result.state == SwapState::Written ? "written" : "lost");
}

bool ConfigurationService::isStoreReachable(TimePoint now) const
{
    const TimePoint lastResponse{Duration(m_lastStoreResponse.load())};
    return now - lastResponse < MAX_STORE_RESPONSE_AGE;
}

bool ConfigurationService::confirmWithStore()
{
    try {
        const auto stored = m_store->read(ConfigurationDocument::STORE_KEY);
        if (!stored) {
            return false;
        }
        handleStoredDocument(stored->value, stored->version);
        return ConfigurationDocument::decode(stored->value).revision == revision();
    } catch (const std::runtime_error &) {
        return false;
    }
}

void ConfigurationService::watchStore()
{
    std::uint64_t watchedVersion = 0;
    while (!m_stopped) {
        try {
            // A watch returns only after a change, so the stored value is read once before it is watched.
            const auto stored = watchedVersion == 0
                ? m_store->read(ConfigurationDocument::STORE_KEY)
                : m_store->watch(ConfigurationDocument::STORE_KEY, watchedVersion, WATCH_TIMEOUT);
            m_lastStoreResponse = currentTime().time_since_epoch().count();
            if (m_stopped) {
                return;
            }
            if (stored) {
                watchedVersion = stored->version;
                handleStoredDocument(stored->value, stored->version);
            } else if (watchedVersion == 0) {
                std::this_thread::sleep_for(RETRY_INTERVAL);
            }
        } catch (const StoreUnavailableError &error) {
            m_metrics->count("cyclamenturn_store_failures_total", {{"call", watchedVersion == 0 ? "read" : "watch"}});
            watchedVersion = 0;
            for (const Address &seed : m_settings.seeds) {
                if (revision() == 0) {
                    (void)m_fetchQueue.tryPush(seed);
                }
            }
            std::this_thread::sleep_for(RETRY_INTERVAL);
        }
    }
}

void ConfigurationService::handleRemoteRevision(const Address &from, std::uint64_t remoteRevision)
{
    const bool newer = remoteRevision > revision() && remoteRevision != invalidRevision();
    if (newer && from.port != 0) {
        // A full ring only delays the fetch: the next message from that process carries the revision again.
        (void)m_fetchQueue.tryPush(from);
    }
}

void ConfigurationService::fetchFromPeers()
{
    while (!m_stopped) {
        if (const auto address = m_fetchQueue.pop(POLL_INTERVAL)) {
            fetchFrom(*address);
        }
    }
}

void ConfigurationService::fetchFrom(const Address &address)
{
    Json::Value parameters(Json::objectValue);
    parameters["known_revision"] = Json::UInt64(revision());
    try {
        const RpcTarget target{address.host, address.port, m_fleetKey->current(), FETCH_TIMEOUT_MS};
        const Json::Value result = callRpc(target, "configuration_fetch", parameters);
        const std::string text = result.get("document", "").asString();
        if (!text.empty()) {
            offerText(text, "peer");
        }
    } catch (const std::exception &error) {
        LogEvent("configuration_fetch_failed", LogEvent::Level::Warning)
            .field("from", Cyclamenturn::toString(address))
            .field("error", error.what());
    }
}

}
