/** \file
 * Quantiles of values with weights.
 */
#include "weightedquantile.h"

#include <algorithm>

namespace Cyclamenturn
{

double totalWeight(const std::vector<WeightedValue> &values)
{
    double out = 0;
    for (const WeightedValue &item : values) {
        out += item.weight;
    }
    return out;
}

double weightedQuantile(std::vector<WeightedValue> values, double quantile)
{
    const double target = quantile * totalWeight(values);
    if (target <= 0) {
        return 0;
    }
    std::sort(values.begin(), values.end(), [](const auto &a, const auto &b) { return a.value < b.value; });
    double before = 0;
    const WeightedValue *previous = nullptr;
    double previousCenter = 0;
    for (const WeightedValue &item : values) {
        if (item.weight <= 0) {
            continue;
        }
        const double center = before + item.weight / 2;
        if (center >= target) {
            if (previous == nullptr) {
                return item.value;
            }
            const double share = (target - previousCenter) / (center - previousCenter);
            return previous->value + share * (item.value - previous->value);
        }
        before += item.weight;
        previous = &item;
        previousCenter = center;
    }
    return previous->value;
}

}
