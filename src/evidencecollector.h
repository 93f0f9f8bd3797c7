/** \file
 * Gathers for a resend what the other agents and the store know of its key, and claims keys in the store.
 */
#pragma once

#include "agentevents.h"
#include "answerbuffer.h"
#include "boundedring.h"
#include "configurationservice.h"
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

/** An answer kept by another agent. */
struct PeerAnswer
{
    AnswerHead head;
    std::string body;
};

class EvidenceCollector : public Service
{
public:
    using Report = std::function<void(AgentEvent)>;

    EvidenceCollector(AgentIdentity identity, std::shared_ptr<StoreClient> store,
        std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey);
    ~EvidenceCollector() override;

    /** Where results go; set before start(). */
    void setReport(Report report);
    void start() override;
    void stop() override;

    /** Return false when the ring is full. */
    bool submit(const GatherEvidence &request);
    bool submit(const ClaimKey &request);

    /** The answer that a peer gave for the key of a call whose evidence was gathered; taken once. */
    std::optional<PeerAnswer> takeAnswer(const std::string &callId);

private:
    using Job = std::variant<GatherEvidence, ClaimKey>;

    void work();
    void perform(const GatherEvidence &request);
    void perform(const ClaimKey &request);
    ClaimResult claim(const IdempotencyKey &key);
    ClaimResult resolveClaim(const std::string &storeKey, const std::string &claimant);
    void askAgents(const GatherEvidence &request, const FleetConfiguration &configuration, ResendEvidence &evidence);
    std::optional<KeyReport> askAgent(const EndpointSpec &endpoint, const GatherEvidence &request);
    void readJournals(const IdempotencyKey &key, ResendEvidence &evidence);
    JournalEvidence readJournal(const JournalHead &head, const IdempotencyKey &key);
    std::string claimant() const;

    AgentIdentity m_identity;
    std::shared_ptr<StoreClient> m_store;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<FleetKey> m_fleetKey;
    Report m_report;
    BoundedRing<Job> m_jobs;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, PeerAnswer> m_answers;
};

}
