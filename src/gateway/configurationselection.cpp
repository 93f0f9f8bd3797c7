/** \file
 * Selection of the configuration in force.
 */
#include "configurationselection.h"

namespace Cyclamenturn
{

bool ConfigurationSelection::isNew(const StoreRevision &revision) const
{
    return !m_latest || revision.era != m_latest->era || *m_latest < revision;
}

void ConfigurationSelection::noteUnreadable(const StoreRevision &revision)
{
    m_latest = revision;
    m_isLatestUnreadable = true;
    m_deferred.reset();
}

ConfigurationSelection::Decision ConfigurationSelection::offer(
    const StoreRevision &revision, std::uint64_t version, TimePoint now)
{
    if (!isNew(revision)) {
        return Decision::Ignore;
    }
    m_latest = revision;
    m_isLatestUnreadable = false;
    const bool isSameHistory = m_era == revision.era;
    if (version < m_version && !isSameHistory) {
        m_deferred = Deferred{version, now};
        return Decision::Defer;
    }
    m_deferred.reset();
    m_version = version;
    m_era = revision.era;
    return Decision::Apply;
}

bool ConfigurationSelection::takeDeferred(TimePoint now)
{
    if (!m_deferred || now - m_deferred->since < OLDER_VERSION_DELAY) {
        return false;
    }
    m_version = m_deferred->version;
    m_era = m_latest->era;
    m_deferred.reset();
    return true;
}

void ConfigurationSelection::forgetRevisions()
{
    m_latest.reset();
    m_era.reset();
    m_deferred.reset();
}

}
