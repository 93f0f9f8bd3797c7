/** \file
 * Quantiles of values with weights.
 */
#pragma once

#include <vector>

namespace Cyclamenturn
{

struct WeightedValue
{
    double value = 0;
    double weight = 0;
};

/** The quantile, interpolated between the centers of the values' weights; 0 if there are no weights. */
double weightedQuantile(std::vector<WeightedValue> values, double quantile);
/** The sum of the weights. */
double totalWeight(const std::vector<WeightedValue> &values);

}
