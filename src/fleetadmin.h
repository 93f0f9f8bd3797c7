/** \file
 * Operations behind cyclamenturnctl: reading the status of a fleet's processes, and reading, checking and changing the
 * fleet's configuration.
 */
#pragma once

#include "activeconfiguration.h"
#include "address.h"
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

/** The configuration document in the store, with its store version. */
struct StoredDocument
{
    ConfigurationDocument document;
    std::uint64_t version = 0;
};

/** The status that one process returned. */
struct ProcessStatus
{
    std::string name;
    Address address;
    /** Null if the process didn't respond. */
    Json::Value status;

    bool answered() const
    {
        return !status.isNull();
    }
    std::uint64_t revision() const;
};

/** The outcome of accept(). */
struct AcceptResult
{
    /** Empty if the outcome couldn't be determined from the store. */
    std::optional<EditResolution> resolution;
    /** Processes that run a newer revision than the store holds. If there are any, nothing was written. */
    std::vector<std::string> processesAhead;
};

class FleetAdmin
{
public:
    FleetAdmin(Address store, std::shared_ptr<FleetKey> fleetKey, std::vector<Address> entries);

    /** Returns nothing if no document has been accepted yet. Throws StoreUnavailableError. */
    std::optional<StoredDocument> readStoredDocument();

    /** Reads the status of every entry, and of every agent that the configuration lists. */
    std::vector<ProcessStatus> readStatuses(const FleetConfiguration *configuration);

    /** Asks the processes to check `toml`. Returns the errors of those that reject it, each with the process's name. */
    std::vector<std::string> checkOnProcesses(const std::string &toml, const FleetConfiguration *configuration);

    /**
     * Writes the edit, which is based on `baseRevision`, by compare-and-swap, and repeats this until the outcome is
     * certain. Refuses at once if a process runs a newer revision than the store holds: the store was then reset to an
     * earlier state, and the processes are about to write the newer revision to it again.
     * \param configuration lists the agents whose revisions are checked
     * \param shouldContinue called between attempts; if it returns false, the resolution stays empty
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
