/** \file
 * Collection of evidence and claims of idempotency keys for resent calls.
 */
#include "evidencecollector.h"

#include "clock.h"
#include "errors.h"
#include "eventlog.h"
#include "fleetkey.h"
#include "jsoncodec.h"
#include "rendezvoushash.h"
#include "rpcclient.h"
#include "storeclient.h"
#include "wire.h"

#include <future>

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t RING_SIZE = 256;
constexpr int WORKER_THREADS = 4;
constexpr Duration POLL_INTERVAL = milliseconds(100);
constexpr std::int64_t QUERY_TIMEOUT_MS = 300;
/** Responses of other agents beyond this number are not stored. */
constexpr std::size_t MAX_PEER_RESPONSES = 1024;
/** A claim's lease lasts for the key retention time plus this margin. */
constexpr Duration CLAIM_LEASE_MARGIN = milliseconds(60000);

std::string claimStoreKey(const std::string &service, const std::string &key)
{
    return "claims/" + service + "/" + std::to_string(contentHash(key)) + "-" + std::to_string(contentHash(key, 1));
}

}

EvidenceCollector::EvidenceCollector(AgentIdentity identity, std::shared_ptr<StoreClient> store,
    std::shared_ptr<ConfigurationService> configuration, std::shared_ptr<FleetKey> fleetKey)
    : m_identity(std::move(identity))
    , m_store(std::move(store))
    , m_configuration(std::move(configuration))
    , m_fleetKey(std::move(fleetKey))
    , m_jobs(RING_SIZE)
{
}

EvidenceCollector::~EvidenceCollector() = default;

void EvidenceCollector::setResultCallback(ResultCallback callback)
{
    m_resultCallback = std::move(callback);
}

void EvidenceCollector::start()
{
    for (int i = 0; i < WORKER_THREADS; ++i) {
        m_threads.emplace_back([this] { processJobs(); });
    }
}

void EvidenceCollector::stop()
{
    m_jobs.close();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

bool EvidenceCollector::submit(const GatherEvidence &request)
{
    return m_jobs.tryPush(request);
}

bool EvidenceCollector::submit(const ClaimKey &request)
{
    return m_jobs.tryPush(request);
}

std::optional<PeerResponse> EvidenceCollector::takePeerResponse(const std::string &callId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_peerResponses.find(callId);
    if (it == m_peerResponses.end()) {
        return std::nullopt;
    }
    PeerResponse response = std::move(it->second);
    m_peerResponses.erase(it);
    return response;
}

void EvidenceCollector::processJobs()
{
    while (!m_jobs.isClosed()) {
        if (const auto job = m_jobs.pop(POLL_INTERVAL)) {
            std::visit([this](const auto &request) { perform(request); }, *job);
        }
    }
}

void EvidenceCollector::perform(const GatherEvidence &request)
{
    ResendEvidence evidence;
    evidence.gatheringStartedAt = currentTime();
    // The configuration revision is confirmed with the store first, so that the queried list of agents is current.
    evidence.storeConfirmed = m_configuration->confirmWithStore();
    const auto configuration = m_configuration->current();
    for (const auto &endpoint : configuration->endpointsOf(m_identity.service)) {
        evidence.listedEndpoints.push_back(endpoint.name);
    }
    queryAgents(request, *configuration, evidence);
    if (evidence.storeConfirmed) {
        try {
            readJournals(request.key, evidence);
        } catch (const std::runtime_error &) {
            evidence.storeConfirmed = false;
        }
    }
    m_resultCallback(EvidenceGathered{request.callId, evidence});
}

void EvidenceCollector::queryAgents(
    const GatherEvidence &request, const FleetConfiguration &configuration, ResendEvidence &evidence)
{
    std::vector<std::future<std::optional<KeyReport>>> pendingReports;
    for (const auto &endpoint : configuration.endpointsOf(m_identity.service)) {
        pendingReports.push_back(std::async(std::launch::async, [&] { return queryAgent(endpoint, request); }));
    }
    for (auto &pending : pendingReports) {
        auto keyReport = pending.get();
        if (!keyReport) {
            continue;
        }
        // This agent's own address is queried too, since a successor may have replaced this process without this
        // process noticing. If this process itself responds, its record of the key belongs to the call being decided
        // and is ignored.
        if (keyReport->endpoint == m_identity.endpoint && keyReport->incarnation == m_identity.incarnation) {
            keyReport->state.reset();
        }
        evidence.keyReports.push_back(*keyReport);
    }
}

std::optional<KeyReport> EvidenceCollector::queryAgent(const EndpointSpec &endpoint, const GatherEvidence &request)
{
    Json::Value parameters;
    parameters["key"] = request.key.value;
    parameters["issued_us"] = Json::Int64(request.key.issuedAt.time_since_epoch().count());
    try {
        const RpcTarget target{endpoint.host, endpoint.port, m_fleetKey->current(), QUERY_TIMEOUT_MS};
        const JsonObject in(callRpc(target, "key_query", parameters));
        KeyReport keyReport;
        keyReport.endpoint = in.text("endpoint");
        keyReport.incarnation = static_cast<std::uint64_t>(in.integer("incarnation"));
        // An incarnation is the start time of its process in microseconds.
        keyReport.completeSince = TimePoint(Duration(static_cast<std::int64_t>(keyReport.incarnation)));
        if (in.has("state")) {
            keyReport.state = keyStateFromString(in.text("state"));
        }
        if (in.has("body")) {
            const PeerResponse response{
                {static_cast<int>(in.integer("status")), in.text("type")}, fromBase64(in.text("body"))};
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_peerResponses.size() < MAX_PEER_RESPONSES) {
                m_peerResponses[request.callId] = response;
            }
        }
        if (keyReport.endpoint != endpoint.name) {
            return std::nullopt;
        }
        return keyReport;
    } catch (const std::runtime_error &) {
        return std::nullopt;
    }
}

