/** \file
 * Reads and watches the configuration, and reads the list of endpoints, in the platform's store.
 */
#include "storelink.h"

#include "clock.h"
#include "eventlog.h"
#include "storecall.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr int GONE = 410;
/** A watch counts as lost when it has no response this long after its timeout. */
constexpr Duration WATCH_RESPONSE_MARGIN = milliseconds(500);
/** Minimum time between two reads that don't wait for the watch; reads are priced. */
constexpr Duration RECHECK_INTERVAL = milliseconds(400);
/** Delay between reads while the store has no configuration yet, as in a fleet that has just been set up. */
constexpr Duration MISSING_CONFIGURATION_RETRY_DELAY = milliseconds(300);
/** Parts of a configuration that are decoded in one step of a background task. */
constexpr int PARTS_PER_STEP = 8;

}

StoreLink::StoreLink(EventLoop &loop, const StoreCodec &codec, const Address &address, StoreLinkListener &listener)
    : m_loop(loop)
    , m_codec(codec)
    , m_address(address)
    , m_listener(listener)
{
    connect();
}

StoreLink::~StoreLink()
{
    cancelTimers();
    stopDecoding();
}

void StoreLink::cancelTimers()
{
    for (const Channel *channel : {&m_configuration, &m_endpoints}) {
        m_loop.cancel(channel->timer);
        m_loop.cancel(channel->readTimer);
    }
    m_loop.cancel(m_deferredTimer);
}

void StoreLink::connect()
{
    m_configuration.lateReads.clear();
    m_endpoints.lateReads.clear();
    m_configuration.call = std::make_unique<StoreCall>(m_loop, m_codec, m_address);
    m_endpoints.call = std::make_unique<StoreCall>(m_loop, m_codec, m_address);
}

void StoreLink::setAddress(const Address &address)
{
    m_address = address;
    cancelTimers();
    m_isWatching = false;
    m_listItems.clear();
    m_decodedEndpoints.clear();
    stopDecoding();
    m_selection.forgetRevisions();
    m_storeRevision = {};
    m_watchedRevision = {};
    connect();
    start();
}

void StoreLink::start()
{
    readConfiguration();
    readEndpoints();
}

void StoreLink::begin(Channel &channel, const char *kind, const StoreRequest &request, Duration timeout,
    std::function<void(StoreResponse &&response)> responseHandler)
{
    ++m_calls[kind];
    channel.call->begin(
        request, timeout, [this, &channel, responseHandler = std::move(responseHandler)](StoreResponse &&response) {
            noteEra(channel, response);
            responseHandler(std::move(response));
        });
}

void StoreLink::read(
    Channel &channel, const char *kind, const StoreRequest &request, bool isUsableLate, const ReadHandler &handler)
{
    const StoreCall *call = channel.call.get();
    begin(channel, kind, request, MAX_READ_TIMEOUT,
        [this, &channel, call, startedAt = m_loop.now(), handler](
            StoreResponse &&response) { handleReadResponse(channel, call, startedAt, std::move(response), handler); });
    m_loop.cancel(channel.readTimer);
    channel.readTimer = m_loop.callAfter(channel.readTimeout,
        [this, &channel, isUsableLate, handler] { handleReadTimeout(channel, isUsableLate, handler); });
}

void StoreLink::handleReadTimeout(Channel &channel, bool isUsableLate, const ReadHandler &handler)
{
    // A call that got no response in a silence of the store never gets one, so another one is begun at once.
    if (isUsableLate) {
        channel.lateReads.push_back(std::move(channel.call));
        if (channel.lateReads.size() > MAX_LATE_READS) {
            channel.lateReads.erase(channel.lateReads.begin());
        }
    }
    channel.call = std::make_unique<StoreCall>(m_loop, m_codec, m_address);
    StoreResponse late;
    late.isLate = true;
    handler(std::move(late));
}

std::unique_ptr<StoreCall> StoreLink::takeLateRead(Channel &channel, const StoreCall *call)
{
    auto &late = channel.lateReads;
    const auto found = std::find_if(late.begin(), late.end(), [call](const auto &item) { return item.get() == call; });
    if (found == late.end()) {
        return nullptr;
    }
    auto out = std::move(*found);
    late.erase(found);
    return out;
}

void StoreLink::handleReadResponse(
    Channel &channel, const StoreCall *call, TimePoint startedAt, StoreResponse &&response, const ReadHandler &handler)
{
    std::unique_ptr<StoreCall> lateRead = takeLateRead(channel, call);
    if (lateRead && response.status == 0) {
        // The call is on the call stack, so the next iteration destroys it.
        m_loop.callAt(m_loop.now(), [kept = std::shared_ptr<StoreCall>(std::move(lateRead))] {});
        return;
    }
    if (lateRead) {
        channel.call = std::move(lateRead);
        m_loop.cancel(channel.timer);
    }
    m_loop.cancel(channel.readTimer);
    if (response.status != 0) {
        channel.lateReads.clear();
        const Duration usual = READ_TIMEOUT_FACTOR * (m_loop.now() - startedAt);
        channel.readTimeout = std::clamp(usual, MIN_READ_TIMEOUT, MAX_READ_TIMEOUT);
    }
    handler(std::move(response));
}

