/** \file
 * Serialization of messages about streams by POCO's binary streams in network byte order.
 */
#include "streammessages.h"

#include "peerdatagram.h"

#include <algorithm>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

template<typename Write>
std::string encode(DatagramKind kind, Write write)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(kind);
    write(out);
    out.flush();
    return stream.str();
}

/** Reads the kind, and then the fields by `read`. */
template<typename Message, typename Read>
std::optional<Message> decode(const std::string &bytes, DatagramKind expected, Read read)
{
    std::istringstream stream(bytes);
    Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    Poco::UInt8 kind = 0;
    in >> kind;
    Message out;
    if (kind != static_cast<Poco::UInt8>(expected)) {
        return std::nullopt;
    }
    read(in, out);
    return in.good() ? std::optional<Message>(out) : std::nullopt;
}

std::string encodeGateway(DatagramKind kind, std::uint32_t gateway)
{
    return encode(kind, [gateway](Poco::BinaryWriter &out) { out << Poco::UInt32(gateway); });
}

template<typename Message>
std::optional<Message> decodeGateway(const std::string &bytes, DatagramKind kind)
{
    return decode<Message>(bytes, kind, [](Poco::BinaryReader &in, Message &out) {
        Poco::UInt32 gateway = 0;
        in >> gateway;
        out = {gateway};
    });
}

std::string encodeKeys(DatagramKind kind, std::uint64_t first, std::uint64_t second)
{
    return encode(
        kind, [first, second](Poco::BinaryWriter &out) { out << Poco::UInt64(first) << Poco::UInt64(second); });
}

template<typename Message>
std::optional<Message> decodeKeys(const std::string &bytes, DatagramKind kind)
{
    return decode<Message>(bytes, kind, [](Poco::BinaryReader &in, Message &out) {
        Poco::UInt64 first = 0;
        Poco::UInt64 second = 0;
        in >> first >> second;
        out = {first, second};
    });
}

}

std::string encodeStreamNote(const StreamOrigin &origin)
{
    return encodeKeys(DatagramKind::StreamNote, origin.stream, origin.version);
}

std::string encodeStreamQuestion(const StreamQuestion &question)
{
    return encode(DatagramKind::StreamQuestion, [&question](Poco::BinaryWriter &out) {
        out << Poco::UInt32(question.id) << Poco::UInt64(question.stream) << Poco::UInt64(question.service)
            << Poco::UInt32(toMilliseconds(question.span));
    });
}

std::string encodeStreamAnswer(const StreamAnswer &answer)
{
    return encode(DatagramKind::StreamAnswer, [&answer](Poco::BinaryWriter &out) {
        out << Poco::UInt32(answer.id) << Poco::UInt64(answer.stream) << answer.version.has_value()
            << Poco::UInt64(answer.version.value_or(0)) << answer.isSole;
    });
}

std::optional<StreamOrigin> decodeStreamNote(const std::string &bytes)
{
    return decodeKeys<StreamOrigin>(bytes, DatagramKind::StreamNote);
}

std::optional<StreamQuestion> decodeStreamQuestion(const std::string &bytes)
{
    return decode<StreamQuestion>(bytes, DatagramKind::StreamQuestion, [](Poco::BinaryReader &in, auto &out) {
        Poco::UInt32 id = 0;
        Poco::UInt64 stream = 0;
        Poco::UInt64 service = 0;
        Poco::UInt32 span = 0;
        in >> id >> stream >> service >> span;
        out = {id, stream, service, milliseconds(span)};
    });
}

std::optional<StreamAnswer> decodeStreamAnswer(const std::string &bytes)
{
    return decode<StreamAnswer>(bytes, DatagramKind::StreamAnswer, [](Poco::BinaryReader &in, auto &out) {
        Poco::UInt32 id = 0;
        Poco::UInt64 stream = 0;
        Poco::UInt64 version = 0;
        bool isKnown = false;
        bool isSole = false;
        in >> id >> stream >> isKnown >> version >> isSole;
        out = {id, stream, isKnown ? std::optional<VersionKey>(version) : std::nullopt, isSole};
    });
}

std::string encodeStreamOriginsQuestion(const StreamOriginsQuestion &question)
{
    return encodeGateway(DatagramKind::StreamOriginsQuestion, question.gateway);
}

std::optional<StreamOriginsQuestion> decodeStreamOriginsQuestion(const std::string &bytes)
{
    return decodeGateway<StreamOriginsQuestion>(bytes, DatagramKind::StreamOriginsQuestion);
}

std::string encodeStopNotice(const StopNotice &notice)
{
    return encodeGateway(DatagramKind::StopNotice, notice.gateway);
}

std::optional<StopNotice> decodeStopNotice(const std::string &bytes)
{
    return decodeGateway<StopNotice>(bytes, DatagramKind::StopNotice);
}

std::string encodeUnlistedIncarnation(const UnlistedIncarnation &notice)
{
    return encodeKeys(DatagramKind::UnlistedIncarnation, notice.service, notice.incarnation);
}

std::optional<UnlistedIncarnation> decodeUnlistedIncarnation(const std::string &bytes)
{
    return decodeKeys<UnlistedIncarnation>(bytes, DatagramKind::UnlistedIncarnation);
}

std::string encodeStreamOrigins(const std::vector<AgedOrigin> &origins)
{
    return encode(DatagramKind::StreamOrigins, [&origins](Poco::BinaryWriter &out) {
        const std::size_t count = std::min(origins.size(), MAX_ORIGINS_IN_DATAGRAM);
        out << static_cast<Poco::UInt8>(count);
        for (std::size_t i = 0; i < count; ++i) {
            out << Poco::UInt64(origins[i].origin.stream) << Poco::UInt64(origins[i].origin.version)
                << static_cast<Poco::UInt16>(toMilliseconds(origins[i].age));
        }
    });
}

std::optional<std::vector<AgedOrigin>> decodeStreamOrigins(const std::string &bytes)
{
    return decode<std::vector<AgedOrigin>>(bytes, DatagramKind::StreamOrigins, [](Poco::BinaryReader &in, auto &out) {
        Poco::UInt8 count = 0;
        in >> count;
        for (int i = 0; i < count && in.good(); ++i) {
            Poco::UInt64 stream = 0;
            Poco::UInt64 version = 0;
            Poco::UInt16 ageMs = 0;
            in >> stream >> version >> ageMs;
            out.push_back({{stream, version}, milliseconds(ageMs)});
        }
    });
}

}
