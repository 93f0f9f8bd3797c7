/** \file
 * The usage duty of a gateway.
 */
#include "gateway.h"

namespace Cyclamenturn
{

void Gateway::makeUsageDuty(const StoreCodec &store)
{
    if (!m_settings.duties) {
        return;
    }
    const auto incarnation = static_cast<std::uint64_t>(m_startTimeOfDay.time_since_epoch().count());
    m_usage.emplace(m_loop, m_settings.name, incarnation, m_settings.duties->window, m_peers, m_peerLink, m_metrics);
    m_usageDuty = std::make_unique<UsageDuty>(m_loop, store, m_settings.store, *m_settings.duties, m_settings.name,
        m_peers, *m_usage, m_metrics, [this] { return randomFraction(); });
}

void Gateway::attendUsageDuty()
{
    if (!m_usageDuty) {
        return;
    }
    if (const std::uint64_t era = m_store.storeRevision().era; era != 0) {
        m_usageDuty->noteEra(era);
    }
    for (const auto &[kind, calls] : m_usageDuty->calls()) {
        m_metrics.set("cyclamenturn_store_calls", {{"kind", kind}}, static_cast<double>(calls));
    }
}

}