void StoreLink::noteEra(const Channel &channel, const StoreResponse &response)
{
    // A lower era is that of a response that was sent before the restoration.
    if (response.status == 0 || response.era <= m_storeRevision.era) {
        return;
    }
    const StoreRevision previous = m_storeRevision;
    m_storeRevision = {response.era, 0};
    if (previous.era == 0) {
        return;
    }
    LogEvent("store_era_changed", LogEvent::Level::Warning)
        .field("duty", channel.name)
        .field("era", static_cast<long long>(response.era))
        .field("previous_era", static_cast<long long>(previous.era))
        .field("store_revision", static_cast<long long>(previous.revision))
        .field("configuration_revision", static_cast<long long>(m_configurationOrigin.revision.revision));
    m_listener.storeRestored();
    if (&channel != &m_configuration) {
        recheckConfiguration("era_changed");
    }
}

void StoreLink::setAvailable(Channel &channel, bool available, const std::string &reason)
{
    if (channel.isAvailable == available) {
        return;
    }
    channel.isAvailable = available;
    LogEvent(available ? "store_regained" : "store_lost", available ? LogEvent::Level::Info : LogEvent::Level::Warning)
        .field("duty", channel.name)
        .field("reason", reason)
        .field("configuration_revision", static_cast<long long>(m_configurationOrigin.revision.revision));
}

void StoreLink::readConfiguration()
{
    read(m_configuration, "configuration", m_codec.readConfigurationRequest(), true,
        [this](StoreResponse &&response) { handleConfigurationRead(std::move(response)); });
}

void StoreLink::handleConfigurationRead(StoreResponse &&response)
{
    if (response.status == NOT_FOUND) {
        setAvailable(m_configuration, true, "the store has no configuration yet");
        retryConfiguration(MISSING_CONFIGURATION_RETRY_DELAY);
        return;
    }
    if (response.status != OK) {
        setAvailable(m_configuration, false, "status " + std::to_string(response.status));
        retryConfiguration(m_listener.storeRetryDelay());
        return;
    }
    try {
        m_watchedRevision.era = response.era;
        ConfigurationPage page = m_codec.decodeConfigurationRead(std::move(response.body));
        m_watchedRevision.revision = page.storeRevision;
        setAvailable(m_configuration, true, "read");
        noteConfigurationConfirmed();
        handleConfigurationItem(std::move(*page.latest), "read");
        watchConfiguration();
    } catch (const MessageFormatError &error) {
        LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
        retryConfiguration(m_listener.storeRetryDelay());
    }
}

void StoreLink::retryConfiguration(Duration wait)
{
    m_loop.cancel(m_configuration.timer);
    m_configuration.timer = m_loop.callAfter(wait, [this] { readConfiguration(); });
}

void StoreLink::watchConfiguration()
{
    const Duration wait = m_listener.configurationWatchDuration();
    m_isWatching = true;
    begin(m_configuration, "configuration_watch", m_codec.watchConfigurationRequest(m_watchedRevision.revision, wait),
        wait + WATCH_RESPONSE_MARGIN,
        [this](StoreResponse &&response) { handleConfigurationWatch(std::move(response)); });
}

void StoreLink::handleConfigurationWatch(StoreResponse &&response)
{
    m_isWatching = false;
    if (response.status != OK) {
        // The store has dropped the history since the watched revision, or was restored. This is no outage: the read
        // below returns the current configuration.
        if (response.status != GONE) {
            setAvailable(m_configuration, false, "status " + std::to_string(response.status));
        }
        readConfiguration();
        return;
    }
    if (response.era != m_watchedRevision.era) {
        // The watched revision belongs to another era, so this response may lack changes.
        readConfiguration();
        return;
    }
    try {
        ConfigurationPage page = m_codec.decodeConfigurationWatch(std::move(response.body));
        m_watchedRevision.revision = std::max(m_watchedRevision.revision, page.storeRevision);
        noteConfigurationConfirmed();
        if (page.latest) {
            handleConfigurationItem(std::move(*page.latest), "watch");
        }
        watchConfiguration();
    } catch (const MessageFormatError &error) {
        LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
        retryConfiguration(m_listener.storeRetryDelay());
    }
}

void StoreLink::handlePeerConfigurationRevision(const StoreRevision &revision)
{
    if (receivedRevision() < revision) {
        recheckConfiguration("newer_elsewhere");
    }
}

void StoreLink::handlePeerConfirmation(const StoreRevision &revision, TimePoint at)
{
    if (revision == latestConfigurationRevision()) {
        m_configurationConfirmedAt = std::max(m_configurationConfirmedAt, at);
    }
}

