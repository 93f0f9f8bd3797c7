/** \file
 * Follows the configuration and the list of endpoints in the platform's store.
 */
#include "storelink.h"

#include "eventlog.h"
#include "storecall.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr int GONE = 410;
/** Each return of a watch is a call. A watch that broke silently is noticed sooner than this through the other
 * gateways, whose watches end at other times and whose digests carry the revision. */
constexpr Duration WATCH_WAIT = milliseconds(6000);
/** While no other gateway is known, a watch alone must notice within the two seconds in which a change is due. */
constexpr Duration LONE_WATCH_WAIT = milliseconds(2000);
/** A watch without its answer for this long on top of its wait is lost. */
constexpr Duration WATCH_SLACK = milliseconds(500);
/** At most one read in this time because another process has a newer configuration. */
constexpr Duration HINT_INTERVAL = milliseconds(400);
/** Far above the store's usual few milliseconds, and enough for a store slowed a hundredfold. */
constexpr Duration READ_TIMEOUT = milliseconds(800);
constexpr Duration RETRY_WAIT = milliseconds(250);
/** Wait for the first configuration of a fleet that has just been set up. */
constexpr Duration ABSENT_WAIT = milliseconds(300);

}

StoreLink::StoreLink(EventLoop &loop, const StoreCodec &codec, const Address &address, StoreLinkListener &listener)
    : m_loop(loop)
    , m_codec(codec)
    , m_address(address)
    , m_listener(listener)
{
    setAddress(address);
}

StoreLink::~StoreLink()
{
    m_loop.cancel(m_configuration.timer);
    m_loop.cancel(m_endpoints.timer);
}

void StoreLink::setAddress(const Address &address)
{
    m_address = address;
    const bool running = m_configuration.call != nullptr;
    m_loop.cancel(m_configuration.timer);
    m_loop.cancel(m_endpoints.timer);
    m_pages.clear();
    m_configuration.call = std::make_unique<StoreCall>(m_loop, m_address);
    m_endpoints.call = std::make_unique<StoreCall>(m_loop, m_address);
    if (running) {
        start();
    }
}

void StoreLink::start()
{
    readConfiguration();
    readEndpoints();
}

void StoreLink::begin(Duty &duty, const StoreRequest &request, Duration timeout,
    std::function<void(int status, const std::string &body)> done)
{
    ++m_calls;
    duty.call->begin(request, timeout, std::move(done));
}

void StoreLink::noteAvailable(Duty &duty, bool available, const std::string &reason)
{
    if (duty.isAvailable == available) {
        return;
    }
    duty.isAvailable = available;
    LogEvent(available ? "store_regained" : "store_lost", available ? LogEvent::Level::Info : LogEvent::Level::Warning)
        .field("duty", duty.name)
        .field("reason", reason)
        .field("configuration_revision", static_cast<long long>(m_configurationRevision));
}

void StoreLink::readConfiguration()
{
    begin(m_configuration, m_codec.readConfigurationCall(), READ_TIMEOUT, [this](int status, const std::string &body) {
        if (status == NOT_FOUND) {
            noteAvailable(m_configuration, true, "no configuration is there yet");
            retryConfiguration(ABSENT_WAIT);
            return;
        }
        if (status != OK) {
            noteAvailable(m_configuration, false, "status " + std::to_string(status));
            retryConfiguration(RETRY_WAIT);
            return;
        }
        try {
            const StoreItem item = m_codec.decodeItem(body, m_watchedRevision);
            noteAvailable(m_configuration, true, "read");
            handleConfigurationItems({item});
            watchConfiguration();
        } catch (const MessageFormatError &error) {
            LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
            retryConfiguration(RETRY_WAIT);
        }
    });
}

void StoreLink::retryConfiguration(Duration wait)
{
    m_loop.cancel(m_configuration.timer);
    m_configuration.timer = m_loop.callAfter(wait, [this] { readConfiguration(); });
}

