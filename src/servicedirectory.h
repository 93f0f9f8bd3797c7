/** \file
 * The directory of a process's services: they are registered under a name and look each other up by it.
 */
#pragma once

#include "errors.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Cyclamenturn
{

class Service;

/**
 * Example:
 *     directory.add("metrics", std::make_shared<Metrics>());
 *     auto metrics = directory.find<Metrics>("metrics");
 */
class ServiceDirectory
{
public:
    ServiceDirectory();
    ~ServiceDirectory();

    /** Throws InternalError if the name is already registered. */
    void add(const std::string &name, std::shared_ptr<Service> service);

    /** Throws InternalError if there is no service of that name and type. */
    template<typename Type>
    std::shared_ptr<Type> find(const std::string &name) const
    {
        auto service = std::dynamic_pointer_cast<Type>(lookUp(name));
        if (!service) {
            throw InternalError("the service '" + name + "' has another type");
        }
        return service;
    }

    void startAll();
    void stopAll();

private:
    std::shared_ptr<Service> lookUp(const std::string &name) const;

    /** In order of registration. */
    std::vector<std::pair<std::string, std::shared_ptr<Service>>> m_services;
    /** The number of started services. These are the first elements of m_services. */
    std::size_t m_started = 0;
};

}
