/** \file
 * Serialization of engine summaries: values as logarithms, weights and ages in one byte each.
 */
#include "enginesummarycodec.h"

#include "engineestimates.h"
#include "exponentialdecay.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Cyclamenturn
{

namespace
{

constexpr double WEIGHT_STEPS = 16;
constexpr double PACE_STEPS = 50;
constexpr double MAX_BYTE = 255;
constexpr Duration AGE_STEP = milliseconds(100);
/** Steps of the natural logarithm of a value. */
constexpr double VALUE_STEPS = 1024;

Poco::UInt8 toByte(double value)
{
    return static_cast<Poco::UInt8>(std::lround(std::clamp(value, 0.0, MAX_BYTE)));
}

}

void writeEngineSummary(Poco::BinaryWriter &out, const EngineSummary &summary, TimePoint now)
{
    const double decay = decayFactor(std::max(Duration(), now - summary.madeAt), EngineEstimates::TIME_CONSTANT);
    // 0 stands for a pace that wasn't stated.
    const Poco::UInt8 pace = summary.pace ? std::max<Poco::UInt8>(1, toByte(*summary.pace * PACE_STEPS)) : 0;
    out << Poco::UInt32(summary.service) << pace
        << toByte(static_cast<double>((now - summary.observedAt).count()) / static_cast<double>(AGE_STEP.count()));
    for (const EngineSummary::Entry &entry : summary.entries) {
        const bool isUsable = std::isfinite(entry.value) && entry.value > 0 && std::isfinite(entry.weight);
        const Poco::UInt8 weight = isUsable ? toByte(entry.weight * decay * WEIGHT_STEPS) : 0;
        out << weight;
        if (weight > 0) {
            const double steps = std::clamp<double>(std::log(entry.value) * VALUE_STEPS,
                std::numeric_limits<Poco::Int16>::min(), std::numeric_limits<Poco::Int16>::max());
            out << static_cast<Poco::Int16>(std::lround(steps));
        }
    }
}

std::optional<EngineSummary> readEngineSummary(Poco::BinaryReader &in, TimePoint now)
{
    EngineSummary out;
    Poco::UInt32 service = 0;
    Poco::UInt8 pace = 0;
    Poco::UInt8 age = 0;
    in >> service >> pace >> age;
    out.service = service;
    out.madeAt = now;
    out.observedAt = now - age * AGE_STEP;
    if (pace > 0) {
        out.pace = pace / PACE_STEPS;
    }
    for (EngineSummary::Entry &entry : out.entries) {
        Poco::UInt8 weight = 0;
        in >> weight;
        if (weight > 0) {
            Poco::Int16 steps = 0;
            in >> steps;
            entry = {std::exp(steps / VALUE_STEPS), weight / WEIGHT_STEPS};
        }
    }
    return in.good() ? std::optional<EngineSummary>(out) : std::nullopt;
}

}
