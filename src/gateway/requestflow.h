/** \file
 * The way of one request: admission, placement, attempts at endpoints, and its answer.
 */
#pragma once

#include "admitrequest.h"
#include "calleranswer.h"
#include "eventsplitter.h"
#include "placement.h"
#include "resendpolicy.h"

#include "transport/httpclientconnection.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Cyclamenturn
{

class Gateway;

class RequestFlow : private ExchangeListener
{
public:
    RequestFlow(Gateway &gateway, HttpServerConnectionPtr caller, ReceivedRequest request);
    ~RequestFlow() override;

    void start();
    /** Goes on with a request that waited for the first configuration. */
    void resume();

private:
    bool isOwnAnswer(const HttpResponseHead &head) override;
    void headReceived(const HttpResponseHead &head) override;
    void bodyReceived(std::string piece) override;
    void exchangeDone(bool isReusable) override;
    void exchangeFailed(ExchangeFailure failure) override;

    void admit();
    void sendToEndpoint();
    /** Turns the request away and returns true when its first event would come too late. */
    bool refusedForOverload(const Placement &placement);
    void startAttempt(const Placement &placement, std::unique_ptr<HttpClientConnection> connection);
    void armSilenceTimer(Duration wait);
    void silenceDetected();
    void deadlineReached();
    void callerLeft();

    void passOnEvents(const std::string &piece);
    void passOnEvent(const std::string &event);
    void noteFirstAnswerByte();
    void finishGoodStream();
    void finishPlainAnswer();

    /** Closes the attempt's connection or keeps it for others. */
    void endAttempt(bool isReusable);
    /** The attempt came to nothing: sends again or ends the request. */
    void attemptFailed(AttemptOutcome end, EndpointResult result, GatewayRefusal reason);
    bool mayResend(AttemptOutcome end);
    void giveUp(AttemptOutcome end, GatewayRefusal reason);

    void refuse(GatewayRefusal refusal);
    void refuse(GatewayRefusal refusal, Duration retryAfter);
    void answer(HttpResponseHead head, const std::string &body, const char *outcome);
    void finish(int status, const char *outcome);
    void logOutcome(int status, const char *outcome, Duration took) const;
    Duration timeLeft() const;
    /** How long the request may keep this process busy. */
    Duration longestDuration() const;
    Duration silenceLimit() const;

    Gateway &m_gateway;
    CallerAnswer m_answer;
    ReceivedRequest m_request;
    RequestTraits m_traits;
    RoutingConfigurationPtr m_configuration;
    AdmittedRequest m_admitted;
    std::string m_service;
    std::uint64_t m_fingerprint = 0;
    TimePoint m_deadline;
    EventLoop::Timer m_deadlineTimer;

    /** The attempt in progress; no connection between attempts. */
    std::unique_ptr<HttpClientConnection> m_connection;
    EndpointRecord m_endpoint;
    Placement m_placement;
    TimePoint m_sentAt;
    EventLoop::Timer m_silenceTimer;
    HttpResponseHead m_answerHead;
    ResponseTraits m_answerTraits;
    std::string m_answerBody;
    bool m_isEventStream = false;
    bool m_firstByteSeen = false;

    /** Endpoints that were tried, by id. */
    std::set<std::string> m_tried;
    /** Endpoints that may have taken up the request. */
    int m_sends = 0;
    /** Whether an endpoint may have run the request. */
    bool m_mayHaveRun = false;
    EventSplitter m_splitter;
    std::string m_lastEventId;
    /** Why a stream was cut after events had been delivered. */
    const char *m_cutReason = "none";
    /** Whether the request counts in the demand of its workload. */
    bool m_demandNoted = false;
    bool m_finished = false;
};

}
