/** \file
 * Brings one engine to the models, adapters and versions that the configuration states. No central controller: each
 * agent orders its own engine, in its turn, so that the fleet's loads stay within the weight store's rate.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** An order to the engine. */
struct EngineOrder
{
    /** Higher for a newer configuration, and for a newer incarnation of the agent. */
    std::uint64_t fence = 0;
    std::vector<std::string> models;

    bool operator==(const EngineOrder &other) const
    {
        return fence == other.fence && models == other.models;
    }
};

enum class OrderResult {
    Done,
    /** The engine has seen a higher fencing number: a successor gives the orders. */
    Fenced,
    Failed,
};

/**
 * Example:
 *     ModelPlacement placement(incarnation);
 *     placement.setDesiredModels({"base-2"}, revision, turn, now);
 *     if (auto order = placement.takeOrder(now)) { ... placement.noteResult(OrderResult::Done, now); }
 */
class ModelPlacement
{
public:
    static constexpr Duration RETRY_INTERVAL = milliseconds(2000);

    /** \param incarnation the agent's start in microseconds */
    explicit ModelPlacement(std::uint64_t incarnation);

    /** States what the engine should hold. \param turn how long this agent leaves the weight store to others first */
    void setDesiredModels(
        const std::vector<std::string> &models, std::uint64_t revision, Duration startDelay, TimePoint now);
    /** Returns the order that is due, if any; at most one is under way. */
    std::optional<EngineOrder> takeOrder(TimePoint now);
    void noteResult(OrderResult result, TimePoint now);
    /** The engine has restarted and holds nothing. */
    void noteEngineRestarted(TimePoint now);

    /** True once the engine has taken the newest order. */
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
    /** The models of the order under way. */
    std::optional<std::vector<std::string>> m_modelsInFlight;
    bool m_fenced = false;
};

/** The time that the endpoint at `rank` waits for its turn when `loadsPerSecond` are allowed fleet-wide. */
Duration placementDelay(std::size_t rank, double loadsPerSecond);

}
