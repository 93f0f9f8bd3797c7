/** \file
 * The engine cost model in use for each service: the configured one, or the estimate where the settings call for it.
 */
#pragma once

#include "engineestimates.h"
#include "engineestimatesuse.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class PeerView;

/** A noticeable change of the model of a service, for the log. */
struct EngineModelChange
{
    std::string service;
    EngineEstimate estimate;
};

class EngineModels
{
public:
    /** Estimates are computed again after this time. */
    static constexpr Duration REFRESH_INTERVAL = milliseconds(500);
    /** Minimum time between two reported changes of one service. */
    static constexpr Duration CHANGE_INTERVAL = milliseconds(5000);
    /** Summaries in a digest. */
    static constexpr std::size_t MAX_SUMMARIES = 4;

    EngineModels(const EngineCostModel &configured, EngineEstimatesUse use, const PeerView &peers);

    EngineEstimates &estimates()
    {
        return m_estimates;
    }
    /** Whether observations are of any use. */
    bool isEnabled() const
    {
        return m_use != EngineEstimatesUse::Never;
    }
    /** The model of a service whose engines have that number of slots. */
    const EngineCostModel &model(const std::string &service, int slots, TimePoint now);
    /** Own summaries for a digest: those with the most observations. */
    std::vector<EngineSummary> summaries(TimePoint now);
    /** The models of services for which estimates are or were in use. */
    std::map<std::string, EngineEstimate> inUse(TimePoint now);
    /** The services whose model has changed noticeably since it was last returned here. */
    std::vector<EngineModelChange> takeChanges(TimePoint now);

private:
    struct Entry
    {
        int slots = 1;
        EngineEstimate estimate;
        /** The estimated model as far as decisions use it. */
        EngineCostModel model;
        bool isInUse = false;
        bool wasInUse = false;
        TimePoint computedAt;
        EngineCostModel reported;
        TimePoint reportedAt;
    };

    /** `slots` is left as it was if empty. */
    Entry &refreshed(const std::string &service, std::optional<int> slots, TimePoint now);

    EngineCostModel m_configured;
    EngineEstimatesUse m_use;
    const PeerView &m_peers;
    EngineEstimates m_estimates;
    /** Of services that requests were sent to; bounded by the services of the configuration. */
    std::map<std::string, Entry> m_entries;
};

}
