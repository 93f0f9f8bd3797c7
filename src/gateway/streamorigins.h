/** \file
 * The origins of recent streams that this gateway knows: of those that it began itself, and of those that other
 * gateways have told it to keep.
 */
#pragma once

#include "streamorigin.h"
#include "streamowners.h"
#include "timepoint.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

class StreamOrigins
{
public:
    /** Callers take a stream up again within their timeout, which is shorter. */
    static constexpr Duration RETENTION = milliseconds(60000);
    /** The oldest origins are forgotten beyond it. A stream without a known origin isn't resumed. */
    static constexpr std::size_t MAX_STREAMS = 32768;

    /** Keeps the origin of a stream that began at `begunAt`. The first note of a stream holds; attempts have unique
     * ids. */
    void note(const StreamOrigin &origin, const StreamOwnerHashes &owners, TimePoint begunAt);
    std::optional<VersionKey> find(StreamKey stream, TimePoint now) const;
    /** The origins that the gateway with this hash is to keep, the oldest first. */
    std::vector<AgedOrigin> ownedBy(std::uint32_t gateway, TimePoint now) const;
    /** The origins that were noted after the first `count` ones, and are still known. */
    std::vector<AgedOrigin> notedAfter(std::uint64_t count, TimePoint now) const;
    /** Number of origins noted so far. */
    std::uint64_t notedCount() const
    {
        return m_notedCount;
    }
    void expire(TimePoint now);
    std::size_t size() const
    {
        return m_origins.size();
    }

private:
    struct Entry
    {
        VersionKey version = 0;
        TimePoint begunAt;
        StreamOwnerHashes owners{};
    };

    /** Appends the origin unless its retention has ended. */
    static void append(std::vector<AgedOrigin> &out, StreamKey stream, const Entry &entry, TimePoint now);

    std::unordered_map<StreamKey, Entry> m_origins;
    /** The keys of m_origins, the first one noted first. */
    std::deque<StreamKey> m_order;
    std::uint64_t m_notedCount = 0;
};

}
