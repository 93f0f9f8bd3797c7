/** \file
 * Operations behind cyclamenturnctl.
 */
#include "fleetadmin.h"

#include "clock.h"
#include "errors.h"
#include "rpcclient.h"

#include <future>

namespace Cyclamenturn
{

namespace
{

constexpr Duration STORE_TIMEOUT = milliseconds(2000);
constexpr std::int64_t STATUS_TIMEOUT_MS = 500;

}

std::uint64_t ProcessStatus::revision() const
{
    return answered() ? status.get("revision", Json::Value(0U)).asUInt64() : 0;
}

FleetAdmin::FleetAdmin(Address store, std::shared_ptr<FleetKey> fleetKey, std::vector<Address> entries)
    : m_store(std::move(store), STORE_TIMEOUT)
    , m_fleetKey(std::move(fleetKey))
    , m_entries(std::move(entries))
{
}

std::optional<StoredDocument> FleetAdmin::readStoredDocument()
{
    const auto stored = m_store.read(ConfigurationDocument::STORE_KEY);
    if (!stored) {
        return std::nullopt;
    }
    return StoredDocument{ConfigurationDocument::decode(stored->value), stored->version};
}

std::vector<std::pair<std::string, Address>> FleetAdmin::processes(const FleetConfiguration *configuration) const
{
    std::vector<std::pair<std::string, Address>> out;
    for (const Address &entry : m_entries) {
        out.emplace_back(toString(entry), entry);
    }
    if (configuration) {
        for (const auto &[name, endpoint] : configuration->endpoints()) {
            out.emplace_back(name, Address{endpoint.host, endpoint.port});
        }
    }
    return out;
}

ProcessStatus FleetAdmin::readStatus(const std::string &name, const Address &address)
{
    ProcessStatus out{name, address, Json::Value()};
    try {
        const RpcTarget target{address.host, address.port, m_fleetKey->current(), STATUS_TIMEOUT_MS};
        out.status = callRpc(target, "process_status", Json::Value(Json::objectValue));
    } catch (const RpcError &) {
        out.status = Json::Value();
    }
    return out;
}

std::vector<ProcessStatus> FleetAdmin::readStatuses(const FleetConfiguration *configuration)
{
    std::vector<std::future<ProcessStatus>> pendingStatuses;
    for (const auto &[name, address] : processes(configuration)) {
        pendingStatuses.push_back(std::async(
            std::launch::async, [this, name = name, address = address] { return readStatus(name, address); }));
    }
    std::vector<ProcessStatus> out;
    out.reserve(pendingStatuses.size());
    for (auto &pending : pendingStatuses) {
        out.push_back(pending.get());
    }
    return out;
}

std::vector<std::string> FleetAdmin::checkOnProcesses(const std::string &toml, const FleetConfiguration *configuration)
{
    std::vector<std::string> out;
    Json::Value parameters;
    parameters["toml"] = toml;
    for (const auto &[name, address] : processes(configuration)) {
        try {
            const RpcTarget target{address.host, address.port, m_fleetKey->current(), STATUS_TIMEOUT_MS};
            const std::string error = callRpc(target, "configuration_check", parameters).get("error", "").asString();
            if (!error.empty()) {
                out.push_back(std::string(name).append(": ").append(error));
            }
        } catch (const RpcError &) {
            // A process that doesn't respond reads the document once it is reachable again. Until then,
            // `cyclamenturnctl status` shows that it doesn't respond.
            continue;
        }
    }
    return out;
}

std::optional<EditResolution> FleetAdmin::tryWriteEdit(
    const std::string &toml, const std::string &editId, const std::string &author, std::uint64_t baseRevision)
{
    const auto stored = readStoredDocument();
    const ConfigurationDocument currentDocument = stored ? stored->document : ConfigurationDocument();
    const EditResolution resolution = resolveEdit(currentDocument, editId, baseRevision);
    if (resolution.state != EditState::NotYet) {
        return resolution;
    }
    const std::uint64_t version = stored ? stored->version : 0;
    const ConfigurationDocument next = currentDocument.next(toml, editId, author, currentTime());
    const SwapResult result = m_store.compareAndSwap(ConfigurationDocument::STORE_KEY, version, next.encode());
    if (result.state == SwapState::Written) {
        return EditResolution{EditState::Accepted, next.revision, EditRecord()};
    }
    return std::nullopt;
}

bool FleetAdmin::storeHasNewerRevision(std::uint64_t revision)
{
    try {
        const auto stored = readStoredDocument();
        return stored && stored->document.revision > revision;
    } catch (const StoreUnavailableError &) {
        return false;
    }
}

AcceptResult FleetAdmin::accept(const std::string &toml, const std::string &editId, const std::string &author,
    std::uint64_t baseRevision, const FleetConfiguration &configuration, const std::function<bool()> &shouldContinue)
{
    AcceptResult out;
    if (!storeHasNewerRevision(baseRevision)) {
        for (const ProcessStatus &process : readStatuses(&configuration)) {
            if (process.revision() > baseRevision) {
                out.processesAhead.push_back(process.name);
            }
        }
    }
    // Another edit may have been accepted in the meantime. The processes then have a newer revision than
    // `baseRevision`, but not a newer one than the store, so the edit is resolved against the store below.
    if (!out.processesAhead.empty() && !storeHasNewerRevision(baseRevision)) {
        return out;
    }
    out.processesAhead.clear();
    do {
        try {
            if (const auto resolution = tryWriteEdit(toml, editId, author, baseRevision)) {
                out.resolution = resolution;
                return out;
            }
        } catch (const StoreUnavailableError &) {
            // The outcome is unknown, since the write may have taken effect. The next attempt reads the stored
            // document again, which shows whether it contains the edit.
            continue;
        }
    } while (shouldContinue());
    return out;
}

}
