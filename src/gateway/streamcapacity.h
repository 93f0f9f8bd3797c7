/** \file
 * How many streams one engine serves with short pauses.
 */
#pragma once

#include "timepoint.h"

namespace Cyclamenturn
{

struct EngineCostModel;

/** The number of streams that one engine serves with all pauses within the event gap, at least 1 and at most `slots`.
 * Each generated token entails `prefillPerToken` prompt tokens of new streams. docs/design/engine-estimates.md has the
 * derivation. */
double streamsWithinGap(
    const EngineCostModel &engine, double tokensPerEvent, double prefillPerToken, int slots, Duration eventGap);

}
