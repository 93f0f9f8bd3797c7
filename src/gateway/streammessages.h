/** \file
 * Messages between gateways about the origins of streams.
 */
#pragma once

#include "streamorigin.h"
#include "timepoint.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** Asks for the version that began a stream. */
struct StreamQuestion
{
    /** Chosen by the asker; the answer repeats it. */
    std::uint32_t id = 0;
    /** 0 if the caller hasn't named the stream. */
    StreamKey stream = 0;
    ServiceKey service = 0;
    /** How long ago the stream may have begun. */
    Duration span{};
};

struct StreamAnswer
{
    std::uint32_t id = 0;
    StreamKey stream = 0;
    /** Empty if the sender doesn't know the stream, and there isn't a sole version either. */
    std::optional<VersionKey> version;
    /** Whether it is the service's sole version in the sender's list rather than the origin of the stream. */
    bool isSole = false;
};

/** Asks for the origins that a gateway is to keep, since it has restarted. */
struct StreamOriginsQuestion
{
    /** gatewayHash() of its name. */
    std::uint32_t gateway = 0;
};

/** Tells that a gateway has begun to stop, so that no others pass origins on to it. */
struct StopNotice
{
    /** gatewayHash() of its name. */
    std::uint32_t gateway = 0;
};

/** Tells that requests are sent to an incarnation of an endpoint that the list didn't show yet. */
struct UnlistedIncarnation
{
    ServiceKey service = 0;
    /** incarnationKey() */
    VersionKey incarnation = 0;
};

/** Origins in one datagram, which stays within the packet size of Ethernet. */
constexpr std::size_t MAX_ORIGINS_IN_DATAGRAM = 75;

/** Serialize a message. */
std::string encodeStreamNote(const StreamOrigin &origin);
std::string encodeStreamQuestion(const StreamQuestion &question);
std::string encodeStreamAnswer(const StreamAnswer &answer);
std::string encodeStreamOriginsQuestion(const StreamOriginsQuestion &question);
std::string encodeStopNotice(const StopNotice &notice);
std::string encodeUnlistedIncarnation(const UnlistedIncarnation &notice);
/** Takes MAX_ORIGINS_IN_DATAGRAM at most. */
std::string encodeStreamOrigins(const std::vector<AgedOrigin> &origins);
/** Parse a message. Return nothing if the bytes aren't a complete message of this kind. */
std::optional<StreamOrigin> decodeStreamNote(const std::string &bytes);
std::optional<StreamQuestion> decodeStreamQuestion(const std::string &bytes);
std::optional<StreamAnswer> decodeStreamAnswer(const std::string &bytes);
std::optional<StreamOriginsQuestion> decodeStreamOriginsQuestion(const std::string &bytes);
std::optional<StopNotice> decodeStopNotice(const std::string &bytes);
std::optional<UnlistedIncarnation> decodeUnlistedIncarnation(const std::string &bytes);
std::optional<std::vector<AgedOrigin>> decodeStreamOrigins(const std::string &bytes);

}