void EvidenceCollector::readJournals(const IdempotencyKey &key, ResendEvidence &evidence)
{
    for (const StoredValue &item : m_store->readPrefix(headPrefix(m_identity.service))) {
        evidence.journals.push_back(readJournal(JournalHead::decode(item.value), key));
    }
}

JournalEvidence EvidenceCollector::readJournal(const JournalHead &head, const IdempotencyKey &key)
{
    JournalEvidence out;
    out.head = head;
    for (const JournalSegmentRef &segment : head.segments) {
        if (key.issuedAt < segment.firstIssuedAt || key.issuedAt > segment.lastIssuedAt) {
            continue;
        }
        const auto stored = m_store->read(segmentKey(head, segment.number));
        if (!stored) {
            out.complete = false;
            continue;
        }
        const auto keys = decodeSegment(stored->value);
        out.segmentKeys.insert(out.segmentKeys.end(), keys.begin(), keys.end());
    }
    return out;
}

std::string EvidenceCollector::claimOwner() const
{
    return m_identity.endpoint + "/" + std::to_string(m_identity.incarnation);
}

void EvidenceCollector::perform(const ClaimKey &request)
{
    ClaimResult result = ClaimResult::Unclear;
    try {
        result = claim(request.key);
    } catch (const StoreUnavailableError &) {
        result = ClaimResult::Unclear;
    }
    m_resultCallback(KeyClaimed{request.callId, result});
}

ClaimResult EvidenceCollector::claim(const IdempotencyKey &key)
{
    const std::string storeKey = claimStoreKey(m_identity.service, key.value);
    const Duration lifetime = m_configuration->current()->limits().keyRetention + CLAIM_LEASE_MARGIN;
    const SwapResult result = m_store->compareAndSwapWithLease(storeKey, 0, claimOwner(), lifetime);
    return result.state == SwapState::Written ? ClaimResult::Claimed : checkClaimOwner(storeKey, claimOwner());
}

ClaimResult EvidenceCollector::checkClaimOwner(const std::string &storeKey, const std::string &owner)
{
    const auto stored = m_store->read(storeKey);
    if (!stored) {
        return ClaimResult::Unclear;
    }
    return stored->value == owner ? ClaimResult::Claimed : ClaimResult::ClaimedByOther;
}

}
