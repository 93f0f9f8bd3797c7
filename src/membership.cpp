/** \file
 * Implements the endpoint states and the heartbeat schedule of one entry.
 */
#include "membership.h"

#include "errors.h"

#include <algorithm>
#include <tuple>

namespace Cyclamenturn
{

namespace
{

/** Time for which an endpoint is suspect after the first of several consecutive failures. */
constexpr Duration INITIAL_SUSPECT_TIME = milliseconds(250);
/** Limits the suspect time to 8 s. */
constexpr int MAX_SUSPECT_DOUBLINGS = 5;
/** Endpoints examined per search for a due heartbeat, so that its cost does not grow with the fleet. */
constexpr int MAX_HEARTBEAT_SCAN = 16;

}

const char *toString(EndpointState state)
{
    switch (state) {
    case EndpointState::Unknown:
        return "unknown";
    case EndpointState::Live:
        return "live";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Suspect:
        return "suspect";
    }
    throw InternalError("an EndpointState value has no name: add it to toString()");
}

void Membership::apply(const FleetConfiguration &configuration)
{
    std::map<std::string, EndpointView> views;
    for (const auto &[name, spec] : configuration.endpoints()) {
        const auto known = m_views.find(name);
        EndpointView view = known == m_views.end() ? EndpointView() : known->second;
        const bool moved = view.spec.host != spec.host || view.spec.port != spec.port;
        if (moved) {
            view.suspectUntil.reset();
        }
        view.spec = spec;
        views.emplace(name, view);
    }
    m_views = std::move(views);
    m_viewsByService.clear();
    for (auto &[name, view] : m_views) {
        m_viewsByService[view.spec.service].push_back(&view);
    }
}

bool Membership::applyReport(const AgentStatus &status, TimePoint now)
{
    EndpointView *view = findMutable(status.endpoint);
    if (!view) {
        return false;
    }
    const auto order = [](const AgentStatus &item) {
        return std::tie(item.incarnation, item.sequence);
    };
    if (view->lastReportAt && order(status) <= order(view->status)) {
        return false;
    }
    view->status = status;
    view->lastReportAt = now;
    view->suspectUntil.reset();
    view->consecutiveFailures = 0;
    view->sentSinceReport = 0;
    return true;
}

void Membership::noteFailure(const std::string &endpoint, TimePoint now)
{
    if (EndpointView *view = findMutable(endpoint)) {
        const int doublings = std::min(view->consecutiveFailures, MAX_SUSPECT_DOUBLINGS);
        ++view->consecutiveFailures;
        view->suspectUntil = now + INITIAL_SUSPECT_TIME * (1 << doublings);
    }
}

void Membership::noteSent(const std::string &endpoint)
{
    if (EndpointView *view = findMutable(endpoint)) {
        ++view->ownInFlight;
        ++view->sentSinceReport;
    }
}

void Membership::noteEnded(const std::string &endpoint)
{
    EndpointView *view = findMutable(endpoint);
    if (view && view->ownInFlight > 0) {
        --view->ownInFlight;
    }
}

EndpointState Membership::state(const EndpointView &view, TimePoint now) const
{
    if (view.spec.draining || (view.lastReportAt && view.status.leaving)) {
        return EndpointState::Leaving;
    }
    if (view.suspectUntil && now < *view.suspectUntil) {
        return EndpointState::Suspect;
    }
    return view.lastReportAt ? EndpointState::Live : EndpointState::Unknown;
}

const EndpointView *Membership::find(const std::string &endpoint) const
{
    const auto it = m_views.find(endpoint);
    return it == m_views.end() ? nullptr : &it->second;
}

EndpointView *Membership::findMutable(const std::string &endpoint)
{
    const auto it = m_views.find(endpoint);
    return it == m_views.end() ? nullptr : &it->second;
}

const std::vector<EndpointView *> &Membership::viewsOf(const std::string &service) const
{
    static const std::vector<EndpointView *> NONE;
    const auto it = m_viewsByService.find(service);
    return it == m_viewsByService.end() ? NONE : it->second;
}

const EndpointView *Membership::takeDueHeartbeat(TimePoint now)
{
    if (m_views.empty() || (m_lastHeartbeat && now - *m_lastHeartbeat < HEARTBEAT_SPACING)) {
        return nullptr;
    }
    auto it = m_views.upper_bound(m_heartbeatCursor);
    for (int i = 0; i < MAX_HEARTBEAT_SCAN; ++i) {
        if (it == m_views.end()) {
            it = m_views.begin();
        }
        EndpointView &view = it->second;
        const bool reportExpired = !view.lastReportAt || now - *view.lastReportAt >= HEARTBEAT_INTERVAL;
        const bool heartbeatDue = !view.lastHeartbeatAt || now - *view.lastHeartbeatAt >= HEARTBEAT_INTERVAL;
        if (reportExpired && heartbeatDue) {
            m_heartbeatCursor = it->first;
            m_lastHeartbeat = now;
            view.lastHeartbeatAt = now;
            return &view;
        }
        ++it;
    }
    return nullptr;
}

}
