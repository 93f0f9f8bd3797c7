/** \file
 * Serialization of messages about streams by POCO's binary streams in network byte order.
 */
#include "streammessages.h"

#include "peerdatagram.h"

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

}

std::string encodeStreamNote(const StreamOrigin &origin)
{
    return encode(DatagramKind::StreamNote,
        [&origin](Poco::BinaryWriter &out) { out << Poco::UInt64(origin.stream) << Poco::UInt64(origin.version); });
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
    return decode<StreamOrigin>(bytes, DatagramKind::StreamNote, [](Poco::BinaryReader &in, StreamOrigin &out) {
        Poco::UInt64 stream = 0;
        Poco::UInt64 version = 0;
        in >> stream >> version;
        out = {stream, version};
    });
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

}
