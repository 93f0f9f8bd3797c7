/** \file
 * One gateway's observations of the engines of one service, as gateways exchange them in digests.
 */
#pragma once

#include "timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

/** Values that are estimated for each service. The order is that of the digest. */
enum class EngineValue : std::size_t {
    /** Tokens prefilled per millisecond. */
    PrefillRate,
    /** Milliseconds to the first event without any prefill. */
    FirstEvent,
    /** Milliseconds between two events of one stream, in a batch that isn't full. */
    EventPause,
    /** The same when nearly all slots are taken. */
    FullBatchEventPause,
    TokensPerEvent,
    /** Prompt tokens of long answers in relation to the tokens generated. */
    PrefillPerToken,
};
constexpr std::size_t ENGINE_VALUES = 6;

struct EngineSummary
{
    /** A value and the decayed number of observations on which it is based; 0 if there are none. */
    struct Entry
    {
        double value = 0;
        double weight = 0;

        bool operator==(const Entry &other) const
        {
            return std::tie(value, weight) == std::tie(other.value, other.weight);
        }
    };

    /** Hash of the service's name. */
    std::uint32_t service = 0;
    /** When the weights were as stated; they decay since. */
    TimePoint madeAt;
    /** Mean time of the observations. */
    TimePoint observedAt;
    /** Mean pace of the service's VMs; empty if no endpoint has stated its pace recently. */
    std::optional<double> pace;
    /** By EngineValue. */
    std::array<Entry, ENGINE_VALUES> entries;

    const Entry &entry(EngineValue value) const
    {
        return entries.at(static_cast<std::size_t>(value));
    }
    double totalWeight() const
    {
        double out = 0;
        for (const Entry &entry : entries) {
            out += entry.weight;
        }
        return out;
    }
    bool operator==(const EngineSummary &other) const
    {
        return std::tie(service, madeAt, observedAt, pace, entries)
            == std::tie(other.service, other.madeAt, other.observedAt, other.pace, other.entries);
    }
};

/** The hash that identifies a service in summaries. */
std::uint32_t engineServiceHash(const std::string &service);

}
