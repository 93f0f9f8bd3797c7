/** \file
 * The report of a window as it is recorded in the store before it is sent.
 */
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

struct UsageRecord
{
    std::int64_t window = 0;
    /** The body of the call, byte for byte. */
    std::string report;
    /** StoreRevision::era in which the record was written. */
    std::uint64_t era = 0;
    /** No window from this one on was recorded in an earlier era and lost. */
    std::int64_t firstWindow = 0;
    /** The reports of all windows up to this one were accepted, or it was too late for them. */
    std::int64_t acceptedThrough = 0;

    bool operator==(const UsageRecord &other) const
    {
        return std::tie(window, report, era, firstWindow, acceptedThrough)
            == std::tie(other.window, other.report, other.era, other.firstWindow, other.acceptedThrough);
    }
    bool operator!=(const UsageRecord &other) const
    {
        return !(*this == other);
    }
};

}
