/** \file
 * Serialization of digests by POCO's binary streams in network byte order.
 */
#include "peerdigest.h"

#include "peerdatagram.h"
#include "rendezvoushash.h"

#include <algorithm>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

/** Limit that keeps a digest well within one packet. */
constexpr std::size_t MAX_ENDPOINT_REQUESTS = 96;

}

std::uint32_t endpointHash(const std::string &endpointId)
{
    return static_cast<std::uint32_t>(contentHash(endpointId));
}

std::string encodeDigest(const PeerDigest &digest, TimePoint now)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(DatagramKind::Digest) << digest.name << Poco::UInt64(digest.incarnation)
        << Poco::UInt32(digest.sequence) << Poco::UInt64(digest.configurationRevision.revision)
        << static_cast<float>(digest.demand.prefillMsPerSecond) << static_cast<float>(digest.demand.longAnswers);
    const std::size_t endpointCount = std::min(digest.endpointRequests.size(), MAX_ENDPOINT_REQUESTS);
    out << static_cast<Poco::UInt8>(endpointCount);
    for (std::size_t i = 0; i < endpointCount; ++i) {
        const EndpointRequests &requests = digest.endpointRequests[i];
        out << Poco::UInt32(requests.endpoint) << Poco::UInt16(requests.inFlight)
            << Poco::UInt32(requests.pendingPrefillTokens);
    }
    const std::size_t crashCount = std::min(digest.crashes.size(), PeerDigest::MAX_CRASHES);
    out << static_cast<Poco::UInt8>(crashCount);
    for (std::size_t i = 0; i < crashCount; ++i) {
        const CrashReport &report = digest.crashes[i];
        out << Poco::UInt64(report.fingerprint) << ageMs(report.at, now) << report.endpoint
            << static_cast<Poco::UInt8>(report.isFinal);
    }
    const std::size_t clearedCount = std::min(digest.clearedSuspects.size(), PeerDigest::MAX_CLEARED_SUSPECTS);
    out << static_cast<Poco::UInt8>(clearedCount);
    for (std::size_t i = 0; i < clearedCount; ++i) {
        const ClearedSuspect &cleared = digest.clearedSuspects[i];
        out << Poco::UInt64(cleared.fingerprint) << ageMs(cleared.at, now);
    }
    out << Poco::UInt64(digest.configurationRevision.era) << Poco::UInt64(digest.configurationVersion)
        << ageMs(digest.configurationConfirmedAt, now);
    const std::size_t sightingCount = std::min(digest.sightings.size(), PeerDigest::MAX_SIGHTINGS);
    out << static_cast<Poco::UInt8>(sightingCount);
    for (std::size_t i = 0; i < sightingCount; ++i) {
        const EndpointSighting &sighting = digest.sightings[i];
        out << ageMs(sighting.sentAt, now) << sighting.endpoint;
    }
    out.flush();
    return stream.str();
}

std::optional<PeerDigest> decodeDigest(const std::string &bytes, TimePoint now)
{
    std::istringstream stream(bytes);
    Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    PeerDigest out;
    Poco::UInt8 kind = 0;
    in >> kind;
    if (kind != static_cast<Poco::UInt8>(DatagramKind::Digest)) {
        return std::nullopt;
    }
    Poco::UInt64 incarnation = 0;
    Poco::UInt32 sequence = 0;
    float prefillMsPerSecond = 0;
    float longAnswers = 0;
    Poco::UInt64 configurationRevision = 0;
    Poco::UInt64 configurationEra = 0;
    Poco::UInt64 configurationVersion = 0;
    Poco::UInt32 configurationAge = 0;
    if (!readText(in, out.name)) {
        return std::nullopt;
    }
    in >> incarnation >> sequence >> configurationRevision >> prefillMsPerSecond >> longAnswers;
    out.demand = {prefillMsPerSecond, longAnswers};
    out.incarnation = incarnation;
    out.sequence = sequence;
    Poco::UInt8 count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt32 endpoint = 0;
        Poco::UInt16 inFlight = 0;
        Poco::UInt32 pending = 0;
        in >> endpoint >> inFlight >> pending;
        out.endpointRequests.push_back({endpoint, inFlight, pending});
    }
    count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt64 fingerprint = 0;
        Poco::UInt32 age = 0;
        std::string endpoint;
        Poco::UInt8 isFinal = 0;
        in >> fingerprint >> age;
        if (!readText(in, endpoint)) {
            return std::nullopt;
        }
        in >> isFinal;
        out.crashes.push_back({fingerprint, endpoint, now - milliseconds(age), isFinal != 0});
    }
    count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt64 fingerprint = 0;
        Poco::UInt32 age = 0;
        in >> fingerprint >> age;
        out.clearedSuspects.push_back({fingerprint, now - milliseconds(age)});
    }
    in >> configurationEra >> configurationVersion >> configurationAge;
    out.configurationRevision = {configurationEra, configurationRevision};
    out.configurationVersion = configurationVersion;
    out.configurationConfirmedAt = now - milliseconds(configurationAge);
    count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt32 age = 0;
        std::string endpoint;
        in >> age;
        if (!readText(in, endpoint)) {
            return std::nullopt;
        }
        out.sightings.push_back({endpoint, now - milliseconds(age)});
    }
    if (!in.good() || out.name.empty()) {
        return std::nullopt;
    }
    return out;
}

}
