/** \file
 * Choice among the services of a route.
 */
#include "route.h"

#include <numeric>

namespace Cyclamenturn
{

const std::string &chooseService(const Route &route, double draw)
{
    const int total = std::accumulate(route.services.begin(), route.services.end(), 0,
        [](int sum, const WeightedService &item) { return sum + item.weight; });
    double left = draw * total;
    for (const auto &item : route.services) {
        left -= item.weight;
        if (left < 0) {
            return item.service;
        }
    }
    return route.services.front().service;
}

}
