/** \file
 * One gateway process, which accepts callers' requests and forwards them to endpoints. Holds the state that its
 * requests share.
 */
#pragma once

#include "configurationfreshness.h"
#include "connectionpool.h"
#include "crashquarantine.h"
#include "endpointdirectory.h"
#include "endpointlist.h"
#include "endpointstatements.h"
#include "endpointstatistics.h"
#include "enginemodels.h"
#include "estimatecorrection.h"
#include "gatewaysettings.h"
#include "incarnations.h"
#include "intakepolicy.h"
#include "listedversions.h"
#include "messagecodec.h"
#include "partwatch.h"
#include "peerlink.h"
#include "permitbroker.h"
#include "placement.h"
#include "promptadmission.h"
#include "registration.h"
#include "retrywindow.h"
#include "stopplan.h"
#include "storelink.h"
#include "streambroker.h"
#include "usageduty.h"
#include "usageexchange.h"
#include "versionhistory.h"

#include "logbudget.h"
#include "metrics.h"
#include "transport/httpserver.h"
#include "transport/responsememory.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

class RequestFlow;

class Gateway : private StoreLinkListener, private PeerLinkListener, private ListedVersions
{
public:
    Gateway(EventLoop &loop, const GatewaySettings &settings, const MessageCodec &messages, const StoreCodec &store);
    ~Gateway() override;

    void start();
    /** Applies the settings that may change while the process runs: the store, the grace time, the assumed gateways and
     * the confirmation timeout. */
    void reload(const GatewaySettings &settings);
    /** Starts a graceful stop: readiness checks fail, and each caller connection closes after its current response. */
    void beginStop();
    /** Tells the other gateways what this one has counted, before the process ends. */
    void finishStop();
    /** Whether, after beginStop(), no request is in progress and no response unsent any more, or the grace time is
     * nearly over. */
    bool isStopped() const;
    /** Whether a request that may last up to `maxDuration`, and may be sent again if `isRepeatable`, is accepted. False
     * when a stop in progress leaves too little time. */
    bool accepts(Duration maxDuration, bool isRepeatable) const;
    /** When a stop in progress ends the requests that aren't answered by then. */
    std::optional<TimePoint> endOfAnswers() const;

    EventLoop &loop()
    {
        return m_loop;
    }
    const MessageCodec &messages() const
    {
        return m_messages;
    }
    RoutingConfigurationPtr configuration() const
    {
        return m_configuration;
    }
    const EndpointDirectory &endpoints() const
    {
        return m_endpoints;
    }
    Incarnations &incarnations()
    {
        return m_incarnations;
    }
    const StoreLink &store() const
    {
        return m_store;
    }
    ConfigurationDoubt configurationDoubt() const;
    /** Whether this process, since its start, has only had configurations older than those of its peers. It read them
     * from a restored store, and must not run what has been forbidden since. */
    bool isCatchingUp() const;
    /** Confirms the configuration with the store soon, because a request was refused while it is in doubt. */
    void recheckConfiguration();
    EndpointStatistics &statistics(const std::string &endpointId)
    {
        return m_statistics[endpointId];
    }
    PlacementChooser &placement()
    {
        return m_placement;
    }
    /** Which requests of a service were rejected recently, by priority level. */
    RejectedShares &rejectedShares(const std::string &service)
    {
        return m_rejectedShares[service];
    }
    /** What the engines of a service need for their work. */
    const EngineCostModel &engineModel(const std::string &service);
    EngineModels &engineModels()
    {
        return m_engineModels;
    }
    ConnectionPool &pool()
    {
        return m_pool;
    }
    ResponseMemory &responseMemory()
    {
        return m_responseMemory;
    }
    RetryWindow &retries()
    {
        return m_retries;
    }
    CrashQuarantine &quarantine()
    {
        return m_quarantine;
    }
    PartWatch &parts()
    {
        return m_parts;
    }
    PermitBroker &permits()
    {
        return m_permits;
    }
    EndpointStatements &statements()
    {
        return m_statements;
    }
    StreamBroker &streams()
    {
        return m_streams;
    }
    IntakeDelay &intakeDelay()
    {
        return m_intakeDelay;
    }
    EstimateCorrection &estimateCorrection()
    {
        return m_estimateCorrection;
    }
    LogBudget &logBudget()
    {
        return m_logBudget;
    }
    Metrics &metrics()
    {
        return m_metrics;
    }
    const OverloadSettings &overload() const
    {
        return m_settings.overload;
    }
    const PeerView &peers() const
    {
        return m_peers;
    }
    /**
     * Number of gateways that share the fleet's limits: the largest number seen live at the same time, and while no
     * peer is live at least `assumed_gateways`, so that this process doesn't use more than its part.
     */
    int gatewayCount() const;
    /** The most connections that this process may open to one endpoint of the service: its part of those that the
     * endpoint accepts. */
    int connectionLimit(const std::string &service) const;
    /** The collection of counts for the usage reports; null without duties in the settings. */
    UsageCollection *usageCollection()
    {
        return m_usage ? &*m_usage : nullptr;
    }
    /** Counts an attempt of a caller of the team that began to run, for the usage reports. */
    void countUsage(const std::string &team);
    /** Returns a uniformly distributed random number in [0, 1). */
    double randomFraction();

