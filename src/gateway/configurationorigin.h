/** \file
 * Where and when a gateway got the configuration in force, for log lines.
 */
#pragma once

#include "storerevision.h"
#include "timepoint.h"

namespace Cyclamenturn
{

struct ConfigurationOrigin
{
    /** The revision under which the store held it. */
    StoreRevision revision;
    /** The call that returned it: "read" or "watch". */
    const char *source = "none";
    TimePoint receivedAt;
};

}
