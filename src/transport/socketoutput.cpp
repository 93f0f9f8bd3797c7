/** \file
 * Reads the length of a socket's send queue.
 */
#include "socketoutput.h"

#include <Poco/Exception.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketImpl.h>

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Cyclamenturn
{

std::size_t unacknowledgedBytes(const Poco::Net::Socket &socket)
{
    int count = 0;
    try {
        socket.impl()->ioctl(SIOCOUTQ, count);
    } catch (const Poco::Exception &) { // not every system has such a call
        return 0;
    }
    return static_cast<std::size_t>(std::max(count, 0));
}

}