    /** Reads the list of endpoints soon, as an endpoint was found to differ from it. Calls `handler` once with whether
     * the read has succeeded. */
    void refreshList(std::function<void(bool isRead)> handler);
    /** Makes it known that a request is sent to an endpoint whose version isn't known: its service may have more
     * versions than the list shows. */
    void noteUnlistedUse(const EndpointRecord &endpoint);
    /** Whether this process has just started and is still reading the configuration and the list of endpoints. */
    bool awaitsFirstConfiguration() const;
    /** Resumes the flow once this process is ready, or 500 ms after its start at the latest. */
    void resumeWhenReady(RequestFlow *flow);
    /** Returns a reference that tells whether the flow still exists. */
    std::weak_ptr<RequestFlow> reference(RequestFlow *flow) const
    {
        return m_flows.at(flow);
    }
    /** Destroys a flow in the next iteration of the event loop, since the flow calls this itself. */
    void remove(RequestFlow *flow);

private:
    void configurationRead(RoutingConfigurationPtr configuration, const ConfigurationOrigin &origin) override;
    void endpointsRead(const std::vector<EndpointRecord> &list, const StoreRevision &revision) override;
    void endpointsReadFailed() override;
    void storeRestored() override;
    Duration delayUntilListRead() override;
    Duration configurationWatchDuration() override;
    Duration storeRetryDelay() override;
    void digestReceived(const PeerDigest &digest) override;
    void endpointListUpdateReceived(const EndpointListUpdate &update) override;
    void permitQuestionReceived(const PermitQuestion &question, const Address &from) override;
    void permitAnswerReceived(const PermitAnswer &answer) override;
    void endpointLimitReceived(const EndpointLimit &limit) override;
    void partEvidenceReceived(const PartEvidence &evidence) override;
    void streamNoteReceived(const StreamOrigin &origin) override;
    void streamQuestionReceived(const StreamQuestion &question, const Address &from) override;
    void streamAnswerReceived(const StreamAnswer &answer) override;
    void streamOriginsAsked(const StreamOriginsQuestion &question, const Address &from) override;
    void stopNoticeReceived(const StopNotice &notice) override;
    void streamOriginsReceived(const std::vector<AgedOrigin> &origins) override;
    void unlistedIncarnationReceived(const UnlistedIncarnation &notice) override;
    void usageQueryReceived(const UsageQuery &query, const Address &from) override;
    void usageCountsReceived(const UsageStatement &statement) override;

