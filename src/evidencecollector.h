/** \file
 * Collects the evidence that decides whether a resent call may run: what the other agents and the store know about its
 * idempotency key. Also claims idempotency keys in the store.
 */
#pragma once

#include "agentevents.h"
#include "boundedring.h"
#include "configurationservice.h"
#include "responsebuffer.h"
#include "service.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace Cyclamenturn
{

/** A response that another agent has stored. */
struct PeerResponse
{
    ResponseHead head;
    std::string body;
};

/**
 * Performs the GatherEvidence and ClaimKey actions of AgentCore in worker threads, since they wait for the network.
 *
 * The evidence for a key consists of its state at each agent of the service (a KeyReport) and of the journals in the
 * store, in which the agents record the keys that they run. A claim is a value in the store that only one agent can
 * create for a key.
 */
class EvidenceCollector : public Service
{
public:
    using ResultCallback = std::function<void(AgentEvent)>;

    EvidenceCollector(AgentIdentity identity, std::shared_ptr<StoreClient> store,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey);
    ~EvidenceCollector() override;

    /** Sets the receiver of EvidenceGathered and KeyClaimed events. Call it before start(). */
    void setResultCallback(ResultCallback callback);
    void start() override;
    void stop() override;

    /** Return false if the ring is full. */
    bool submit(const GatherEvidence &request);
    bool submit(const ClaimKey &request);

    /** Removes and returns the stored response that another agent sent for the key of a call, if any. */
    std::optional<PeerResponse> takePeerResponse(const std::string &callId);

private:
    using Job = std::variant<GatherEvidence, ClaimKey>;

    void processJobs();
    void perform(const GatherEvidence &request);
    void perform(const ClaimKey &request);
    /** Claims a key in the store. Throws StoreUnavailableError. */
    ClaimResult claim(const IdempotencyKey &key);
    /** Reads the existing claim of a key and compares its owner with `owner`. */
    ClaimResult checkClaimOwner(const std::string &storeKey, const std::string &owner);
    /** Queries all agents of the service in parallel. */
    void queryAgents(const GatherEvidence &request, const FleetConfiguration &configuration, ResendEvidence &evidence);
    /** Returns nothing if the agent does not respond, or if the process at its address serves another endpoint. */
    std::optional<KeyReport> queryAgent(const EndpointSpec &endpoint, const GatherEvidence &request);
    /** Reads the journals of the service's agents. Throws std::runtime_error if one cannot be read. */
    void readJournals(const IdempotencyKey &key, ResendEvidence &evidence);
    /** Reads the segments of a journal that cover the key's issue time. */
    JournalEvidence readJournal(const JournalHead &head, const IdempotencyKey &key);
    /** The value of this agent's claims: its endpoint and incarnation. */
    std::string claimOwner() const;

    AgentIdentity m_identity;
    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<FleetKey> m_fleetKey;
    ResultCallback m_resultCallback;
    BoundedRing<Job> m_jobs;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, PeerResponse> m_peerResponses;
};

}
