/** \file
 * Statistics of one endpoint from this process's own requests: load, failures, missing responses, speed, and the prompt
 * parts that its engine has cached.
 */
#pragma once

#include "endpointroom.h"
#include "keptparts.h"
#include "requesttraits.h"
#include "timepoint.h"
#include "usualpace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

/** Result of an attempt, as far as it says something about the endpoint. */
enum class EndpointResult {
    Succeeded,
    /** The endpoint responded with a failure. */
    FailureResponse,
    /** The endpoint didn't run the request: it is full, or the request was meant for another endpoint. */
    NotRun,
    NotConnected,
    ConnectionLost,
    /** No response, or no further event, within the time that the route allows. */
    NoResponse,
    /** The endpoint sent more than any response has, or bytes without a request. */
    Unbounded,
};

class EndpointStatistics
{
public:
    /** Time constant with which old results decay. It is short since faults begin and end within seconds. */
    static constexpr Duration RESULT_TIME_CONSTANT = milliseconds(2500);
    /** How long an endpoint is suspect after a lost connection or a missing response. The time doubles while such
     * results continue. */
    static constexpr Duration INITIAL_SUSPICION_TIME = milliseconds(400);
    static constexpr Duration MAX_SUSPICION_TIME = milliseconds(3200);
    /** Prompt parts stored for one endpoint; bounds the memory of this process. */
    static constexpr std::size_t MAX_PROMPT_PARTS = 2048;

    void noteSent(std::int64_t prefillTokens);
    /** The first byte of the response was received, so the prompt has been processed. */
    void noteFirstEvent(std::int64_t prefillTokens);
    void noteEnded();
    void noteLoad(const EndpointLoad &load, TimePoint now);
    void noteResult(EndpointResult result, TimePoint now);
    /** Adds the ratio of actual to expected time for a response or the first event of a stream. */
    void noteSlowness(double actualOverExpected);

    /** Requests of this process at the endpoint. */
    int inFlight() const
    {
        return m_inFlight;
    }
    /** Requests of all callers at the endpoint: this process's own, plus those of others by the last report. */
    double load(TimePoint now) const;
    /** How long work takes on the endpoint's VM in relation to others. */
    const UsualPace &pace() const
    {
        return m_pace;
    }
    /** Requests that waited at the endpoint by its last report; 0 if that is old. */
    int reportedWaiting(TimePoint now) const;
    /** Tokens of this process's requests that the engine still has to prefill. */
    std::int64_t pendingPrefillTokens() const
    {
        return m_pendingPrefill;
    }
    /** Share of recent attempts that failed, between 0 and 1. It is biased towards 0 when there are few attempts. */
    double failureShare(TimePoint now) const;
    /** Whether a connection was recently lost or a response recently missing. */
    bool isSuspect(TimePoint now) const
    {
        return now < m_suspectUntil;
    }
    /** Smoothed ratio of actual to expected time; 1 is as expected. */
    double slowness() const
    {
        return m_slowness;
    }

    void noteCached(const PromptTraits &prompt, TimePoint now);
    /** Tokens at the head of the prompt that the engine presumably has cached. */
    std::int64_t cachedTokens(const PromptTraits &prompt, TimePoint now, Duration cacheLife) const;

    /** Replaces the parts of noteCached() where engine speeds were learned. */
    const KeptParts &keptParts() const
    {
        return m_keptParts;
    }
    KeptParts &keptParts()
    {
        return m_keptParts;
    }
    const EndpointRoom &room() const
    {
        return m_room;
    }
    EndpointRoom &room()
    {
        return m_room;
    }

private:
    void applyDecay(TimePoint now);
    void suspect(TimePoint now);

    int m_inFlight = 0;
    std::int64_t m_pendingPrefill = 0;
    std::optional<EndpointLoad> m_load;
    UsualPace m_pace;
    TimePoint m_loadAt;
    /** m_inFlight when m_load was received. */
    int m_inFlightAtLoad = 0;
    /** Both decay with RESULT_TIME_CONSTANT. */
    double m_attempts = 0;
    double m_failures = 0;
    TimePoint m_decayedAt;
    TimePoint m_suspectUntil;
    Duration m_suspicionTime = INITIAL_SUSPICION_TIME;
    double m_slowness = 1;
    /** Time of the last use of each prompt part, by its id. */
    std::unordered_map<std::string, TimePoint> m_parts;
    KeptParts m_keptParts;
    EndpointRoom m_room;
};

}