void StoreLink::watchConfiguration()
{
    const Duration wait = m_hasPeers ? WATCH_WAIT : LONE_WATCH_WAIT;
    m_watching = true;
    begin(m_configuration, m_codec.watchConfigurationCall(m_watchedRevision, wait), wait + WATCH_SLACK,
        [this](int status, const std::string &body) {
            m_watching = false;
            if (status != OK) {
                // A history that is gone is no outage; a fresh read catches up.
                if (status != GONE) {
                    noteAvailable(m_configuration, false, "status " + std::to_string(status));
                }
                readConfiguration();
                return;
            }
            try {
                const StorePage page = m_codec.decodeWatch(body);
                m_watchedRevision = std::max(m_watchedRevision, page.storeRevision);
                handleConfigurationItems(page.items);
                watchConfiguration();
            } catch (const MessageFormatError &error) {
                LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
                retryConfiguration(RETRY_WAIT);
            }
        });
}

void StoreLink::noteConfigurationElsewhere(std::uint64_t revision)
{
    if (revision <= m_configurationRevision || !m_watching || m_loop.now() - m_hintedAt < HINT_INTERVAL) {
        return;
    }
    m_hintedAt = m_loop.now();
    LogEvent("configuration_newer_elsewhere")
        .field("revision", static_cast<long long>(revision))
        .field("in_hand", static_cast<long long>(m_configurationRevision));
    m_watching = false;
    readConfiguration();
}

void StoreLink::handleConfigurationItems(const std::vector<StoreItem> &items)
{
    for (const auto &item : items) {
        if (item.revision <= m_configurationRevision) {
            continue;
        }
        m_configurationRevision = item.revision;
        try {
            m_listener.configurationRead(m_codec.decodeConfiguration(item.value), item.revision);
        } catch (const std::runtime_error &error) {
            LogEvent("configuration_unreadable", LogEvent::Level::Error)
                .field("revision", static_cast<long long>(item.revision))
                .field("reason", error.what());
        }
    }
}

void StoreLink::readEndpoints()
{
    m_isListReadPending = true;
    const std::string after = m_pages.empty() ? std::string() : m_pages.back().key;
    begin(m_endpoints, m_codec.listEndpointsCall(after), READ_TIMEOUT, [this](int status, const std::string &body) {
        if (status != OK) {
            noteAvailable(m_endpoints, false, "status " + std::to_string(status));
            failEndpoints();
            return;
        }
        try {
            StorePage page = m_codec.decodePage(body);
            if (m_pages.empty()) {
                m_listRevision = page.storeRevision;
            }
            m_pages.insert(m_pages.end(), page.items.begin(), page.items.end());
            if (page.hasMore && !page.items.empty()) {
                readEndpoints();
                return;
            }
        } catch (const MessageFormatError &error) {
            LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
            failEndpoints();
            return;
        }
        noteAvailable(m_endpoints, true, "read");
        finishEndpoints();
    });
}

void StoreLink::scheduleEndpoints(Duration wait)
{
    m_loop.cancel(m_endpoints.timer);
    m_endpoints.timer = m_loop.callAfter(wait, [this] { readEndpoints(); });
    m_isListReadPending = false;
}

void StoreLink::noteEndpointsReadElsewhere()
{
    if (!m_isListReadPending) {
        scheduleEndpoints(m_listener.listReadWait());
    }
}

void StoreLink::failEndpoints()
{
    m_pages.clear();
    m_listener.endpointsReadFailed();
    scheduleEndpoints(RETRY_WAIT);
}

void StoreLink::finishEndpoints()
{
    std::vector<EndpointRecord> list;
    std::map<std::string, Decoded> present;
    for (const auto &item : m_pages) {
        if (const EndpointRecord *record = decodeCached(item)) {
            list.push_back(*record);
        }
        present[item.key] = m_decoded[item.key];
    }
    m_decoded = std::move(present);
    m_pages.clear();
    m_listener.endpointsRead(list, m_listRevision);
    scheduleEndpoints(m_listener.listReadWait());
}

const EndpointRecord *StoreLink::decodeCached(const StoreItem &item)
{
    const bool isNew = m_decoded.count(item.key) == 0;
    Decoded &decoded = m_decoded[item.key];
    if (decoded.revision != item.revision) {
        decoded.revision = item.revision;
        try {
            decoded.record = m_codec.decodeEndpoint(item);
        } catch (const MessageFormatError &error) {
            if (decoded.record || isNew) {
                LogEvent("endpoint_unreadable", LogEvent::Level::Warning)
                    .field("key", item.key)
                    .field("reason", error.what());
            }
            decoded.record.reset();
        }
    }
    return decoded.record ? &*decoded.record : nullptr;
}

}
