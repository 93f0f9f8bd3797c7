/** \file
 * When a gateway reads the list of endpoints from the store, given that each read serves all gateways.
 *
 * Load pattern: all gateways hear of a read at the same moment, and would all read again at the same later moment.
 * Random waits within a spread that grows with the fleet let one of them come first, as in the suppression of
 * multicast receiver reports.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

/** Wait from the last list that was read, here or elsewhere, to the next read by this gateway. `draw` is uniform in
 * [0, 1). */
Duration listReadDelay(Duration interval, int gateways, double draw);

}
