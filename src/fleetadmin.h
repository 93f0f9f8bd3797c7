/** \file
 * What the operators' tool does with a fleet: reading, accepting and watching over its one configuration.
 */
#pragma once

#include "address.h"
#include "configurationkeeper.h"
#include "editresolution.h"
#include "fleetkey.h"
#include "storeclient.h"

#include <functional>
#include <json/json.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** The document in the store with its store version. */
struct StoredDocument
{
    ConfigurationDocument document;
    std::uint64_t version = 0;
};

/** What one process answered when asked for its status. */
struct ProcessStatus
{
    std::string name;
    Address address;
    /** Empty when the process didn't answer. */
    Json::Value status;

    bool answered() const
    {
        return !status.isNull();
    }
    std::uint64_t revision() const;
};

/** What became of an accept as far as the tool could learn. */
struct AcceptResult
{
    /** Empty while the store doesn't tell. */
    std::optional<EditResolution> resolution;
    /** Processes that already have a newer revision than the store; the edit was refused without a write. */
    std::vector<std::string> processesAhead;
};

class FleetAdmin
{
public:
    FleetAdmin(Address store, std::shared_ptr<FleetKey> fleetKey, std::vector<Address> entries);

    /** Nothing when no document was ever accepted. Throws StoreUnavailableError. */
    std::optional<StoredDocument> readStoredDocument();

    /** Asks every entry, and every agent that the configuration lists. */
    std::vector<ProcessStatus> readStatuses(const FleetConfiguration *configuration);

    /** The reasons of the processes that can't apply `toml`; each names its process. */
    std::vector<std::string> checkOnProcesses(const std::string &toml, const FleetConfiguration *configuration);

    /**
     * Writes the edit by compare-and-swap from `baseRevision`, and asks again until its outcome is certain.
     * Refuses at once when a process has a newer revision in force than the store has: the store was set back, and
     * the processes are about to repair it.
     * \param configuration lists the processes to ask
     * \param shouldContinue called between tries; false ends with an empty resolution
     */
    AcceptResult accept(const std::string &toml, const std::string &editId, const std::string &author,
        std::uint64_t baseRevision, const FleetConfiguration &configuration,
        const std::function<bool()> &shouldContinue);

private:
    std::optional<EditResolution> tryWriteEdit(
        const std::string &toml, const std::string &editId, const std::string &author, std::uint64_t baseRevision);
    bool storeHasNewerRevision(std::uint64_t revision);
    ProcessStatus readStatus(const std::string &name, const Address &address);
    std::vector<std::pair<std::string, Address>> processes(const FleetConfiguration *configuration) const;

    StoreClient m_store;
    std::shared_ptr<FleetKey> m_fleetKey;
    std::vector<Address> m_entries;
};

}
