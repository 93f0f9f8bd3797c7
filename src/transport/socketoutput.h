/** \file
 * What the operating system knows of the bytes that were written to a socket.
 */
#pragma once

#include <cstddef>

namespace Poco::Net
{
class Socket;
}

namespace Cyclamenturn
{

/** Returns the number of bytes that the peer's system hasn't acknowledged; 0 if this system doesn't tell. */
std::size_t unacknowledgedBytes(const Poco::Net::Socket &socket);

}
