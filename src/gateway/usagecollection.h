/** \file
 * What the holder of the usage duty needs from the exchange of counts among the gateways.
 */
#pragma once

#include "usagecounts.h"

#include "timepoint.h"

#include <cstdint>
#include <optional>

namespace Cyclamenturn
{

/** The counts of a window that has ended, summed over the gateways. */
struct ClosedWindow
{
    UsageCounts counts;
    /** Gateways that have sent the final counts of the window, this one included. */
    int closedGateways = 0;
    /** Gateways that were heard in the window and haven't. */
    int missingGateways = 0;
};

class UsageCollection
{
public:
    virtual ~UsageCollection() = default;

    /** Starts to ask the other gateways for their counts regularly, as the holder with this fencing token. */
    virtual void begin(std::uint64_t fencingToken) = 0;
    /** Stops asking, at the end of the tenure. What was collected is kept while its windows are. */
    virtual void end() = 0;
    /** The counts of a window once it is closed; nothing before. Doesn't change once it was returned. */
    virtual std::optional<ClosedWindow> closedWindow(std::int64_t window, TimePoint now) = 0;
    /** When another gateway last asked this one for counts as the holder; empty if none has. */
    virtual std::optional<TimePoint> lastAskedAt() const = 0;
    /** Whether this gateway hears from at least half of the gateways that it knew a moment before. */
    virtual bool hearsMostGateways(TimePoint now) const = 0;
};

}
