/** \file
 * Serialization of digests by POCO's binary streams in network byte order.
 */
#include "peerdigest.h"

#include "digestrounds.h"
#include "enginesummarycodec.h"
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
/** In a roll, marks a gateway that lives. */
constexpr std::uint8_t LIVE = 0x80;

void writeHeartbeats(Poco::BinaryWriter &out, const PeerDigest &digest)
{
    const std::size_t count = std::min(digest.heartbeats.size(), PeerDigest::MAX_HEARTBEATS);
    out << static_cast<Poco::UInt8>(count);
    for (std::size_t i = 0; i < count; ++i) {
        const Heartbeat &heartbeat = digest.heartbeats[i];
        out << Poco::UInt32(heartbeat.gateway) << static_cast<Poco::UInt8>(heartbeat.number.value());
    }
    const std::size_t rollSize = std::min(digest.roll.numbers.size(), HeartbeatRoll::MAX_GATEWAYS);
    out << Poco::UInt32(digest.roll.names) << Poco::UInt16(rollSize);
    for (std::size_t i = 0; i < rollSize; ++i) {
        const auto &number = digest.roll.numbers[i];
        out << static_cast<Poco::UInt8>(number ? LIVE | number->value() : 0);
    }
    const std::size_t introductionCount = std::min(digest.introductions.size(), PeerDigest::MAX_INTRODUCTIONS);
    out << static_cast<Poco::UInt8>(introductionCount);
    for (std::size_t i = 0; i < introductionCount; ++i) {
        out << digest.introductions[i].name << toString(digest.introductions[i].address);
    }
}

bool readHeartbeats(Poco::BinaryReader &in, PeerDigest &digest)
{
    Poco::UInt8 count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt32 gateway = 0;
        Poco::UInt8 number = 0;
        in >> gateway >> number;
        digest.heartbeats.push_back({gateway, HeartbeatNumber(number)});
    }
    Poco::UInt32 names = 0;
    Poco::UInt16 rollSize = 0;
    in >> names >> rollSize;
    if (!in.good() || rollSize > HeartbeatRoll::MAX_GATEWAYS) {
        return false;
    }
    std::string numbers;
    in.readRaw(rollSize, numbers);
    digest.roll.names = names;
    for (const char number : numbers) {
        const auto bits = static_cast<std::uint8_t>(number);
        digest.roll.numbers.push_back((bits & LIVE) != 0 ? std::optional(HeartbeatNumber(bits)) : std::nullopt);
    }
    count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        GatewayIntroduction introduction;
        std::string address;
        if (!readText(in, introduction.name) || !readText(in, address)) {
            return false;
        }
        try {
            introduction.address = addressFromString(address);
        } catch (const std::runtime_error &) {
            return false;
        }
        digest.introductions.push_back(std::move(introduction));
    }
    return in.good();
}

}

namespace
{

void writeEngines(Poco::BinaryWriter &out, const PeerDigest &digest, TimePoint now)
{
    const std::size_t count = std::min(digest.engines.size(), PeerDigest::MAX_ENGINES);
    out << static_cast<Poco::UInt8>(count);
    for (std::size_t i = 0; i < count; ++i) {
        writeEngineSummary(out, digest.engines[i], now);
    }
}

bool readEngines(Poco::BinaryReader &in, PeerDigest &digest, TimePoint now)
{
    Poco::UInt8 count = 0;
    in >> count;
    if (!in.good() || count > PeerDigest::MAX_ENGINES) {
        return false;
    }
    for (int i = 0; i < count; ++i) {
        const auto summary = readEngineSummary(in, now);
        if (!summary) {
            return false;
        }
        digest.engines.push_back(*summary);
    }
    return true;
}

}

std::uint32_t nextDigestSequence(std::uint32_t previous, TimePoint running)
{
    const auto byTime = static_cast<std::uint32_t>(running.time_since_epoch() / DigestRounds::INTERVAL);
    return std::max(previous + 1, byTime);
}

std::uint32_t gatewayHash(const std::string &name)
{
    return static_cast<std::uint32_t>(contentHash(name));
}

std::uint32_t endpointHash(const std::string &endpointId)
{
    return static_cast<std::uint32_t>(contentHash(endpointId));
}

namespace
{

std::string encodeWhole(const PeerDigest &digest, TimePoint now)
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
            << Poco::UInt32(requests.pendingPrefillTokens) << Poco::UInt16(requests.pacePercent);
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
    writeHeartbeats(out, digest);
    writeEngines(out, digest, now);
    out.flush();
    return stream.str();
}

template<typename T>
void halve(std::vector<T> &items)
{
    items.resize(items.size() / 2);
}

}

std::string encodeDigest(const PeerDigest &digest, TimePoint now)
{
    std::string bytes = encodeWhole(digest, now);
    PeerDigest shortened = digest;
    while (bytes.size() > MAX_DATAGRAM_BYTES) {
        // Signs of life and the configuration stay; a digest that isn't received makes its sender look silent.
        halve(shortened.endpointRequests);
        halve(shortened.sightings);
        halve(shortened.clearedSuspects);
        halve(shortened.crashes);
        shortened.introductions.clear();
        shortened.engines.clear();
        bytes = encodeWhole(shortened, now);
    }
    return bytes;
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
        Poco::UInt16 pacePercent = 0;
        in >> endpoint >> inFlight >> pending >> pacePercent;
        out.endpointRequests.push_back({endpoint, inFlight, pending, pacePercent});
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
    if (!readHeartbeats(in, out) || !readEngines(in, out, now) || out.name.empty()) {
        return std::nullopt;
    }
    return out;
}

}
