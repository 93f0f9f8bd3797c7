/** \file
 * Value of an endpoint for a prompt.
 */
#include "prefixsaving.h"

#include "endpointroom.h"
#include "enginecostmodel.h"
#include "keptparts.h"
#include "workloadsplit.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

/** What a delay of a running request's next tokens costs in relation to a delay of a first event. Callers accept pauses
 * of several steps, so that most of it isn't noticed. */
constexpr double RUNNING_DELAY_COST = 0.25;
/** Bounds the price of prefill while queues grow without limit. */
constexpr double MAX_BACKLOG = 20;
/** Added to the backlog in a busy fleet, half of it at a backlog of 1. Queues are known from digests that are seconds
 * old, so that less is gained by leaving the home endpoint than expected, while the second prefill is certain. */
constexpr double BACKLOG_MARGIN = 10;
/** Loss by a late first event in relation to the work for one prompt. A late response loses two thirds of its value,
 * but few of the prompts that leave for that reason are in time elsewhere when all endpoints are busy. */
constexpr double LATE_LOSS = 0.1;
/** Expected times from which, and up to which, in objectives, it becomes certain that a first event is late. */
constexpr double POSSIBLY_LATE = 0.7;
constexpr double CERTAINLY_LATE = 1.3;
/** Share of the evicted parts that would have been used again before they were evicted anyway. */
constexpr double REUSED_SHARE = 0.5;
/** Failure shares above this aren't told apart. A suspect endpoint counts as failing half of the time at least. */
constexpr double MAX_FAILURE_SHARE = 0.9;
constexpr double SUSPECT_FAILURE_SHARE = 0.5;
constexpr double MICROSECONDS_PER_MS = 1000;

double slotWaitMs(const EndpointOutlook &outlook, double durationMs)
{
    const double slots = std::max(1, outlook.slots);
    return std::max(0.0, outlook.requests + 1 - slots) / slots * durationMs;
}

}

PromptValue promptValue(const PromptNeeds &needs, const EndpointOutlook &outlook)
{
    const PromptTraits &prompt = needs.prompt;
    const EngineCostModel &engine = needs.engine;
    const double tokenPrefillMs = outlook.pace / engine.prefillTokensPerMs;
    const double running = std::min(outlook.requests, static_cast<double>(std::max(1, outlook.slots)));
    const double backlog = std::clamp(needs.meanBacklog, 0.0, MAX_BACKLOG);
    const double queued = 1 + backlog + BACKLOG_MARGIN * backlog / (backlog + 1);
    const double othersPrice = (1 + RUNNING_DELAY_COST * running) * queued - 1;

    const double promptTokens = static_cast<double>(prompt.promptTokens);
    const double cached = std::min(static_cast<double>(outlook.cachedTokens), promptTokens);
    const double shared = std::min(static_cast<double>(sharedTokens(prompt)), promptTokens);
    // Shared parts that the home endpoint has to prefill now would otherwise be prefilled there by the next request.
    const double sharedForOthers = outlook.isHomeEndpoint ? std::max(0.0, shared - cached) : 0;

    PromptValue out;
    out.savedMs = cached * tokenPrefillMs * (engine.prefillDilation + othersPrice);
    out.prefillMs = tokenPrefillMs * (promptTokens * engine.prefillDilation + (shared - sharedForOthers) * othersPrice);

    const double outputTokens = expectedOutputTokens(prompt);
    const double fullDurationMs = outputTokens * engine.fullBatchTokenMs * outlook.pace;
    const double queueMs = outlook.pendingPrefillTokens * tokenPrefillMs * engine.prefillDilation;
    const double fixedMs = engine.firstEventMs * outlook.pace + queueMs + slotWaitMs(outlook, fullDurationMs)
        + roomWaitMs(tokensNeeded(prompt), outlook.tokensInUse, outlook.memoryTokens, fullDurationMs);
    const double ownPrefillMs = (promptTokens - cached) * tokenPrefillMs * engine.prefillDilation;
    out.processingMs = engine.firstEventMs * outlook.pace + ownPrefillMs;
    out.firstEventMs = fixedMs + ownPrefillMs;

    const double objectiveMs = static_cast<double>(needs.objective.count()) / MICROSECONDS_PER_MS;
    const double failureShare
        = std::min(outlook.isSuspect ? std::max(outlook.failureShare, SUSPECT_FAILURE_SHARE) : outlook.failureShare,
            MAX_FAILURE_SHARE);
    const double attemptLossMs = std::max(objectiveMs, engine.firstEventMs + promptTokens * tokenPrefillMs);
    out.waitMs = fixedMs + failureShare / (1 - failureShare) * attemptLossMs;

    if (objectiveMs > 0) {
        const double lateShare
            = std::clamp((out.firstEventMs / objectiveMs - POSSIBLY_LATE) / (CERTAINLY_LATE - POSSIBLY_LATE), 0.0, 1.0);
        const double workMs = (promptTokens - shared) * tokenPrefillMs + outputTokens * engine.batchedTokenMs;
        out.lateMs = lateShare * LATE_LOSS * workMs * (engine.prefillDilation + othersPrice);
    }
    out.displacedMs = outlook.displacedTokens * tokenPrefillMs * (engine.prefillDilation + othersPrice) * REUSED_SHARE;
    return out;
}

}
