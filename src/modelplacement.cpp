/** \file
 * Implements the timing and fencing of model orders.
 */
#include "modelplacement.h"

#include "errors.h"

#include <algorithm>

namespace Cyclamenturn
{

namespace
{

constexpr std::uint64_t MICROSECONDS_PER_MILLISECOND = 1000;
constexpr double MICROSECONDS_PER_SECOND = 1e6;

}

ModelPlacement::ModelPlacement(std::uint64_t incarnation)
    : m_startMs(incarnation / MICROSECONDS_PER_MILLISECOND)
{
}

void ModelPlacement::setDesiredModels(
    const std::vector<std::string> &models, std::uint64_t revision, Duration startDelay, TimePoint now)
{
    m_revision = std::max(m_revision, revision);
    if (models == m_desiredModels) {
        return;
    }
    m_desiredModels = models;
    m_dueAt = now + startDelay;
}

std::optional<EngineOrder> ModelPlacement::takeOrder(TimePoint now)
{
    if (m_fenced || m_modelsInFlight || isUpToDate() || now < m_dueAt) {
        return std::nullopt;
    }
    m_modelsInFlight = m_desiredModels;
    // Revisions and start times are both in milliseconds since the epoch, so their maximum grows with a newer
    // configuration and with a newer incarnation.
    return EngineOrder{std::max(m_revision, m_startMs), m_desiredModels};
}

void ModelPlacement::noteResult(OrderResult result, TimePoint now)
{
    if (!m_modelsInFlight) {
        throw InternalError("result of an engine order received while no order is in flight");
    }
    switch (result) {
    case OrderResult::Done:
        m_appliedModels = *m_modelsInFlight;
        break;
    case OrderResult::Fenced:
        m_fenced = true;
        break;
    case OrderResult::Failed:
        m_dueAt = now + RETRY_INTERVAL;
        break;
    }
    m_modelsInFlight.reset();
}

void ModelPlacement::noteEngineRestarted(TimePoint now)
{
    m_appliedModels.clear();
    m_dueAt = std::max(m_dueAt, now + RETRY_INTERVAL);
}

Duration placementDelay(std::size_t rank, double loadsPerSecond)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(rank) / loadsPerSecond * MICROSECONDS_PER_SECOND));
}

}
