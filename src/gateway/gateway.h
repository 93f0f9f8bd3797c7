/** \file
 * One gateway process: takes callers' requests and carries them to endpoints. Holds what its requests share.
 */
#pragma once

#include "connectionpool.h"
#include "crashquarantine.h"
#include "endpointdirectory.h"
#include "endpointlist.h"
#include "endpointstatistics.h"
#include "estimatecorrection.h"
#include "gatewaysettings.h"
#include "messagecodec.h"
#include "peerlink.h"
#include "placement.h"
#include "registration.h"
#include "retrywindow.h"
#include "stopplan.h"
#include "storelink.h"

#include "logbudget.h"
#include "metrics.h"
#include "transport/httpserver.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace Cyclamenturn
{

class RequestFlow;

class Gateway : private StoreLinkListener, private PeerLinkListener
{
public:
    Gateway(EventLoop &loop, const GatewaySettings &settings, const MessageCodec &messages, const StoreCodec &store);
    ~Gateway() override;

    void start();
    /** Takes over settings that may change while the process runs. */
    void reload(const GatewaySettings &settings);
    /** Reports not ready, and makes each answer the last on its connection. */
    void beginStop();
    /** Whether everything is done after beginStop(), or the grace time is nearly over. */
    bool isStopped() const;
    /** Whether a request that may last for `longest` can be taken up. */
    bool accepts(Duration longest) const;

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
    EndpointStatistics &standing(const std::string &endpointId)
    {
        return m_standings[endpointId];
    }
    PlacementChooser &placement()
    {
        return m_placement;
    }
    ConnectionPool &pool()
    {
        return m_pool;
    }
    RetryWindow &retries()
    {
        return m_retries;
    }
    CrashQuarantine &quarantine()
    {
        return m_quarantine;
    }
    EstimateCorrection &estimates()
    {
        return m_estimates;
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
    /** Gateways that share the fleet's limits; a cautious figure until the others are known. */
    int gateways() const;
    /** This process's part of the connections that an endpoint accepts. */
    int connectionLimit(const std::string &service) const;
    /** Uniform in [0, 1). */
    double draw();

    /** Whether this process has just started and is still reading what it needs to serve. */
    bool awaitsFirstConfiguration() const;
    /** Resumes the flow once this process is ready, or when it has waited long enough. */
    void resumeWhenReady(RequestFlow *flow);
    /** Destroys a flow in the next turn of the loop. */
    void remove(RequestFlow *flow);

private:
    void configurationRead(RoutingConfigurationPtr configuration, std::uint64_t revision) override;
    void endpointsRead(const std::vector<EndpointRecord> &list, std::uint64_t revision) override;
    void endpointsReadFailed() override;
    Duration listReadWait() override;
    void digestHeard(const PeerDigest &digest) override;
    void listNewsHeard(const EndpointListUpdate &news) override;

    void handleCaller(const HttpServerConnectionPtr &connection, ReceivedRequest request);
    void handleReadiness(const HttpServerConnectionPtr &connection);
    void handleMetrics(const HttpServerConnectionPtr &connection);
    PeerDigest makeDigest();
    /** Takes in the list in hand, which was read just now, here or elsewhere. */
    void believeList();
    void logChange(const char *event, const EndpointRecord &record) const;
    void housekeep();
    void stepStop();
    bool isReady() const;
    void noteReady();
    void resumeEarly();

    EventLoop &m_loop;
    GatewaySettings m_settings;
    const MessageCodec &m_messages;
    RoutingConfigurationPtr m_configuration;
    EndpointList m_list;
    EndpointDirectory m_endpoints;
    /** By endpoint id; entries of endpoints that are gone are dropped. */
    std::unordered_map<std::string, EndpointStatistics> m_standings;
    PlacementChooser m_placement;
    ConnectionPool m_pool;
    RetryWindow m_retries;
    /** For long prompts only; other requests wait too little to tell. */
    EstimateCorrection m_estimates;
    CrashQuarantine m_quarantine;
    LogBudget m_logBudget;
    Metrics m_metrics;
    std::mt19937_64 m_random;
    std::unordered_map<RequestFlow *, std::shared_ptr<RequestFlow>> m_flows;
    TimePoint m_startedAt;
    /** Requests that came before the first configuration. */
    std::vector<std::weak_ptr<RequestFlow>> m_early;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_metricsPage;
    StoreLink m_store;
    PeerView m_peers;
    PeerLink m_peerLink;
    Registration m_registration;
    std::uint64_t m_incarnation;
    std::uint32_t m_digests = 0;
    /** The most gateways that were alive at once. */
    mutable int m_mostGateways = 1;
    /** Set from beginStop() on. */
    std::optional<StopPlan> m_stop;
};

}
