/** \file
 * Random delay before a read of the endpoint list.
 */
#include "listreadplan.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** About three times the duration of a read and the delivery of its result, so that few gateways read at once. */
constexpr Duration SPREAD_PER_GATEWAY = milliseconds(30);
/** Together with the interval, keeps the list recent enough to stop sending to a leaving endpoint in time, also at a
 * gateway that receives no updates from others. */
constexpr Duration MAX_SPREAD = milliseconds(900);

}

Duration listReadDelay(Duration interval, int gateways, double draw)
{
    const Duration spread = std::min(MAX_SPREAD, (gateways - 1) * SPREAD_PER_GATEWAY);
    return interval + Duration(static_cast<std::int64_t>(draw * static_cast<double>(spread.count())));
}

}
