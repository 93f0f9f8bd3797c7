/** \file
 * Schedules a gateway's reads of the endpoint list from the store. One gateway's read serves all gateways: all of them
 * receive its result at the same moment, and with a fixed interval they would all read again at the same later moment.
 * Random delays within a spread that grows with the number of gateways let one of them read first, as in the
 * suppression of multicast receiver reports.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

/** Returns the time from the last read of the list, by this or another gateway, to the next read by this gateway.
 * `draw` is a random number, uniform in [0, 1). */
Duration listReadDelay(Duration interval, int gateways, double draw);

}
