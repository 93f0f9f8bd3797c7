/** \file
 * Look-up of routes.
 */
#include "routetable.h"

#include "errors.h"

namespace Cyclamenturn
{

void RouteTable::add(Route route, const RouteTable *previous)
{
    if (route.services.empty()) {
        throw UserError("route " + route.name + " names no service");
    }
    const RoutePtr *known = previous != nullptr ? previous->findExact(route.host, route.prefix) : nullptr;
    if (known != nullptr && **known == route) {
        m_routes.push_back(*known);
    } else {
        m_routes.push_back(std::make_shared<const Route>(std::move(route)));
    }
    const Route &added = *m_routes.back();
    m_routesByHost[added.host][added.prefix] = m_routes.size() - 1;
}

const RouteTable::RoutePtr *RouteTable::findExact(std::string_view host, std::string_view prefix) const
{
    const auto byHost = m_routesByHost.find(host);
    if (byHost == m_routesByHost.end()) {
        return nullptr;
    }
    const auto found = byHost->second.find(prefix);
    return found == byHost->second.end() ? nullptr : &m_routes[found->second];
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto byHost = m_routesByHost.find(host);
    if (byHost == m_routesByHost.end()) {
        return nullptr;
    }
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = byHost->second.find(path.substr(0, slash + 1));
        if (found != byHost->second.end()) {
            return m_routes[found->second].get();
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

}
