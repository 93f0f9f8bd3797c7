/** \file
 * The blocking HTTP client gives up a response without end, instead of collecting it until its memory is used up.
 */
#include "errors.h"
#include "httpexchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <thread>

using namespace Cyclamenturn;

TEST_CASE("a response body without end is given up and its connection closed")
{
    constexpr std::size_t PIECES = 4096;
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::size_t sent = 0;
    std::thread flood([&] {
        Poco::Net::StreamSocket connection = server.acceptConnection();
        const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        const std::string piece(65536, 'x');
        try {
            connection.sendBytes(head.data(), static_cast<int>(head.size()));
            while (sent < PIECES) {
                connection.sendBytes(piece.data(), static_cast<int>(piece.size()));
                ++sent;
            }
        } catch (const Poco::Exception &) { // the client has closed the connection
        }
    });
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    const Address address{"127.0.0.1", server.address().port()};
    CHECK_THROWS_AS(httpExchange(address, request, HttpTimeouts()), ExchangeBrokenError);
    flood.join();
    CHECK(sent < PIECES);
}
