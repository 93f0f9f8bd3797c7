/** \file
 * The settings of the duties that one gateway has at a time.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <tuple>

namespace Cyclamenturn
{

struct DutySettings
{
    /** Address of the platform's API. */
    Address api;
    /** Length of the windows of usage reports. */
    Duration window{};
    /** A report is due this long after the end of its window. */
    Duration reportDue{};
    Duration lease{};

    bool operator==(const DutySettings &other) const
    {
        return api == other.api
            && std::tie(window, reportDue, lease) == std::tie(other.window, other.reportDue, other.lease);
    }
    bool operator!=(const DutySettings &other) const
    {
        return !(*this == other);
    }
};

}
