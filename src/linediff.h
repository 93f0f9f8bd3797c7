/** \file
 * A line-by-line diff of two texts, shown to operators.
 */
#pragma once

#include <string>

namespace Cyclamenturn
{

/** Returns the unified diff from `before` to `after`; empty if they are equal. */
std::string lineDiff(const std::string &before, const std::string &after);

}
