/** \file
 * Reading of the list of endpoints in the platform's store.
 */
#include "storelink.h"

#include "eventlog.h"
#include "storecall.h"

#include <algorithm>
#include <iterator>

namespace Cyclamenturn
{

namespace
{

constexpr int OK = 200;

}

void StoreLink::readEndpoints()
{
    m_isListReadInProgress = true;
    const std::string after = m_listItems.empty() ? std::string() : m_listItems.back().key;
    // The pages before a late one have been dropped.
    const bool isFirstPage = m_listItems.empty();
    const TimePoint askedAt = m_loop.now();
    const auto handler = [this, askedAt](StoreResponse &&response) {
        if (response.status != OK) {
            setAvailable(m_endpoints, false, "status " + std::to_string(response.status));
            if (response.status == 0) {
                // What silenced this connection may have silenced the watch, too.
                recheckConfiguration("list_unanswered");
            }
            failListRead();
            return;
        }
        try {
            StorePage page = m_codec.decodePage(std::move(response.body));
            if (m_listItems.empty()) {
                m_listAskedAt = askedAt;
                m_listRevision = {response.era, page.storeRevision};
            } else if (response.era != m_listRevision.era) {
                // The earlier pages are those of the store before its restoration.
                m_listItems.clear();
                readEndpoints();
                return;
            }
            std::move(page.items.begin(), page.items.end(), std::back_inserter(m_listItems));
            if (page.hasMore && !page.items.empty()) {
                readEndpoints();
                return;
            }
        } catch (const MessageFormatError &error) {
            LogEvent("store_answer_unreadable", LogEvent::Level::Error).field("reason", error.what());
            failListRead();
            return;
        }
        setAvailable(m_endpoints, true, "read");
        finishListRead();
    };
    read(m_endpoints, "endpoints", m_codec.listEndpointsRequest(after), isFirstPage, handler);
}

void StoreLink::readListFor(std::function<void(bool isRead)> handler)
{
    m_listWaiters.push_back({m_loop.now(), std::move(handler)});
    // After a failed read, its next try serves those that wait, so that a store that fails at once isn't flooded.
    if (!m_isListReadInProgress && !m_hasListReadFailed) {
        m_loop.cancel(m_endpoints.timer);
        readEndpoints();
    }
}

void StoreLink::endListWaits(TimePoint askedAt, bool isRead)
{
    const auto begin = std::stable_partition(m_listWaiters.begin(), m_listWaiters.end(),
        [askedAt](const ListWaiter &waiter) { return waiter.since > askedAt; });
    const std::vector<ListWaiter> ended(std::make_move_iterator(begin), std::make_move_iterator(m_listWaiters.end()));
    m_listWaiters.erase(begin, m_listWaiters.end());
    for (const ListWaiter &waiter : ended) {
        waiter.handler(isRead);
    }
}

void StoreLink::scheduleListRead(Duration wait)
{
    m_loop.cancel(m_endpoints.timer);
    m_endpoints.timer = m_loop.callAfter(wait, [this] { readEndpoints(); });
    m_isListReadInProgress = false;
}

void StoreLink::postponeListRead()
{
    // Another gateway has just read the list, so the store may answer this one, too.
    m_hasListReadFailed = false;
    if (!m_isListReadInProgress) {
        scheduleListRead(m_listener.delayUntilListRead());
    }
}

void StoreLink::failListRead()
{
    m_hasListReadFailed = true;
    m_listItems.clear();
    m_listener.endpointsReadFailed();
    scheduleListRead(m_listener.storeRetryDelay());
    endListWaits(m_loop.now(), false);
}

void StoreLink::finishListRead()
{
    std::vector<EndpointRecord> list;
    std::map<std::string, Decoded> stillListed;
    for (const auto &item : m_listItems) {
        if (const EndpointRecord *record = decodeCached(item)) {
            list.push_back(*record);
        }
        stillListed[item.key] = m_decodedEndpoints[item.key];
    }
    m_decodedEndpoints = std::move(stillListed);
    m_listItems.clear();
    m_hasListReadFailed = false;
    m_listener.endpointsRead(list, m_listRevision);
    scheduleListRead(m_listener.delayUntilListRead());
    endListWaits(m_listAskedAt, true);
    if (!m_listWaiters.empty() && !m_isListReadInProgress) {
        m_loop.cancel(m_endpoints.timer);
        readEndpoints();
    }
}

const EndpointRecord *StoreLink::decodeCached(const StoreItem &item)
{
    const bool isNew = m_decodedEndpoints.count(item.key) == 0;
    Decoded &decoded = m_decodedEndpoints[item.key];
    const StoreRevision revision{m_listRevision.era, item.revision};
    if (decoded.revision != revision) {
        decoded.revision = revision;
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
