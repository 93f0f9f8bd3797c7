/** \file
 * The share of prefill in an engine's time, and the pauses between events that follow.
 */
#include "streamcapacity.h"

#include "enginecostmodel.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** Share of the slots that streams use on average. They come at random, and without free slots new ones wait. */
constexpr double MEAN_SLOT_USE = 0.7;
/** Ratio of the longest pause of a stream to its mean one. */
constexpr double LONGEST_PAUSE_RATIO = 3;

}

double streamsWithinGap(
    const EngineCostModel &engine, double tokensPerEvent, double prefillPerToken, int slots, Duration eventGap)
{
    const double typicalBatch = engine.batchedTokenMs > 0 ? engine.tokenMs / engine.batchedTokenMs : 1;
    const double eventGapMs = static_cast<double>(eventGap.count()) / 1000;
    const int maxStreams = static_cast<int>(MEAN_SLOT_USE * slots);
    int streams = 1;
    for (int n = 2; n <= maxStreams; ++n) {
        const double fullness
            = n <= typicalBatch || slots <= typicalBatch ? 0 : (n - typicalBatch) / (slots - typicalBatch);
        const double tokenMs = engine.tokenMs + fullness * (engine.fullBatchTokenMs - engine.tokenMs);
        const double prefillShare = n * prefillPerToken / (engine.prefillTokensPerMs * std::max(0.001, tokenMs));
        if (prefillShare > engine.prefillUtilization || prefillShare >= 1
            || LONGEST_PAUSE_RATIO * tokensPerEvent * tokenMs / (1 - prefillShare) > eventGapMs) {
            break;
        }
        streams = n;
    }
    return streams;
}

}
