/** \file
 * Schedules a gateway's calls to the store so that those of different gateways fall on different times.
 *
 * One gateway's read of the endpoint list serves all gateways: all of them receive its result at the same moment, and
 * with a fixed interval they would all read again at the same later moment. Random delays within a spread that grows
 * with the number of gateways let one of them read first, as in the suppression of multicast receiver reports.
 *
 * In the same way a change ends all watches of the configuration at the same moment. With random durations the next
 * ones end one after the other, so that some gateway soon notices that its watch is answered no more, and the others
 * learn of a change from its digest.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

/** Returns the time from the last read of the list, by this or another gateway, to the next read by this gateway.
 * `draw` is a random number, uniform in [0, 1). */
Duration listReadDelay(Duration interval, int gateways, double draw);

/** Returns the time until a call is repeated that the store refused or left unanswered. It is short enough to read a
 * change in time after the store's return; in a large fleet, the others tell of the change. */
Duration storeRetryDelay(int gateways, double draw);

/** Returns how long the store may hold a watch of the configuration. `draw` is a random number, uniform in [0, 1). */
Duration configurationWatchDuration(int gateways, double draw);

}
