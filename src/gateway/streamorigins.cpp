/** \file
 * Table of the origins of streams.
 */
#include "streamorigins.h"

namespace Cyclamenturn
{

void StreamOrigins::note(const StreamOrigin &origin, TimePoint now)
{
    if (!m_origins.emplace(origin.stream, Entry{origin.version, now}).second) {
        return;
    }
    m_order.push_back(origin.stream);
    if (m_order.size() > MAX_STREAMS) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<VersionKey> StreamOrigins::find(StreamKey stream, TimePoint now) const
{
    const auto found = m_origins.find(stream);
    const bool isKnown = found != m_origins.end() && now - found->second.at < RETENTION;
    return isKnown ? std::optional<VersionKey>(found->second.version) : std::nullopt;
}

void StreamOrigins::expire(TimePoint now)
{
    while (!m_order.empty() && now - m_origins.at(m_order.front()).at >= RETENTION) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

}
