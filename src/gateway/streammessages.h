/** \file
 * Messages between gateways about the origins of streams.
 */
#pragma once

#include "streamorigin.h"

#include <optional>
#include <string>

namespace Cyclamenturn
{

/** Asks for the origin of a stream. */
struct StreamQuestion
{
    /** Chosen by the asker; the answer repeats it. */
    std::uint32_t id = 0;
    StreamKey stream = 0;
};

struct StreamAnswer
{
    std::uint32_t id = 0;
    StreamKey stream = 0;
    /** Empty if the sender doesn't know the stream. */
    std::optional<VersionKey> version;
};

/** Serialize a message. */
std::string encodeStreamNote(const StreamOrigin &origin);
std::string encodeStreamQuestion(const StreamQuestion &question);
std::string encodeStreamAnswer(const StreamAnswer &answer);
/** Parse a message. Return nothing if the bytes aren't a complete message of this kind. */
std::optional<StreamOrigin> decodeStreamNote(const std::string &bytes);
std::optional<StreamQuestion> decodeStreamQuestion(const std::string &bytes);
std::optional<StreamAnswer> decodeStreamAnswer(const std::string &bytes);

}
