/** \file
 * Serialization of evidence by POCO's binary streams in network byte order.
 */
#include "partevidence.h"

#include "peerdatagram.h"
#include "rendezvoushash.h"
#include "requesttraits.h"

#include <algorithm>
#include <sstream>

namespace Cyclamenturn
{

std::vector<PartKey> sharedParts(const PromptTraits &prompt)
{
    std::vector<PartKey> out;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        const PartKey place = std::min<PartKey>(i, PART_PLACE_MASK);
        out.push_back((contentHash(prompt.parts[i].id) & ~PART_PLACE_MASK) | place);
    }
    return out;
}

std::string encodePartEvidence(const PartEvidence &evidence, TimePoint now)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    const std::size_t crashCount = std::min(evidence.crashes.size(), PartEvidence::MAX_CRASHES);
    out << static_cast<Poco::UInt8>(DatagramKind::PartEvidence) << static_cast<Poco::UInt8>(crashCount);
    for (std::size_t i = 0; i < crashCount; ++i) {
        const PartCrash &crash = evidence.crashes[i];
        out << Poco::UInt64(crash.part) << Poco::UInt32(crash.request) << Poco::UInt32(crash.team)
            << Poco::UInt64(crash.endpoint) << ageMs(crash.at, now);
    }
    const std::size_t answerCount = std::min(evidence.answers.size(), PartEvidence::MAX_ANSWERS);
    out << static_cast<Poco::UInt8>(answerCount);
    for (std::size_t i = 0; i < answerCount; ++i) {
        out << Poco::UInt64(evidence.answers[i].part) << ageMs(evidence.answers[i].at, now);
    }
    out.flush();
    return stream.str();
}

bool decodePartEvidence(const std::string &bytes, TimePoint now, PartEvidence &evidence)
{
    std::istringstream stream(bytes);
    Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    Poco::UInt8 kind = 0;
    Poco::UInt8 count = 0;
    in >> kind >> count;
    if (!in.good() || kind != static_cast<Poco::UInt8>(DatagramKind::PartEvidence)) {
        return false;
    }
    evidence = {};
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt64 part = 0;
        Poco::UInt32 request = 0;
        Poco::UInt32 team = 0;
        Poco::UInt64 endpoint = 0;
        Poco::UInt32 age = 0;
        in >> part >> request >> team >> endpoint >> age;
        evidence.crashes.push_back({part, request, team, endpoint, now - milliseconds(age)});
    }
    count = 0;
    in >> count;
    for (int i = 0; i < count && in.good(); ++i) {
        Poco::UInt64 part = 0;
        Poco::UInt32 age = 0;
        in >> part >> age;
        evidence.answers.push_back({part, now - milliseconds(age)});
    }
    return in.good();
}

}
