/** \file
 * Coding shared by all kinds of datagrams between gateways.
 */
#include "peerdatagram.h"

#include <algorithm>
#include <limits>

namespace Cyclamenturn
{

namespace
{

/** Limit above the length of any name, id or address. */
constexpr std::size_t MAX_TEXT_BYTES = 128;

}

Poco::UInt32 ageMs(TimePoint at, TimePoint now)
{
    return static_cast<Poco::UInt32>(
        std::clamp<std::int64_t>(toMilliseconds(now - at), 0, std::numeric_limits<Poco::UInt32>::max()));
}

bool readText(Poco::BinaryReader &in, std::string &text)
{
    Poco::UInt32 size = 0;
    in.read7BitEncoded(size);
    if (!in.good() || size > MAX_TEXT_BYTES) {
        return false;
    }
    in.readRaw(size, text);
    return in.good();
}

}
