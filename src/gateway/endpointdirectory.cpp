/** \file
 * Known endpoints.
 */
#include "endpointdirectory.h"

#include "rendezvoushash.h"

#include <Poco/NumberFormatter.h>

#include <set>

namespace Cyclamenturn
{

namespace
{

constexpr int INCARNATION_NAME_DIGITS = 8;

}

std::string EndpointRecord::incarnationName() const
{
    const std::uint64_t hash = contentHash(std::to_string(startedAtMs), contentHash(id));
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt32>(hash), INCARNATION_NAME_DIGITS);
}

void EndpointDirectory::noteRestoration(TimePoint now)
{
    m_keepMissingUntil = now + REAPPEARANCE_WINDOW;
    m_copiedEntriesUntil = now + COPIED_ENTRY_LIFETIME;
}

bool EndpointDirectory::isCopyOfGone(const EndpointRecord &record, TimePoint now) const
{
    const auto gone = m_gone.find(record.id);
    return now < m_copiedEntriesUntil && gone != m_gone.end() && gone->second.record.isSameIncarnation(record);
}

void EndpointDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = m_records.find(id);
    m_gone[id] = {found->second, now};
    m_records.erase(found);
    for (auto it = m_gone.begin(); it != m_gone.end();) {
        it = now - it->second.since >= GONE_RETENTION ? m_gone.erase(it) : std::next(it);
    }
}

std::vector<EndpointChange> EndpointDirectory::apply(
    const std::vector<EndpointRecord> &list, const StoreRevision &revision, TimePoint now)
{
    const bool isSameEra = revision.era == m_revision.era;
    if (isSameEra && revision < m_revision) {
        return {};
    }
    if (m_readAt && !isSameEra) {
        noteRestoration(now);
    }
    if (m_readAt && m_failedSinceRead && now - *m_readAt >= ENTRY_EXPIRY_AGE) {
        m_keepMissingUntil = now + REAPPEARANCE_WINDOW;
    }
    m_revision = revision;
    m_readAt = now;
    m_failedSinceRead = false;
    m_isExact = false;

    std::vector<EndpointChange> changes;
    std::set<std::string> listed;
    for (const auto &record : list) {
        if (isCopyOfGone(record, now)) {
            continue;
        }
        listed.insert(record.id);
        const auto known = m_records.find(record.id);
        bool isLeaving = record.isLeaving;
        if (known == m_records.end()) {
            changes.push_back({EndpointChange::Kind::Added, record, {}});
        } else if (!known->second.isSameIncarnation(record)) {
            changes.push_back({EndpointChange::Kind::Restarted, record, known->second});
        } else if (record.isLeaving && !known->second.isLeaving) {
            changes.push_back({EndpointChange::Kind::Leaving, record, {}});
        } else if (now < m_copiedEntriesUntil) {
            // The entry may be the copy's, from before the endpoint began to leave.
            isLeaving = known->second.isLeaving;
        }
        m_records[record.id] = record;
        m_records[record.id].isLeaving = isLeaving;
    }
    if (now < m_keepMissingUntil) {
        return changes;
    }
    std::vector<std::string> missing;
    for (const auto &[id, record] : m_records) {
        if (listed.count(id) == 0) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        changes.push_back({EndpointChange::Kind::Removed, m_records.at(id), {}});
        remove(id, now);
    }
    m_isExact = now >= m_copiedEntriesUntil;
    return changes;
}

bool EndpointDirectory::confirm(const StoreRevision &revision, TimePoint now)
{
    if (!m_isExact || m_failedSinceRead || revision.era != m_revision.era || revision < m_revision) {
        return false;
    }
    m_revision = revision;
    m_readAt = now;
    return true;
}

void EndpointDirectory::noteReadFailed()
{
    m_failedSinceRead = true;
}

const EndpointRecord *EndpointDirectory::find(const std::string &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<const EndpointRecord *> EndpointDirectory::usable(const std::string &service) const
{
    std::vector<const EndpointRecord *> out;
    for (const auto &[id, record] : m_records) {
        if (record.service == service && !record.isLeaving) {
            out.push_back(&record);
        }
    }
    return out;
}

}
