/** \file
 * Registration, look-up, start and stop of the services of a process.
 */
#include "servicedirectory.h"

#include "service.h"

namespace Cyclamenturn
{

ServiceDirectory::ServiceDirectory() = default;

ServiceDirectory::~ServiceDirectory()
{
    stopAll();
}

void ServiceDirectory::add(const std::string &name, std::shared_ptr<Service> service)
{
    for (const auto &[registeredName, other] : m_services) {
        if (registeredName == name) {
            throw InternalError("two services are named '" + name + "'");
        }
    }
    m_services.emplace_back(name, std::move(service));
}

std::shared_ptr<Service> ServiceDirectory::lookUp(const std::string &name) const
{
    for (const auto &[registeredName, service] : m_services) {
        if (registeredName == name) {
            return service;
        }
    }
    throw InternalError("no service is named '" + name + "'");
}

void ServiceDirectory::startAll()
{
    while (m_started < m_services.size()) {
        m_services[m_started].second->start();
        ++m_started;
    }
}

void ServiceDirectory::stopAll()
{
    while (m_started > 0) {
        --m_started;
        m_services[m_started].second->stop();
    }
}

}
