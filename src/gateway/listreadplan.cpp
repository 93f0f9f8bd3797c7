/** \file
 * Spread of the reads of the endpoint list.
 */
#include "listreadplan.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** About three times as long as a read and its news take, so that few gateways read at once. */
constexpr Duration SPREAD_PER_GATEWAY = milliseconds(30);
/** With the interval, keeps the age of the list below what a leaving endpoint's notice allows, also for a gateway that
 * hears no other. */
constexpr Duration MAX_SPREAD = milliseconds(900);

}

Duration listReadDelay(Duration interval, int gateways, double draw)
{
    const Duration spread = std::min(MAX_SPREAD, (gateways - 1) * SPREAD_PER_GATEWAY);
    return interval + Duration(static_cast<std::int64_t>(draw * static_cast<double>(spread.count())));
}

}