void StoreLink::recheckConfiguration(const char *reason)
{
    if (!m_isWatching || m_loop.now() - m_recheckedAt < RECHECK_INTERVAL) {
        return;
    }
    m_recheckedAt = m_loop.now();
    LogEvent("configuration_rechecked")
        .field("reason", reason)
        .field("in_hand", static_cast<long long>(latestConfigurationRevision().revision));
    m_isWatching = false;
    readConfiguration();
}

void StoreLink::noteConfigurationConfirmed()
{
    m_storeRevision = m_watchedRevision;
    m_configurationConfirmedAt = m_loop.now();
}

StoreRevision StoreLink::receivedRevision() const
{
    if (m_nextVersion) {
        return m_nextVersion->origin.revision;
    }
    return m_decoding ? m_decoding->origin.revision : latestConfigurationRevision();
}

void StoreLink::handleConfigurationItem(ConfigurationItem item, const char *source)
{
    const ConfigurationOrigin origin{{m_watchedRevision.era, item.revision}, source, m_loop.now()};
    if (!m_selection.isNew(origin.revision)) {
        return;
    }
    if (m_decoding) {
        if (m_decoding->origin.revision != origin.revision) {
            m_nextVersion = Received{std::move(item), origin};
        }
        return;
    }
    beginDecoding(std::move(item), origin);
}

void StoreLink::beginDecoding(ConfigurationItem item, const ConfigurationOrigin &origin)
{
    const std::size_t bytes = item.encodedDocument.size();
    auto decoder = m_codec.beginConfiguration(std::move(item.encodedDocument), m_lastDecoded);
    const EventLoop::Task task = m_loop.addTask([this] { return continueDecoding(); });
    m_decoding = Decoding{origin, std::move(decoder), bytes, Duration(0), task};
}

void StoreLink::stopDecoding()
{
    if (m_decoding) {
        m_loop.cancelTask(m_decoding->task);
    }
    m_decoding.reset();
    m_nextVersion.reset();
}

bool StoreLink::continueDecoding()
{
    const TimePoint begin = m_loop.now();
    RoutingConfigurationPtr configuration;
    try {
        for (int i = 0; i < PARTS_PER_STEP && !configuration; ++i) {
            configuration = m_decoding->decoder->decodeNext();
        }
    } catch (const std::runtime_error &error) {
        LogEvent("configuration_unreadable", LogEvent::Level::Error)
            .field("revision", static_cast<long long>(m_decoding->origin.revision.revision))
            .field("reason", error.what());
        finishDecoding(nullptr);
        return false;
    }
    m_decoding->spent += monotonicTime() - begin;
    if (!configuration) {
        return true;
    }
    finishDecoding(std::move(configuration));
    return false;
}

void StoreLink::finishDecoding(RoutingConfigurationPtr configuration)
{
    const Decoding done = std::move(*m_decoding);
    m_decoding.reset();
    std::optional<Received> next = std::exchange(m_nextVersion, std::nullopt);
    if (configuration) {
        LogEvent("configuration_decoded")
            .field("version", static_cast<long long>(configuration->version()))
            .field("revision", static_cast<long long>(done.origin.revision.revision))
            .field("bytes", static_cast<long long>(done.bytes))
            .field("took_ms", toMilliseconds(m_loop.now() - done.origin.receivedAt))
            .field("busy_ms", toMilliseconds(done.spent));
        m_lastDecoded = configuration;
        offerConfiguration(std::move(configuration), done.origin);
    } else {
        m_selection.noteUnreadable(done.origin.revision);
        m_loop.cancel(m_deferredTimer);
    }
    if (next) {
        beginDecoding(std::move(next->item), next->origin);
    }
}

void StoreLink::offerConfiguration(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin)
{
    switch (m_selection.offer(origin.revision, configuration->version(), m_loop.now())) {
    case ConfigurationSelection::Decision::Apply:
        applyConfiguration(std::move(configuration), origin);
        break;
    case ConfigurationSelection::Decision::Defer:
        deferConfiguration(std::move(configuration), origin);
        break;
    case ConfigurationSelection::Decision::Ignore:
        break;
    }
}

void StoreLink::applyConfiguration(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin)
{
    m_loop.cancel(m_deferredTimer);
    m_configurationOrigin = origin;
    m_listener.configurationRead(std::move(configuration), origin);
}

void StoreLink::deferConfiguration(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin)
{
    LogEvent("configuration_deferred", LogEvent::Level::Warning)
        .field("version", static_cast<long long>(configuration->version()))
        .field("in_force", static_cast<long long>(m_selection.version()))
        .field("revision", static_cast<long long>(origin.revision.revision))
        .field("era", static_cast<long long>(origin.revision.era));
    m_loop.cancel(m_deferredTimer);
    m_deferredTimer = m_loop.callAfter(
        ConfigurationSelection::OLDER_VERSION_DELAY, [this, configuration = std::move(configuration), origin] {
            if (m_selection.takeDeferred(m_loop.now())) {
                applyConfiguration(configuration, origin);
            }
        });
}

}
