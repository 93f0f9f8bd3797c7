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
    return Poco::NumberFormatter::formatHex(
        static_cast<Poco::UInt32>(contentHash(id, static_cast<std::uint64_t>(startedAtMs))), INCARNATION_NAME_DIGITS);
}

std::vector<EndpointChange> EndpointDirectory::apply(
    const std::vector<EndpointRecord> &list, std::uint64_t revision, TimePoint now)
{
    if (revision < m_revision) {
        return {};
    }
    if (m_readAt && m_failedSinceRead && now - *m_readAt >= ENTRY_EXPIRY_AGE) {
        m_keepMissingUntil = now + REAPPEARANCE_WINDOW;
    }
    m_revision = revision;
    m_readAt = now;
    m_failedSinceRead = false;

    std::vector<EndpointChange> changes;
    std::set<std::string> listed;
    for (const auto &record : list) {
        listed.insert(record.id);
        const auto known = m_records.find(record.id);
        if (known == m_records.end()) {
            changes.push_back({EndpointChange::Kind::Added, record, {}});
        } else if (!known->second.isSameIncarnation(record)) {
            changes.push_back({EndpointChange::Kind::Restarted, record, known->second});
        } else if (record.isLeaving && !known->second.isLeaving) {
            changes.push_back({EndpointChange::Kind::Leaving, record, {}});
        }
        m_records[record.id] = record;
    }
    if (now < m_keepMissingUntil) {
        return changes;
    }
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (listed.count(it->first) != 0) {
            ++it;
            continue;
        }
        changes.push_back({EndpointChange::Kind::Removed, it->second, {}});
        it = m_records.erase(it);
    }
    return changes;
}

void EndpointDirectory::noteReadFailed()
{
    m_failedSinceRead = true;
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
