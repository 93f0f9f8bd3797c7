/** \file
 * History of software versions.
 */
#include "versionhistory.h"

#include "endpointdirectory.h"
#include "streamorigins.h"

namespace Cyclamenturn
{

void VersionHistory::update(const std::vector<EndpointRecord> &list, TimePoint now)
{
    confirm(now);
    for (auto &[service, versions] : m_listings) {
        for (auto it = versions.begin(); it != versions.end();) {
            Listing &listing = it->second;
            listing.listedUntil = listing.isListed ? now : listing.listedUntil;
            listing.isListed = false;
            it = now - listing.listedUntil >= StreamOrigins::RETENTION ? versions.erase(it) : std::next(it);
        }
    }
    for (const EndpointRecord &record : list) {
        auto &versions = m_listings[serviceKey(record.service)];
        versions.erase(incarnationKey(record));
        versions[versionKey(record)].isListed = true;
    }
}

bool VersionHistory::noteUnlisted(const UnlistedIncarnation &notice, TimePoint now)
{
    const auto [found, isNew] = m_listings[notice.service].try_emplace(notice.incarnation);
    const bool isDue = isNew || now - found->second.listedUntil >= UNLISTED_NOTE_INTERVAL;
    if (isDue) {
        found->second.listedUntil = now;
    }
    return isDue;
}

void VersionHistory::confirm(TimePoint now)
{
    if (!m_since || now - m_readAt > MAX_LIST_AGE) {
        m_since = now;
    }
    m_readAt = now;
}

std::optional<VersionKey> VersionHistory::soleVersion(ServiceKey service, Duration span, TimePoint now) const
{
    const auto found = m_listings.find(service);
    const bool isComplete = m_since && now - *m_since >= span && now - m_readAt <= MAX_LIST_AGE;
    if (found == m_listings.end() || !isComplete || span > StreamOrigins::RETENTION) {
        return std::nullopt;
    }
    std::optional<VersionKey> out;
    for (const auto &[version, listing] : found->second) {
        if (!listing.isListed && now - listing.listedUntil >= span) {
            continue;
        }
        if (out) {
            return std::nullopt;
        }
        out = version;
    }
    return out;
}

}
