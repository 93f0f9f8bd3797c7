/** \file
 * Writes of an agent's journal to the store.
 */
#include "journalwriter.h"

#include "agentcore.h"
#include "errors.h"
#include "eventlog.h"
#include "metrics.h"
#include "storeclient.h"

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t RING_SIZE = 4;
constexpr Duration POLL_INTERVAL = milliseconds(100);

}

JournalWriter::JournalWriter(std::shared_ptr<StoreClient> store, std::shared_ptr<Metrics> metrics)
    : m_store(std::move(store))
    , m_metrics(std::move(metrics))
    , m_writes(RING_SIZE)
{
}

JournalWriter::~JournalWriter() = default;

void JournalWriter::setResultCallback(ResultCallback callback)
{
    m_resultCallback = std::move(callback);
}

void JournalWriter::start()
{
    m_thread = std::thread([this] { processWrites(); });
}

void JournalWriter::stop()
{
    m_writes.close();
    m_thread.join();
}

bool JournalWriter::submit(const JournalWrite &write)
{
    return m_writes.tryPush(write);
}

void JournalWriter::processWrites()
{
    while (!m_writes.isClosed()) {
        const auto write = m_writes.pop(POLL_INTERVAL);
        if (!write) {
            continue;
        }
        const JournalResult result = perform(*write);
        if (result != JournalResult::Written) {
            m_metrics->count("cyclamenturn_store_failures_total", {{"call", "journal"}});
        }
        m_resultCallback(JournalWritten{result});
    }
}

JournalResult JournalWriter::perform(const JournalWrite &write)
{
    try {
        if (!m_predecessorsSealed) {
            sealPredecessors(write.head);
            m_predecessorsSealed = true;
        }
        if (write.segmentNumber) {
            const std::string key = segmentKey(write.head, *write.segmentNumber);
            const SwapResult result = m_store->compareAndSwap(key, 0, encodeSegment(write.segmentKeys));
            // A conflict means that an earlier attempt at the same write took effect.
            if (result.state == SwapState::Unknown) {
                return JournalResult::Failed;
            }
        }
        const JournalResult result = writeHead(write.head);
        for (const auto number : write.expiredSegments) {
            m_store->remove(segmentKey(write.head, number));
        }
        return result;
    } catch (const StoreUnavailableError &) {
        return JournalResult::Failed;
    }
}

JournalResult JournalWriter::writeHead(const JournalHead &head)
{
    const SwapResult result = m_store->compareAndSwap(headKey(head), m_headVersion, head.encode());
    if (result.state == SwapState::Written) {
        m_headVersion = result.version;
        return JournalResult::Written;
    }
    return resolveUnconfirmedWrite(head);
}

JournalResult JournalWriter::resolveUnconfirmedWrite(const JournalHead &head)
{
    const auto stored = m_store->read(headKey(head));
    if (!stored) {
        m_headVersion = 0;
        return JournalResult::Failed;
    }
    try {
        if (JournalHead::decode(stored->value).terminatedBy) {
            LogEvent("journal_fenced", LogEvent::Level::Error).field("endpoint", head.endpoint);
            return JournalResult::Fenced;
        }
    } catch (const UserError &) {
        return JournalResult::Failed;
    }
    m_headVersion = stored->version;
    return stored->value == head.encode() ? JournalResult::Written : JournalResult::Failed;
}

void JournalWriter::sealPredecessors(const JournalHead &own)
{
    for (const StoredValue &item : m_store->readPrefix(headPrefix(own.service) + own.endpoint + "/")) {
        try {
            const JournalHead predecessor = JournalHead::decode(item.value);
            const bool older = predecessor.incarnation < own.incarnation;
            if (older && !predecessor.closed && !predecessor.terminatedBy) {
                seal(predecessor, item.version, own);
            }
        } catch (const UserError &error) {
            LogEvent("journal_unreadable", LogEvent::Level::Warning).field("key", item.key);
        }
    }
}

void JournalWriter::seal(const JournalHead &predecessor, std::uint64_t version, const JournalHead &own)
{
    JournalHead sealed = predecessor;
    // On the same VM, the process of the earlier incarnation must have ended before this one could listen on its
    // address.
    const bool sameVm = predecessor.vm == own.vm;
    const TimePoint start{Duration(static_cast<std::int64_t>(own.incarnation))};
    sealed.terminatedBy = sameVm ? start : own.watermark + AgentCore::SEAL_GRACE;
    const SwapResult result = m_store->compareAndSwap(headKey(predecessor), version, sealed.encode());
    if (result.state == SwapState::Conflict) {
        throw StoreUnavailableError("the journal of an earlier incarnation changed while it was being sealed");
    }
    LogEvent("journal_sealed")
        .field("endpoint", own.endpoint)
        .field("incarnation", static_cast<long long>(predecessor.incarnation));
}

}
