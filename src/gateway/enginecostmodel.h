/** \file
 * What an engine needs for its work, as far as placement and admission reckon with it.
 */
#pragma once

namespace Cyclamenturn
{

/** Times that an engine needs for its work. The defaults fit the engines of the first deployments. */
struct EngineCostModel
{
    double prefillTokensPerMs = 92;
    /** Delay that one running request adds to the tokens of the others, summed over a response of typical length. */
    double runningCostMs = 1;
    /** Ratio of the time until a prompt is processed to its prefill time alone. Engines generate tokens for other
     * requests in between. */
    double prefillDilation = 1.5;
    /** Fixed part of the time to the first event; it applies to an idle engine too. */
    double firstEventMs = 65;
    /** Time between two tokens of one request in a batch of typical size. */
    double tokenMs = 4;
    /** Time between two tokens of one request when all slots are taken. */
    double fullBatchTokenMs = 11;
    /** Engine time per token when it shares its decode step with a batch of typical size. */
    double batchedTokenMs = 0.2;
    /** Ratio of all prefill to that of the requests' own parts. Shared parts are occasionally processed again. */
    double rereadFactor = 1.5;
    /** Share of its time that an engine may spend on prefill before prompts wait too long. */
    double prefillUtilization = 0.7;
    /** Share of the endpoints up to which long answers take precedence over long prompts when there are too few
     * endpoints for both and the answers are more urgent. The rest prevents the starvation of long prompts. */
    double urgentShare = 0.75;
    /** Streams that one engine serves with short pauses between tokens, even while it processes the prompts of new
     * streams between decode steps. */
    double streamsPerEndpoint = 20;
    /** Whether the values were learned from responses. Decisions that need accurate speeds are taken only then. */
    bool isLearned = false;
};

}
