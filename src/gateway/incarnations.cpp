/** \file
 * Listed and stated incarnations.
 */
#include "incarnations.h"

#include <iterator>

namespace Cyclamenturn
{

void Incarnations::noteListed(const std::vector<EndpointRecord> &list, TimePoint now)
{
    for (auto &[key, listed] : m_listed) {
        listed.listedUntil = listed.isListed ? now : listed.listedUntil;
        listed.isListed = false;
    }
    for (auto &[id, stated] : m_stated) {
        stated.isEndpointListed = false;
    }
    for (const EndpointRecord &record : list) {
        m_listed[incarnationKey(record)] = {record.version, versionKey(record), true, now};
        const auto found = m_stated.find(record.id);
        if (found == m_stated.end()) {
            continue;
        }
        Stated &stated = found->second;
        // A former entry that arrives late changes nothing.
        const bool isNewer = record.startedAtMs > stated.listedStartedAtMs;
        const bool isElsewhere = !(record.address == stated.record.address) || record.service != stated.record.service;
        if (isNewer || isElsewhere || record.startedAtMs == stated.record.startedAtMs) {
            m_stated.erase(found);
        } else {
            stated.isEndpointListed = true;
        }
    }
}

void Incarnations::noteStated(const EndpointRecord &listed, std::int64_t startedAtMs)
{
    if (startedAtMs == listed.startedAtMs) {
        m_stated.erase(listed.id);
        return;
    }
    Stated &stated = m_stated[listed.id];
    stated = {listed, listed.startedAtMs, true};
    stated.record.startedAtMs = startedAtMs;
    const auto known = m_listed.find(incarnationKey(stated.record));
    stated.record.isVersionKnown = known != m_listed.end();
    stated.record.version = known != m_listed.end() ? known->second.version : std::string();
}

const EndpointRecord &Incarnations::current(const EndpointRecord &listed) const
{
    const auto found = m_stated.find(listed.id);
    return found == m_stated.end() ? listed : found->second.record;
}

VersionKey Incarnations::versionOf(VersionKey key) const
{
    const auto found = m_listed.find(key);
    return found == m_listed.end() ? key : found->second.versionKey;
}

void Incarnations::expire(TimePoint now)
{
    for (auto it = m_listed.begin(); it != m_listed.end();) {
        const bool isOver = !it->second.isListed && now - it->second.listedUntil >= RETENTION;
        it = isOver ? m_listed.erase(it) : std::next(it);
    }
    for (auto it = m_stated.begin(); it != m_stated.end();) {
        it = it->second.isEndpointListed ? std::next(it) : m_stated.erase(it);
    }
}

}
