/** \file
 * The configuration of a fleet: one document that contains defaults and exceptions with a stated reason, and that is
 * validated as a whole.
 */
#pragma once

#include "serviceclass.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** Protocol and policy limits that apply to the whole fleet. */
struct FleetLimits
{
    /** How long after its issue a first attempt of a non-idempotent call may start. */
    Duration firstAttemptWindow{};
    /** The largest clock difference between two VMs that the protocol tolerates. */
    Duration clockMargin{};
    /** How long keys, responses and journals are kept after a call was issued. */
    Duration keyRetention{};
    /** How often an agent that has started new runs writes its journal. */
    Duration journalInterval{};
    /** How often an agent without new runs advances its watermark. */
    Duration idleMarkInterval{};
    std::size_t bodyLimitBytes = 0;
    /** Maximum number of calls waiting at one agent. */
    std::size_t queueLimit = 0;
    /** Minimum share of run starts for each tier below the top one while it has calls waiting. */
    double leastShare = 0;
    /** The share of an endpoint's slots that only the top tier may use. */
    double headroomShare = 0;
    /**
     * Maximum retries of calls that may already have run, as a share of served calls. Other retries do not count.
     */
    double retryBudgetShare = 0;
    /** Maximum share of a service's slots that one team may use while calls of other teams wait. */
    double teamShare = 0;
    /** Model loads that may start per second over all endpoints, so that the weight store is not overloaded. */
    double weightLoadsPerSecond = 0;
};

enum class ServiceKind {
    Model,
    Plain,
};

struct ServiceSpec
{
    std::string name;
    ServiceKind kind = ServiceKind::Plain;
};

/** One endpoint with the address of its agent. */
struct EndpointSpec
{
    std::string name;
    std::string service;
    std::string host;
    int port = 0;
    std::string failureDomain;
    /** Calls that the endpoint executes concurrently. */
    int slots = 1;
    /** True if the endpoint should finish its calls and receive no new ones, as requested by an operator. */
    bool draining = false;
    /** Whether the endpoint refuses orders that carry an older fencing number than it has seen. */
    bool checksFencing = false;
    /** Models, adapters and versions that the endpoint should hold. */
    std::vector<std::string> models;
};

/** A team and the SHA-256 of its bearer key; the key itself is never stored. */
struct TeamSpec
{
    std::string name;
    std::string keyHash;
};

/** One exception to the defaults, with the reason that its author gave. */
struct ExceptionSpec
{
    std::string target;
    std::string reason;
};

/**
 * A validated document. It is immutable: services share it by pointer and replace the pointer as a whole.
 *
 * Example:
 *     const auto configuration = FleetConfiguration::parse(text, "fleet.toml", 7);
 *     const ServiceClass *dispatch = configuration->findClass("dispatch");
 */
class FleetConfiguration
{
public:
    /** Applies each exception to its target and validates the whole document. Throws UserError if it is invalid. */
    static std::shared_ptr<const FleetConfiguration> parse(
        const std::string &text, const std::string &fileName, std::uint64_t revision);

    std::uint64_t revision() const
    {
        return m_revision;
    }
    const std::string &text() const
    {
        return m_text;
    }
    const std::string &fleetName() const
    {
        return m_fleetName;
    }
    const FleetLimits &limits() const
    {
        return m_limits;
    }
    const std::map<std::string, ServiceClass> &classes() const
    {
        return m_classes;
    }
    const std::map<std::string, ServiceSpec> &services() const
    {
        return m_services;
    }
    const std::map<std::string, EndpointSpec> &endpoints() const
    {
        return m_endpoints;
    }
    const std::vector<ExceptionSpec> &exceptions() const
    {
        return m_exceptions;
    }
    /** The find functions return null if there is no match. */
    const ServiceClass *findClass(const std::string &name) const;
    const ServiceSpec *findService(const std::string &name) const;
    const EndpointSpec *findEndpoint(const std::string &name) const;
    /** Finds the team by the SHA-256 of its bearer key in lower-case hexadecimal. */
    const TeamSpec *findTeamByKeyHash(const std::string &keyHash) const;
    /** The endpoints of one service, sorted by name; empty for an unknown service. */
    const std::vector<EndpointSpec> &endpointsOf(const std::string &service) const;
    /** True if any class of the service is not idempotent, which requires its agents to keep a journal. */
    bool needsJournal(const std::string &service) const;

private:
    FleetConfiguration() = default;

    std::uint64_t m_revision = 0;
    std::string m_text;
    std::string m_fleetName;
    FleetLimits m_limits;
    std::map<std::string, ServiceClass> m_classes;
    std::map<std::string, ServiceSpec> m_services;
    std::map<std::string, EndpointSpec> m_endpoints;
    /** Holds the same endpoints as m_endpoints. */
    std::map<std::string, std::vector<EndpointSpec>> m_endpointsByService;
    std::map<std::string, TeamSpec> m_teamsByKeyHash;
    std::vector<ExceptionSpec> m_exceptions;
};

using FleetConfigurationPtr = std::shared_ptr<const FleetConfiguration>;

}
