/** \file
 * The state that a gateway sends to the others every few hundred milliseconds, in one datagram.
 */
#pragma once

#include "address.h"
#include "clearedsuspect.h"
#include "crashreport.h"
#include "endpointsighting.h"
#include "enginesummary.h"
#include "storerevision.h"
#include "workloadsplit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

/** One gateway's requests at one endpoint. */
struct EndpointRequests
{
    /** Hash of the endpoint's id, which keeps datagrams small. */
    std::uint32_t endpoint = 0;
    std::uint16_t inFlight = 0;
    /** Prompt tokens that the endpoint still has to prefill for this gateway. */
    std::uint32_t pendingPrefillTokens = 0;
    /** Usual pace of the endpoint's VM in percent, as the gateway knows it; 0 if unknown. */
    std::uint16_t pacePercent = 0;

    bool operator==(const EndpointRequests &other) const
    {
        return std::tie(endpoint, inFlight, pendingPrefillTokens, pacePercent)
            == std::tie(other.endpoint, other.inFlight, other.pendingPrefillTokens, other.pacePercent);
    }
};

/**
 * The lower bits of a digest's sequence, as a sign of life of the gateway that made it. They are compared within half
 * of their range, 19 s at one digest each 300 ms; a gateway is forgotten or silent long before.
 */
class HeartbeatNumber
{
public:
    constexpr HeartbeatNumber() = default;
    constexpr explicit HeartbeatNumber(std::uint32_t sequence)
        : m_value(static_cast<std::uint8_t>(sequence % RANGE))
    {
    }

    constexpr std::uint8_t value() const
    {
        return m_value;
    }
    constexpr bool isNewerThan(HeartbeatNumber other) const
    {
        const int ahead = (m_value - other.m_value + RANGE) % RANGE;
        return ahead > 0 && ahead < RANGE / 2;
    }
    constexpr bool operator==(HeartbeatNumber other) const
    {
        return m_value == other.m_value;
    }

private:
    static constexpr int RANGE = 128;

    std::uint8_t m_value = 0;
};

/** A sign of life of a gateway, as another one passes it on. */
struct Heartbeat
{
    /** Hash of the gateway's name. */
    std::uint32_t gateway = 0;
    HeartbeatNumber number;

    bool operator==(const Heartbeat &other) const
    {
        return std::tie(gateway, number) == std::tie(other.gateway, other.number);
    }
};

/**
 * The heartbeats of all gateways that a process knows, one byte each, in the order of their names. Only a process that
 * knows the same gateways can read it; while gateways come and go, heartbeats by name serve.
 */
struct HeartbeatRoll
{
    static constexpr std::size_t MAX_GATEWAYS = 1200;

    /** Hash over the names. */
    std::uint32_t names = 0;
    /** Empty for a gateway that isn't known to live. */
    std::vector<std::optional<HeartbeatNumber>> numbers;

    bool operator==(const HeartbeatRoll &other) const
    {
        return std::tie(names, numbers) == std::tie(other.names, other.numbers);
    }
};

/** Name and address of a gateway that some peers may not know yet. */
struct GatewayIntroduction
{
    std::string name;
    Address address;

    bool operator==(const GatewayIntroduction &other) const
    {
        return name == other.name && address == other.address;
    }
};

struct PeerDigest
{
    /** Limits that keep a digest within one packet. */
    static constexpr std::size_t MAX_CRASHES = 32;
    static constexpr std::size_t MAX_CLEARED_SUSPECTS = 16;
    static constexpr std::size_t MAX_SIGHTINGS = 16;
    static constexpr std::size_t MAX_HEARTBEATS = 40;
    static constexpr std::size_t MAX_INTRODUCTIONS = 6;
    static constexpr std::size_t MAX_ENGINES = 4;

    std::string name;
    /** Start time of the process in microseconds of its VM's clock; a different value shows a restart. */
    std::uint64_t incarnation = 0;
    /** Increases with each digest, also across restarts of the process; see nextDigestSequence(). */
    std::uint32_t sequence = 0;
    /** Revision of the latest configuration that the gateway has read; 0 while there is none. */
    StoreRevision configurationRevision;
    /** The version that the gateway applies; 0 while there is none. */
    std::uint64_t configurationVersion = 0;
    /** When the store last confirmed `configurationRevision`, to this gateway or to another one. */
    TimePoint configurationConfirmedAt;
    WorkloadDemand demand;
    /** Endpoints at which the gateway has requests. */
    std::vector<EndpointRequests> endpointRequests;
    std::vector<CrashReport> crashes;
    std::vector<ClearedSuspect> clearedSuspects;
    /** Suspected endpoints that responded to the gateway since. */
    std::vector<EndpointSighting> sightings;
    /** Some other gateways that live. */
    std::vector<Heartbeat> heartbeats;
    /** All gateways; empty if the receiver gets them with another digest. */
    HeartbeatRoll roll;
    std::vector<GatewayIntroduction> introductions;
    /** The gateway's own observations of engines. */
    std::vector<EngineSummary> engines;
};

/** Returns the sequence of a digest. `running` is the process's start by its VM's time of day plus the time since, so
 * that the digests of a restarted process are newer than those before, whatever the time of day does meanwhile. */
std::uint32_t nextDigestSequence(std::uint32_t previous, TimePoint running);

/** Whether a digest has a roll. Every other one does, which halves the bytes. */
constexpr bool isRollDue(std::uint32_t sequence)
{
    return sequence % 2 == 0;
}

/** The hash that identifies an endpoint in digests. */
std::uint32_t endpointHash(const std::string &endpointId);
/** The hash that identifies a gateway in digests. */
std::uint32_t gatewayHash(const std::string &name);

/** Serializes a digest. Times are written as ages before `now`, since the clocks of VMs differ. */
std::string encodeDigest(const PeerDigest &digest, TimePoint now);
/** Parses a digest. Returns nothing if the bytes aren't a complete digest of this version. */
std::optional<PeerDigest> decodeDigest(const std::string &bytes, TimePoint now);

}
