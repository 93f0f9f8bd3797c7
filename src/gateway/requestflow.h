/** \file
 * Handles one request from admission through placement and the attempts at endpoints to the response.
 */
#pragma once

#include "admitrequest.h"
#include "callerresponse.h"
#include "crashwitness.h"
#include "endpointconnection.h"
#include "endpointlimit.h"
#include "eventsplitter.h"
#include "incarnationcheck.h"
#include "permitdecision.h"
#include "placement.h"
#include "resendpolicy.h"
#include "streamcontinuation.h"
#include "streamorigin.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Cyclamenturn
{

class Gateway;
class LogEvent;

class RequestFlow : private ExchangeListener
{
public:
    RequestFlow(Gateway &gateway, HttpServerConnectionPtr caller, ReceivedRequest request);
    ~RequestFlow() override;

    void start();
    /** Continues a request that waited for the first configuration. */
    void resume();
    /** Brings the deadline forward to when a stop of this process ends the requests in progress. */
    void limitToStop();
    /** Ends the request if a part of its prompt was quarantined, unless its answer has begun. */
    void withdrawIfQuarantined();

private:
    /** Whether the caller still waits. Otherwise the request has been ended, without a send that would be in vain. */
    bool isStillWanted() override;
    bool matchesRequest(const HttpResponseHead &head, bool isFirst) override;
    void headSkipped(const HttpResponseHead &head) override;
    void responseUnreadable(const char *reason) override;
    void headReceived(const HttpResponseHead &head) override;
    void bodyReceived(std::string piece) override;
    void exchangeDone(bool isReusable) override;
    void exchangeFailed(ExchangeFailure failure) override;

    void admit();
    void refuseQuarantinedPart(const PartVerdict &verdict);
    /** Refuses the request and returns true when this process is too far behind for it. */
    bool refuseIfBehind();
    /** Whether the caller takes up a stream of which it has had events. */
    bool isResumption() const;
    /** Finds out which version began the stream that the caller takes up, and goes on with it. */
    void resolveVersion();
    void versionResolved(std::optional<VersionKey> version, const char *source);
    /** Makes the stream that begins now go on at this version only, also at other gateways. */
    void noteStreamBegun();
    /** Whether an endpoint of the version that began the stream is usable. */
    bool hasVersion(const std::string &service) const;
    /** Whether the endpoint is of the version that began the stream; true if none has. */
    bool isOfVersion(const EndpointRecord &endpoint) const;
    /** Changes to a service of the route that has endpoints of the version, if there is one. */
    void selectServiceOfVersion();
    /** Reads the list once, as it shows no endpoint of the version. Returns false if that was done or would be in
     * vain. */
    bool awaitList();
    void listAwaited();
    void sendToEndpoint();
    /** The usable endpoints of the service that haven't been tried. */
    std::vector<PlacementCandidate> candidates();
    /** Sends the request to the endpoint that `placement` names, if a connection is free. */
    bool trySend(const Placement &placement);
    /** The limit of an endpoint, or null if it has none. */
    const EndpointLimit *limitOf(const EndpointRecord &endpoint) const;
    /** Asks for a permit to send the request to the endpoint, which has a limit. */
    void askPermit(const EndpointRecord &endpoint, Duration maxWait, bool isLastChoice);
    /** Asks for a permit that the request waits for, at the endpoint that is expected to have one first. Returns false
     * if no endpoint has a limit. */
    bool waitForPermit();
    /** Whether the stream's version counts, so that the endpoint has to state its incarnation. */
    bool needsIncarnation(const EndpointRecord &endpoint) const;
    /** Sends the stream to the endpoint if it is the incarnation that it is taken for, or else elsewhere. */
    void checkIncarnation(const Placement &placement, std::unique_ptr<EndpointConnection> connection);
    void incarnationChecked(
        Placement placement, IncarnationCheck::Result result, std::unique_ptr<EndpointConnection> connection);
    /** Notes and logs an incarnation that wasn't confirmed. */
    void otherIncarnationFound(const IncarnationCheck &check, IncarnationCheck::Result result);
    /** Ends a check in progress and closes its connection. */
    void cancelCheck();
    void permitDecided(const PermitDecision &decision);
    void sendWithPermit();
    /** Refuses the request and returns true when its first event is expected too late to be of use. */
    bool refuseIfOverloaded(const Placement &placement);
    /** The same where engine speeds were learned: refuses also a request that can't end in its time. */
    bool refuseIfNoRoom(const Placement &placement, const std::vector<PlacementCandidate> &candidates);
    /** Notes what the attempt that begins occupies and adds to the cache of its endpoint. */
    void noteCacheUse(TimePoint now);
    /** Notes an attempt over this connection, without sending the request. */
    void beginAttempt(const Placement &placement, std::unique_ptr<EndpointConnection> connection);
    void startAttempt(const Placement &placement, std::unique_ptr<EndpointConnection> connection);
    void startResponseTimer(Duration wait);
    void responseTimedOut();
    void deadlineReached();
    void callerDisconnected();

    /** Ends an attempt whose response exceeds a limit; `where` names the part. */
    void abandonResponse(const char *where);
    /** Discards the part of the response that was collected. */
    void clearResponseBody();
    /** Notes what a response states about its endpoint. */
    void noteUnreadableLoad();
    void noteStatements(const ResponseTraits &response);
    /** Returns the connection of the attempt to an endpoint that wants no requests any more, as nothing was sent. */
    void withdrawAttempt();
    /** When an endpoint of the service wants requests again, if all of them are paused or leave; otherwise nothing. */
    std::optional<TimePoint> endOfPauses() const;

    void forwardEvents(const std::string &piece);
    /** Returns whether the response is to be read on. */
    bool forwardEvent(const std::string &event);
    void handleFirstResponseByte();
    /** Whether the time that the response takes shows how fast the engine is. */
    bool isEngineObservable() const;
    void observeFirstEvent();
    void observeAnswer();
    /** Counts what the placement expected, and the actual time to the first byte. */
    void observePlacement(Duration firstEvent);
    /** Logs a response that was complete before the request was sent. */
    void noteEarlyResponse();
    void finishStream();
    void finishPlainResponse();

    /** Counts the caller's attempt for the usage reports, once, as it begins to run. */
    void countUsage();
    /** Whether the request counts as begun once an endpoint may have run it, rather than by a response. */
    bool countsWithoutResponse() const;

    /** Tells the witness that the attempt in progress, if any, is given up without a response. */
    void noteSilence();
    /** Returns the attempt's connection to the pool when it is reusable, and closes it otherwise. */
    void endAttempt(bool isReusable);
    /** Handles a failed attempt: sends the request to another endpoint, or ends it with `reason`. */
    void attemptFailed(AttemptOutcome outcome, EndpointResult result, GatewayRefusal reason);
    /** Whether the request may be sent again. Takes one retry from the retry budget, unless nothing was sent. False for
     * a request that was quarantined meanwhile. */
    bool mayResend(AttemptOutcome outcome);
    /** Ends the request without a resend: aborts a stream that has started, or else refuses the request. */
    void giveUp(AttemptOutcome outcome, GatewayRefusal reason);

    /** Refuses a request that isn't admitted. */
    void refuseAdmission(GatewayRefusal refusal);
    void refuse(GatewayRefusal refusal);
    void refuse(GatewayRefusal refusal, Duration retryAfter);
    void respond(HttpResponseHead head, const std::string &body, const char *outcome);
    void finish(int status, const char *outcome);
    /** Adds what led to a response with a 3xx or 4xx status, or to a refusal at admission. */
    void logRejectionInputs(LogEvent &event) const;
    void logOutcome(int status, const char *outcome, Duration took) const;
    Duration timeLeft() const;
    /** How long the caller waits for the response, from the beginning of its request. */
    Duration callerTimeout() const;
    /** How long the request may keep this process busy. For streams that can go on elsewhere this is a usual maximum,
     * not the route's timeout. */
    Duration maxDuration() const;
    /** How long the endpoint may send nothing before the request is sent to another one. */
    Duration responseTimeout() const;

    Gateway &m_gateway;
    CallerResponse m_callerResponse;
    /** Without its body, which is in m_body. */
    ReceivedRequest m_request;
    /** Shared with the connection to the endpoint, so that it isn't copied for an attempt. */
    std::shared_ptr<const std::string> m_body;
    CrashWitness m_witness;
    RequestTraits m_traits;
    RoutingConfigurationPtr m_configuration;
    AdmittedRequest m_admitted;
    std::string m_service;
    TimePoint m_deadline;
    EventLoop::Timer m_deadlineTimer;
    /** Whether the deadline is the end of a stop rather than the caller's or the route's. */
    bool m_endsWithStop = false;

    /** Connection of the attempt in progress; null between attempts. */
    std::unique_ptr<EndpointConnection> m_connection;
    EndpointRecord m_endpoint;
    /** Runs while a stream is to be sent to an endpoint that hasn't stated its incarnation over the connection. */
    std::unique_ptr<IncarnationCheck> m_check;
    /** EndpointRecord::incarnationName() of m_endpoint. */
    std::string m_incarnation;
    Placement m_placement;
    /** Tokens that the endpoint had to prefill for other requests when the attempt began: own and peers'. */
    std::int64_t m_pendingTokens = 0;
    std::int64_t m_peersPendingTokens = 0;
    /** Tokens of the prompt that this gateway had sent to the endpoint before, so that it presumably has them cached.
     */
    std::int64_t m_cachedTokens = 0;
    TimePoint m_sentAt;
    EventLoop::Timer m_responseTimer;
    HttpResponseHead m_responseHead;
    ResponseTraits m_responseTraits;
    std::string m_responseBody;
    bool m_isEventStream = false;
    bool m_firstByteSeen = false;

    /** Ids of the endpoints tried so far. */
    std::set<std::string> m_triedEndpoints;
    /** Ids of the endpoints whose incarnation wasn't the expected one. */
    std::set<std::string> m_checkedEndpoints;
    /** Number of attempts, without those that are known not to have reached the endpoint. */
    int m_sends = 0;
    /** Whether an endpoint may have run the request. */
    bool m_mayHaveRun = false;
    /** The version that began the stream; endpoints of others can't go on with it. */
    std::optional<VersionKey> m_version;
    /** Ends the wait for a read of the list that may show an endpoint of the version. */
    EventLoop::Timer m_listTimer;
    bool m_isListAwaited = false;
    bool m_wasListAwaited = false;
    EventSplitter m_splitter;
    std::string m_lastEventId;
    /** Of the attempt in progress. */
    StreamContinuation m_continuation;
    /** Id of the endpoint for which a permit was asked. */
    std::string m_permitEndpoint;
    int m_permitsAsked = 0;
    /** Whether the request waits for the last permit that is asked for; without it, it is refused. */
    bool m_isLastPermit = false;
    Duration m_permitWait{};
    EventLoop::Timer m_permitTimer;
    /** Name of the check at admission that the request failed, or null. */
    const char *m_failedCheck = nullptr;
    /** Why a stream was aborted after events had been delivered. */
    const char *m_abortReason = "none";
    /** The kind of workload as which the request was counted, so that its end must be counted too. */
    std::optional<WorkloadKind> m_countedDemand;
    bool m_isUsageCounted = false;
    bool m_finished = false;
};

}
