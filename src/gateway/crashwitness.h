/** \file
 * What the attempts of one request say about the endpoints at which they ran: whether the request, or a part of its
 * prompt, crashes them. Keeps the quarantines informed and answers from them.
 */
#pragma once

#include "partquarantine.h"

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class CrashQuarantine;
class EventLoop;
class LogEvent;
class Metrics;
class PartWatch;
struct PromptTraits;

/** The shared state that a witness informs. */
struct CrashEvidenceStores
{
    CrashQuarantine &requests;
    PartWatch &parts;
    Metrics &metrics;
};

class CrashWitness
{
public:
    CrashWitness(EventLoop &loop, const CrashEvidenceStores &stores);

    /** Must be called before any other function. `fingerprint` identifies equal requests. */
    void setRequest(const std::string &attemptId, const std::string &team, std::uint64_t fingerprint,
        const std::optional<PromptTraits> &prompt);
    /** The request is sent to an endpoint. */
    void attemptStarted(const std::string &endpointId, const std::string &incarnation);
    /** The endpoint sent a head that belongs to this request. */
    void responded();
    /** Bytes of the response arrived. */
    void byteReceived();
    /** The endpoint began to send the body of a success. */
    void answerBegan();
    /** The request was answered completely. */
    void completed();
    /** Nothing listens at the endpoint's address. */
    void connectionRefused();
    /** Records a possible crash, unless the endpoint had crashed before the request was sent. */
    void connectionLost();
    /** Records a possible crash if the attempt is given up and its endpoint has sent nothing for `enough`. */
    void abandoned(Duration enough);

    /** Whether equal requests were in progress when endpoints crashed. */
    bool isRequestQuarantined() const;
    /** Why the request is refused because of a part of its prompt, if it is. */
    const std::optional<PartVerdict> &judgeParts();
    /** Adds what is known about the request to its final log line. */
    void log(LogEvent &event) const;

private:
    /** Logs `event` about an attempt that may have crashed its endpoint. */
    void logEvidence(const char *event, const char *evidence) const;
    /** Logs and counts evidence that isn't held against the request, since its endpoint had crashed before. */
    void noteIgnoredEvidence(const char *evidence) const;

    EventLoop &m_loop;
    CrashEvidenceStores m_stores;
    std::string m_attemptId;
    std::string m_team;
    std::uint64_t m_fingerprint = 0;
    /** The parts of the prompt that others may share, and their ids for the log. */
    std::vector<PartKey> m_parts;
    std::string m_partIds;
    /** The latest result of judgeParts(). */
    std::optional<PartVerdict> m_verdict;

    /** Of the current attempt. */
    std::string m_endpointId;
    std::string m_incarnation;
    TimePoint m_sentAt;
    /** When the request was sent or the last byte of the response arrived. */
    TimePoint m_lastActivityAt;
    bool m_isAnswered = false;
};

}
