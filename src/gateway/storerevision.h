/** \file
 * A point in the history of the platform's store.
 */
#pragma once

#include <cstdint>
#include <tuple>

namespace Cyclamenturn
{

/**
 * The store counts its changes by revisions. When it is restored from a copy, it loses its latest changes and gives out
 * their revisions again; each restoration starts a new era. So revisions of different eras aren't comparable.
 */
struct StoreRevision
{
    /** Increases by one with each restoration; 0 if the store doesn't state it. */
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    bool operator==(const StoreRevision &other) const
    {
        return std::tie(era, revision) == std::tie(other.era, other.revision);
    }
    bool operator!=(const StoreRevision &other) const
    {
        return !(*this == other);
    }
    /** Whether this is earlier: in an earlier era, or in the same era at a lower revision. */
    bool operator<(const StoreRevision &other) const
    {
        return std::tie(era, revision) < std::tie(other.era, other.revision);
    }
};

}
