/** \file
 * Runs EntryCore in a thread of its own: passes it events from a bounded ring, and passes the actions that it returns
 * to the threads of the requests.
 */
#pragma once

#include "boundedring.h"
#include "entrycore.h"
#include "service.h"
#include "settings.h"

#include <json/json.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace Cyclamenturn
{

class ConfigurationService;
class FleetKey;
class Metrics;

/** Carries the actions of one request from the thread of the core to the thread of the request. */
using RequestMailbox = BoundedRing<EntryAction>;

/** Event loop of an entry, with a second thread for heartbeats. */
class EntryLoop : public Service
{
public:
    EntryLoop(const Settings &settings, std::shared_ptr<ConfigurationService> configuration,
        std::shared_ptr<FleetKey> fleetKey, std::shared_ptr<Metrics> metrics);
    ~EntryLoop() override;

    void start() override;
    void stop() override;

    /**
     * Passes a call to the core.
     * \returns the mailbox with the actions for the call, or null if the ring is full; the call is then not run
     */
    std::shared_ptr<RequestMailbox> admit(const Call &call);
    /**
     * Passes an event to the core. Waits while the ring is full, since an event that has already happened cannot be
     * refused.
     */
    void report(EntryEvent event);
    void closeMailbox(const std::string &callId);

    /** Returns the endpoints as known to this entry, for `cyclamenturnctl status`. Updated periodically. */
    Json::Value endpointsStatus() const;

private:
    void processEvents();
    void sendHeartbeats();
    void perform(const EntryAction &action);
    /** Updates endpointsStatus() and the metrics. */
    void publishStatus(TimePoint now);
    /** Sends one heartbeat to an agent and reports its status or the failure to the core. */
    void sendHeartbeat(const SendHeartbeat &heartbeat);

    Settings m_settings;
    std::shared_ptr<ConfigurationService> m_configuration;
    std::shared_ptr<FleetKey> m_fleetKey;
    std::shared_ptr<Metrics> m_metrics;
    /** Used by the thread of the core only. */
    EntryCore m_core;
    BoundedRing<EntryEvent> m_events;
    BoundedRing<SendHeartbeat> m_heartbeats;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<RequestMailbox>> m_mailboxes;
    Json::Value m_endpointsStatus;
    TimePoint m_lastPublished;
    std::thread m_thread;
    std::thread m_heartbeatThread;
};

}
