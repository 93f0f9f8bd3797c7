/** \file
 * Random delays and durations of a gateway's calls to the store.
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
/** A gateway that receives no digests must find a change through its watch alone, within the two seconds in which a
 * configuration must come into force. One that is alone all of a sudden reads the configuration at once. */
constexpr Duration MIN_WATCH_DURATION = milliseconds(2000);
/** Each watch that ends costs a call, so watches are long where the other gateways' watches end in between. In a small
 * fleet, one ends each 200 ms on average. */
constexpr Duration WATCH_SPREAD_PER_GATEWAY = milliseconds(400);
constexpr Duration SMALL_FLEET_WATCH_SPREAD = milliseconds(4000);
/** In a large fleet, one ends each 125 ms. */
constexpr Duration LARGE_FLEET_WATCH_SPREAD_PER_GATEWAY = milliseconds(250);
/** The store holds a watch for 30 s at most. */
constexpr Duration MAX_WATCH_SPREAD = milliseconds(26000);

constexpr Duration MIN_RETRY_DELAY = milliseconds(250);
/** A fleet of some hundred gateways repeats about as many calls in a second as one of thirty. */
constexpr Duration RETRY_SPREAD_PER_GATEWAY = milliseconds(20);
constexpr Duration MAX_RETRY_SPREAD = milliseconds(1500);

Duration randomPart(Duration spread, double draw)
{
    return Duration(static_cast<std::int64_t>(draw * static_cast<double>(spread.count())));
}

}

Duration listReadDelay(Duration interval, int gateways, double draw)
{
    const Duration spread = std::min(MAX_SPREAD, (gateways - 1) * SPREAD_PER_GATEWAY);
    return interval + randomPart(spread, draw);
}

Duration storeRetryDelay(int gateways, double draw)
{
    const Duration spread = std::min(MAX_RETRY_SPREAD, (gateways - 1) * RETRY_SPREAD_PER_GATEWAY);
    return MIN_RETRY_DELAY + randomPart(spread, draw);
}

Duration configurationWatchDuration(int gateways, double draw)
{
    const Duration small = std::min(SMALL_FLEET_WATCH_SPREAD, (gateways - 1) * WATCH_SPREAD_PER_GATEWAY);
    const Duration large = std::min(MAX_WATCH_SPREAD, (gateways - 1) * LARGE_FLEET_WATCH_SPREAD_PER_GATEWAY);
    const Duration spread = std::max(small, large);
    return MIN_WATCH_DURATION + randomPart(spread, draw);
}

}
