/** \file
 * The origins of recent streams that this gateway knows: of those that it began itself, and of those that other
 * gateways have told it to keep.
 */
#pragma once

#include "streamorigin.h"
#include "timepoint.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Cyclamenturn
{

class StreamOrigins
{
public:
    /** Callers take a stream up again within their timeout, which is shorter. */
    static constexpr Duration RETENTION = milliseconds(60000);
    /** The oldest origins are forgotten beyond it. A stream without a known origin isn't resumed. */
    static constexpr std::size_t MAX_STREAMS = 32768;

    /** The first note of a stream holds; attempts have unique ids. */
    void note(const StreamOrigin &origin, TimePoint now);
    std::optional<VersionKey> find(StreamKey stream, TimePoint now) const;
    void expire(TimePoint now);
    std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct Entry
    {
        VersionKey version = 0;
        TimePoint at;
    };

    std::unordered_map<StreamKey, Entry> m_origins;
    /** The keys of m_origins, the oldest first. */
    std::deque<StreamKey> m_order;
};

}
