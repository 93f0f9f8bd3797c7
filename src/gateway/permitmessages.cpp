/** \file
 * Serialization of permit messages by POCO's binary streams in network byte order.
 */
#include "permitmessages.h"

#include "peerdatagram.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

/** Written instead of a rate for an endpoint without a limit. */
constexpr double NO_LIMIT = -1;

Poco::UInt32 wireMilliseconds(Duration span)
{
    return static_cast<Poco::UInt32>(
        std::clamp<std::int64_t>(toMilliseconds(span), 0, std::numeric_limits<Poco::UInt32>::max()));
}

void writeLimit(Poco::BinaryWriter &out, const EndpointLimit &limit, TimePoint now)
{
    out << limit.endpoint << limit.perSecond.value_or(NO_LIMIT) << wireMilliseconds(now - limit.at);
}

bool readLimit(Poco::BinaryReader &in, EndpointLimit &limit, TimePoint now)
{
    double perSecond = 0;
    Poco::UInt32 age = 0;
    if (!readText(in, limit.endpoint)) {
        return false;
    }
    in >> perSecond >> age;
    if (!std::isfinite(perSecond)) {
        return false;
    }
    if (perSecond >= 0) {
        limit.perSecond = perSecond;
    }
    limit.at = now - milliseconds(age);
    return in.good() && !limit.endpoint.empty();
}

/** Reads the kind and then the fields by `read`, which returns whether they are valid. */
template<typename Message, typename Read>
std::optional<Message> decode(const std::string &bytes, DatagramKind expected, Read read)
{
    std::istringstream stream(bytes);
    Poco::BinaryReader in(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    Poco::UInt8 kind = 0;
    in >> kind;
    Message out;
    if (kind != static_cast<Poco::UInt8>(expected) || !read(in, out) || !in.good()) {
        return std::nullopt;
    }
    return out;
}

}

std::string encodePermitQuestion(const PermitQuestion &question, TimePoint now)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(DatagramKind::PermitQuestion) << Poco::UInt32(question.id) << question.asker;
    writeLimit(out, question.limit, now);
    out << wireMilliseconds(question.maxWait) << wireMilliseconds(question.returnsWithin) << question.isRelayed;
    out.flush();
    return stream.str();
}

std::optional<PermitQuestion> decodePermitQuestion(const std::string &bytes, TimePoint now)
{
    return decode<PermitQuestion>(bytes, DatagramKind::PermitQuestion, [now](Poco::BinaryReader &in, auto &out) {
        Poco::UInt32 id = 0;
        Poco::UInt32 maxWait = 0;
        Poco::UInt32 returnsWithin = 0;
        in >> id;
        if (!readText(in, out.asker) || out.asker.empty() || !readLimit(in, out.limit, now)) {
            return false;
        }
        in >> maxWait >> returnsWithin >> out.isRelayed;
        out.id = id;
        out.maxWait = milliseconds(maxWait);
        out.returnsWithin = milliseconds(returnsWithin);
        return true;
    });
}

std::string encodePermitAnswer(const PermitAnswer &answer, TimePoint now)
{
    const auto *granted = std::get_if<PermitGranted>(&answer.decision);
    const Duration span = granted != nullptr ? granted->wait : std::get<PermitDenied>(answer.decision).retryAfter;
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(DatagramKind::PermitAnswer) << Poco::UInt32(answer.id) << answer.sender;
    writeLimit(out, answer.limit, now);
    out << (granted != nullptr) << wireMilliseconds(span);
    out.flush();
    return stream.str();
}

std::optional<PermitAnswer> decodePermitAnswer(const std::string &bytes, TimePoint now)
{
    return decode<PermitAnswer>(bytes, DatagramKind::PermitAnswer, [now](Poco::BinaryReader &in, auto &out) {
        Poco::UInt32 id = 0;
        Poco::UInt32 span = 0;
        bool isGranted = false;
        in >> id;
        if (!readText(in, out.sender) || out.sender.empty() || !readLimit(in, out.limit, now)) {
            return false;
        }
        in >> isGranted >> span;
        out.id = id;
        if (isGranted) {
            out.decision = PermitGranted{milliseconds(span)};
        } else {
            out.decision = PermitDenied{milliseconds(span)};
        }
        return true;
    });
}

std::string encodeLimitNotice(const EndpointLimit &limit, TimePoint now)
{
    std::ostringstream stream;
    Poco::BinaryWriter out(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    out << static_cast<Poco::UInt8>(DatagramKind::LimitNotice);
    writeLimit(out, limit, now);
    out.flush();
    return stream.str();
}

std::optional<EndpointLimit> decodeLimitNotice(const std::string &bytes, TimePoint now)
{
    return decode<EndpointLimit>(bytes, DatagramKind::LimitNotice,
        [now](Poco::BinaryReader &in, EndpointLimit &out) { return readLimit(in, out, now); });
}

}
