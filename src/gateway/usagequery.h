/** \file
 * The question of the holder of the usage duty for the counts of windows that are over.
 */
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

struct UsageQuery
{
    /** Most windows in one query. */
    static constexpr std::int64_t MAX_WINDOWS = 8;
    /** Most gateways named in `copiesOf`. */
    static constexpr std::size_t MAX_COPIES = 400;

    std::uint64_t fencingToken = 0;
    /** Name of the holder. */
    std::string holder;
    /** The windows from `first` to before `end`; none if they are equal. */
    std::int64_t first = 0;
    std::int64_t end = 0;
    /** Whether the copies that the receiver keeps of any other gateway are asked for. */
    bool wantsAllCopies = false;
    /** Gateways of which copies are asked for, by gatewayHash(). */
    std::vector<std::uint32_t> copiesOf;

    bool operator==(const UsageQuery &other) const
    {
        return std::tie(fencingToken, holder, first, end, wantsAllCopies, copiesOf)
            == std::tie(other.fencingToken, other.holder, other.first, other.end, other.wantsAllCopies, other.copiesOf);
    }
    bool operator!=(const UsageQuery &other) const
    {
        return !(*this == other);
    }
};

}
