/** \file
 * A server at its limit of connections, with more of them waiting than it may have.
 */
#include "transport/httpserver.h"
#include "transport/httpserverconnection.h"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <vector>

using namespace Cyclamenturn;

namespace
{

std::size_t openDescriptors()
{
    const std::filesystem::directory_iterator entries("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

}

// Connections that gave way were closed only after all that waited had been accepted, so the descriptors ran out.
TEST_CASE("connections that give way are closed before more are accepted")
{
    constexpr std::size_t LIMIT = 32;
    constexpr std::size_t CLIENTS = 200;
    const Address address{"127.0.0.1", 18511};
    EventLoop loop;
    HttpServer server(
        loop, address, [](const HttpServerConnectionPtr &, ReceivedRequest &) {}, nullptr);
    HttpServerLimits limits;
    limits.connections = LIMIT;
    server.setLimits(limits);
    std::size_t most = 0;
    server.setLimitHandler([&most](const char *) { most = std::max(most, openDescriptors()); });
    std::vector<Poco::Net::StreamSocket> clients;
    for (std::size_t i = 0; i < CLIENTS; ++i) {
        clients.emplace_back(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)));
    }
    const std::size_t before = openDescriptors();
    for (int i = 0; i < 400; ++i) {
        loop.runOnce(milliseconds(1));
    }
    CHECK(server.connectionCount() <= LIMIT);
    REQUIRE(most > 0);
    // One connection beside the limit, and those that give way at a time.
    CHECK(most <= before + LIMIT + 3);
}
