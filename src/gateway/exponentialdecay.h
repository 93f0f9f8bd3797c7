/** \file
 * Exponential decay of the weight of observations.
 */
#pragma once

#include "timepoint.h"

#include <cmath>

namespace Cyclamenturn
{

/** The weight of an observation of that age: 1 at age 0, 1/e at `timeConstant`. */
inline double decayFactor(Duration age, Duration timeConstant)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(timeConstant.count()));
}

}