    /** Sets the limits that don't depend on the configuration. */
    void limitServers();
    void handleCaller(const HttpServerConnectionPtr &connection, ReceivedRequest request);
    HttpResponseHead handleRejection(const RejectedRequest &request);
    /** Counts and logs that a limit of this process has closed a caller's connection. */
    void connectionClosedAtLimit(const char *limit);
    void handleReadiness(const HttpServerConnectionPtr &connection);
    void handleMetrics(const HttpServerConnectionPtr &connection);
    PeerDigest makeDigest();
    std::optional<VersionKey> soleVersion(ServiceKey service, Duration span) const override;
    void readList(std::function<void(bool isRead)> handler) override;
    /** Applies the current list, just read from the store or received from a peer, to the endpoint directory. */
    void applyEndpointList();
    /** Calls `function` for each request in progress; it may end the request. */
    void forEachFlow(const std::function<void(RequestFlow &flow)> &function);
    /** Ends the requests whose prompts have a part that was just quarantined. */
    void withdrawQuarantinedPrompts();
    void unexpectedDataReceived(const std::string &endpointId);
    void logChange(const char *event, const EndpointRecord &record) const;
    /** Starts to count requests, and to compete for the usage duty, if the settings have duties. */
    void startUsage();
    /** Constructs m_usage and m_usageDuty if the settings have duties. */
    void makeUsageDuty(const StoreCodec &store);
    /** Hands on which era of the store is known, and writes the metrics of the usage duty. */
    void attendUsageDuty();
    /** Counts what kept the event loop busy, and logs when its events waited noticeably long. */
    void reportLoopLoad();
    /** Measures how recent the heartbeats of the other gateways are, by a few of them. */
    void reportPeers();
    /** Logs noticeable changes of the engine models. */
    void reportEngines();
    /** Reports the memory of requests, and returns it to the operating system when they have gone. */
    void reportRequestMemory();
    void housekeep();
    void continueStop();
    void noteCaughtUp();
    bool isReady() const;
    void becomeReady();
    void resumeWaitingFlows();

    EventLoop &m_loop;
    GatewaySettings m_settings;
    const MessageCodec &m_messages;
    RoutingConfigurationPtr m_configuration;
    EndpointList m_list;
    EndpointDirectory m_endpoints;
    Incarnations m_incarnations;
    /** EndpointList::generation() of the list in m_endpoints. */
    std::uint64_t m_appliedList = 0;
    /** By endpoint id. Entries of endpoints that are gone or have restarted are removed. */
    std::unordered_map<std::string, EndpointStatistics> m_statistics;
    PlacementChooser m_placement;
    std::unordered_map<std::string, RejectedShares> m_rejectedShares;
    ConnectionPool m_pool;
    ResponseMemory m_responseMemory;
    std::shared_ptr<RequestMemory> m_requestMemory;
    RetryWindow m_retries;
    IntakeDelay m_intakeDelay;
    /** Observes long prompts only; other requests wait too briefly to show how far the estimates are off. */
    EstimateCorrection m_estimateCorrection;
    CrashQuarantine m_quarantine;
    LogBudget m_logBudget;
    Metrics m_metrics;
    std::mt19937_64 m_random;
    std::unordered_map<RequestFlow *, std::shared_ptr<RequestFlow>> m_flows;
    /** Flows that have ended in this iteration and may be on the call stack. They refer to this gateway, so that
     * nothing that lives longer may own them. */
    std::vector<std::shared_ptr<RequestFlow>> m_endedFlows;
    TimePoint m_startedAt;
    /** Whether the configuration has been as new as that of each peer; stays true. */
    bool m_hasCaughtUp = false;
    /** Requests received before this process was ready. */
    std::vector<std::weak_ptr<RequestFlow>> m_waitingFlows;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    StoreLink m_store;
    PeerView m_peers;
    EngineModels m_engineModels;
    PeerLink m_peerLink;
    PartWatch m_parts;
    PermitBroker m_permits;
    EndpointStatements m_statements;
    StreamBroker m_streams;
    VersionHistory m_versions;
    Registration m_registration;
    /** By the VM's time of day. */
    TimePoint m_startTimeOfDay;
    /** Both are empty without duties in the settings. */
    std::optional<UsageExchange> m_usage;
    std::unique_ptr<UsageDuty> m_usageDuty;
    std::uint32_t m_digestSequence = 0;
    /** Whether a peer was live at the last report. */
    bool m_hadPeers = false;
    /** The largest number of gateways seen live at the same time. */
    mutable int m_maxGateways = 1;
    /** Set by beginStop(). */
    std::optional<StopPlan> m_stop;
};

}
