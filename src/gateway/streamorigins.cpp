/** \file
 * Table of the origins of streams.
 */
#include "streamorigins.h"

#include <algorithm>

namespace Cyclamenturn
{

void StreamOrigins::note(const StreamOrigin &origin, const StreamOwnerHashes &owners, TimePoint begunAt)
{
    const bool isFull = m_origins.size() >= MAX_STREAMS;
    if (isFull && begunAt < m_origins.at(m_order.front()).begunAt) {
        return;
    }
    if (!m_origins.emplace(origin.stream, Entry{origin.version, begunAt, owners}).second) {
        return;
    }
    m_order.push_back(origin.stream);
    ++m_notedCount;
    if (m_order.size() > MAX_STREAMS) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<VersionKey> StreamOrigins::find(StreamKey stream, TimePoint now) const
{
    const auto found = m_origins.find(stream);
    const bool isKnown = found != m_origins.end() && now - found->second.begunAt < RETENTION;
    return isKnown ? std::optional<VersionKey>(found->second.version) : std::nullopt;
}

void StreamOrigins::append(std::vector<AgedOrigin> &out, StreamKey stream, const Entry &entry, TimePoint now)
{
    const Duration age = std::max(Duration(), Duration(now - entry.begunAt));
    if (age < RETENTION) {
        out.push_back({{stream, entry.version}, age});
    }
}

std::vector<AgedOrigin> StreamOrigins::ownedBy(std::uint32_t gateway, TimePoint now) const
{
    std::vector<AgedOrigin> out;
    for (const StreamKey stream : m_order) {
        const Entry &entry = m_origins.at(stream);
        if (std::find(entry.owners.begin(), entry.owners.end(), gateway) != entry.owners.end()) {
            append(out, stream, entry, now);
        }
    }
    return out;
}

std::vector<AgedOrigin> StreamOrigins::notedAfter(std::uint64_t count, TimePoint now) const
{
    std::vector<AgedOrigin> out;
    const auto size = std::min<std::uint64_t>(m_notedCount - count, m_order.size());
    for (auto it = m_order.end() - static_cast<std::ptrdiff_t>(size); it != m_order.end(); ++it) {
        append(out, *it, m_origins.at(*it), now);
    }
    return out;
}

void StreamOrigins::expire(TimePoint now)
{
    while (!m_order.empty() && now - m_origins.at(m_order.front()).begunAt >= RETENTION) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

}
