/** \file
 * The routes of a configuration, by host and prefix. Versions of the configuration share the routes that are equal in
 * both, which makes a new version cheap to build and an old one cheap to destroy.
 */
#pragma once

#include "route.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cyclamenturn
{

class RouteTable
{
public:
    /** Adds a route, or that of `previous` if it is equal. Of two routes with the same host and prefix, the later one
     * is found. Throws UserError if the route has no service. */
    void add(Route route, const RouteTable *previous);
    /** The route of that host with the longest matching prefix; null if there is none. */
    const Route *find(std::string_view host, std::string_view path) const;
    std::size_t size() const
    {
        return m_routes.size();
    }

private:
    using RoutePtr = std::shared_ptr<const Route>;

    /** The route with exactly this host and prefix, or null. */
    const RoutePtr *findExact(std::string_view host, std::string_view prefix) const;

    std::vector<RoutePtr> m_routes;
    /** Indexes into m_routes by host and prefix, which lie in the routes. */
    std::unordered_map<std::string_view, std::unordered_map<std::string_view, std::size_t>> m_routesByHost;
};

}
