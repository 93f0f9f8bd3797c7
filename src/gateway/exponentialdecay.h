/** \file
 * The weight that an old observation keeps.
 */
#pragma once

#include "timepoint.h"

#include <cmath>

namespace Cyclamenturn
{

/** Falls from 1 at age 0 to 1/e at `timeConstant`. */
inline double decayFactor(Duration age, Duration timeConstant)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(timeConstant.count()));
}

}
