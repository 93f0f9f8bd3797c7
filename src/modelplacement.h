/** \file
 * Makes one engine load the models, adapters and versions that the configuration lists. There is no central controller:
 * each agent sends orders to its own engine, after a delay that depends on the rank of its endpoint, so that the model
 * loads of the whole fleet stay within the rate that the weight store can serve.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** An order to the engine: the models that it should hold. */
struct EngineOrder
{
    /** The fencing number. It is higher for a newer configuration and for a newer incarnation of the agent. */
    std::uint64_t fence = 0;
    std::vector<std::string> models;

    bool operator==(const EngineOrder &other) const
    {
        return fence == other.fence && models == other.models;
    }
};

enum class OrderResult {
    Done,
    /** The engine has received a higher fencing number, so a newer incarnation of the agent is in control. */
    Fenced,
    Failed,
};

/**
 * Decides when an order is sent to the engine. At most one order is in flight.
 *
 * Example:
 *     ModelPlacement placement(incarnation);
 *     placement.setDesiredModels({"base-2"}, revision, startDelay, now);
 *     if (auto order = placement.takeOrder(now)) { ... placement.noteResult(OrderResult::Done, now); }
 */
class ModelPlacement
{
public:
    static constexpr Duration RETRY_INTERVAL = milliseconds(2000);

    /** \param incarnation the agent's start time in microseconds since the epoch */
    explicit ModelPlacement(std::uint64_t incarnation);

    /**
     * Sets the models that the engine should hold.
     * \param startDelay the delay before the order, in which the endpoints of lower rank load their models; see
     *     placementDelay()
     */
    void setDesiredModels(
        const std::vector<std::string> &models, std::uint64_t revision, Duration startDelay, TimePoint now);
    /** Returns the order that is due, if any, and marks it as in flight. */
    std::optional<EngineOrder> takeOrder(TimePoint now);
    void noteResult(OrderResult result, TimePoint now);
    /** The engine has restarted and holds no models. */
    void noteEngineRestarted(TimePoint now);

    /** True once the engine has carried out an order with the desired models. */
    bool isUpToDate() const
    {
        return m_appliedModels == m_desiredModels;
    }

private:
    std::uint64_t m_startMs;
    std::vector<std::string> m_desiredModels;
    std::vector<std::string> m_appliedModels;
    std::uint64_t m_revision = 0;
    TimePoint m_dueAt;
    /** The models of the order in flight. */
    std::optional<std::vector<std::string>> m_modelsInFlight;
    bool m_fenced = false;
};

/**
 * The delay before an endpoint loads models if the fleet may start `loadsPerSecond` loads per second.
 * \param rank the position of the endpoint in the list of its service's endpoints, starting at 0
 */
Duration placementDelay(std::size_t rank, double loadsPerSecond);

}
