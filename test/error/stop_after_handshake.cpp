/** \file
 * A listener that stops must wait for the request that a handshake announced. Otherwise the client can't tell whether
 * that request was executed.
 */
#include "httpexchange.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr Duration PAUSE_AFTER_HANDSHAKE = milliseconds(600);
constexpr Duration IDLE_TIMEOUT = milliseconds(10000);
constexpr int OK = 200;

HttpRequest request(const std::string &method, const std::string &path)
{
    HttpRequest out;
    out.method = method;
    out.path = path;
    out.body = method == "POST" ? "{}" : "";
    return out;
}

}

TEST_CASE("a request announced by a handshake gets a response while the listener stops")
{
    const Address address{"127.0.0.1", 18471};
    std::promise<void> handshakeDone;
    auto listener = std::make_unique<ThreadedHttpServer>(address, 8, [&handshakeDone](ServerExchange &exchange) {
        if (exchange.path() == "/handshake") {
            exchange.expectFollowUp();
            exchange.reply(OK, "{}");
            handshakeDone.set_value();
            return;
        }
        exchange.reply(OK, "{\"done\":true}");
    });
    std::thread stopThread([&] {
        handshakeDone.get_future().wait();
        listener->waitIdle(IDLE_TIMEOUT);
        listener->stopAccepting();
        listener.reset();
    });
    HttpConnection connection(address, HttpTimeouts());
    REQUIRE(connection.exchange(request("GET", "/handshake")).status == OK);
    std::this_thread::sleep_for(PAUSE_AFTER_HANDSHAKE);
    std::string body;
    try {
        body = connection.exchange(request("POST", "/calls")).body;
    } catch (const std::runtime_error &error) {
        body = error.what();
    }
    stopThread.join();
    CHECK(body == "{\"done\":true}");
}

TEST_CASE("a client that sends no request after its handshake does not prevent the listener from stopping")
{
    const Address address{"127.0.0.1", 18472};
    ThreadedHttpServer listener(address, 8, [](ServerExchange &exchange) {
        exchange.expectFollowUp();
        exchange.reply(OK, "{}");
    });
    HttpConnection connection(address, HttpTimeouts());
    REQUIRE(connection.exchange(request("GET", "/handshake")).status == OK);
    CHECK(listener.waitIdle(IDLE_TIMEOUT));
}
