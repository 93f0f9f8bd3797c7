/** \file
 * How one endpoint does, by this process's own results: load, failures, silence, speed and what its engine has cached.
 */
#pragma once

#include "requesttraits.h"
#include "timepoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

/** What an attempt at an endpoint came to, as far as it says something about the endpoint. */
enum class EndpointResult {
    Succeeded,
    /** The endpoint's own failure answer. */
    FailureResponse,
    /** It refused since it is full; the request didn't run. */
    Full,
    NotConnected,
    ConnectionLost,
    /** Nothing came in the time within which the endpoint's peers answer. */
    NoResponse,
};

class EndpointStatistics
{
public:
    /** Time constant with which old results lose weight. Short, since faults come and go within seconds. */
    static constexpr Duration RESULT_TIME_CONSTANT = milliseconds(2500);
    /** First pause after a lost connection or silence; doubles while it goes on. */
    static constexpr Duration INITIAL_SUSPICION_TIME = milliseconds(400);
    static constexpr Duration MAX_SUSPICION_TIME = milliseconds(3200);
    /** Prompt parts remembered for one endpoint, a bound on this process's memory. */
    static constexpr std::size_t MAX_PROMPT_PARTS = 2048;

    void noteSent(std::int64_t prefillTokens);
    /** The first byte of the answer came: its prompt is read. */
    void noteFirstEvent(std::int64_t prefillTokens);
    void noteEnded();
    void noteLoad(const EndpointLoad &load, TimePoint now);
    void noteResult(EndpointResult result, TimePoint now);
    /** How long an answer, or a stream's first event, took against the estimate. */
    void noteSpeed(double actualOverExpected);

    /** Requests of this process at the endpoint. */
    int inFlight() const
    {
        return m_inFlight;
    }
    /** Requests there by all callers: the last report of the others' and our own. */
    double load(TimePoint now) const;
    /** Tokens of this process's requests that the engine still has to read. */
    std::int64_t pendingPrefillTokens() const
    {
        return m_pendingPrefill;
    }
    /** Share of recent attempts that failed, between 0 and 1; low counts are drawn towards 0. */
    double failureShare(TimePoint now) const;
    /** Whether the endpoint lost connections or fell silent a moment ago. */
    bool isSuspect(TimePoint now) const
    {
        return now < m_suspectUntil;
    }
    /** Time taken against the estimate, 1 being as expected. */
    double slowness() const
    {
        return m_slowness;
    }

    void noteCached(const PromptTraits &prompt, TimePoint now);
    /** Tokens at the head of the prompt that this process believes the engine has cached. */
    std::int64_t cachedTokens(const PromptTraits &prompt, TimePoint now, Duration cacheLife) const;

private:
    void applyDecay(TimePoint now);
    void suspect(TimePoint now);

    int m_inFlight = 0;
    std::int64_t m_pendingPrefill = 0;
    std::optional<EndpointLoad> m_load;
    TimePoint m_loadAt;
    /** m_inFlight when m_load came. */
    int m_inFlightAtLoad = 0;
    /** Both fade with RESULT_MEMORY. */
    double m_attempts = 0;
    double m_failures = 0;
    TimePoint m_decayedAt;
    TimePoint m_suspectUntil;
    Duration m_suspicion = INITIAL_SUSPICION_TIME;
    double m_slowness = 1;
    /** When a part was last used. */
    std::unordered_map<std::string, TimePoint> m_parts;
};

}
