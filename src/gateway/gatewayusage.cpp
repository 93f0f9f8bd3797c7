/** \file
 * How a gateway counts requests for the usage reports, where its settings have duties.
 */
#include "gateway.h"

namespace Cyclamenturn
{

void Gateway::startUsage()
{
    if (m_usage) {
        m_usage->start();
    }
    if (m_usageDuty) {
        m_usageDuty->start();
    }
}

void Gateway::finishStop()
{
    if (m_usage) {
        m_usage->finishStop();
    }
}

void Gateway::countUsage(const std::string &team)
{
    if (m_usage && !team.empty()) {
        m_usage->count(team);
    }
}

void Gateway::usageQueryReceived(const UsageQuery &query, const Address &from)
{
    if (m_usage) {
        m_usage->queryReceived(query, from);
    }
}

void Gateway::usageCountsReceived(const UsageStatement &statement)
{
    if (m_usage) {
        m_usage->countsReceived(statement);
    }
}

}
