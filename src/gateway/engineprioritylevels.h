/** \file
 * The priority levels that engines distinguish.
 */
#pragma once

namespace Cyclamenturn
{

/** Number of priority levels of an engine; level 0 is the most urgent. */
constexpr int ENGINE_PRIORITY_LEVELS = 10;

}
