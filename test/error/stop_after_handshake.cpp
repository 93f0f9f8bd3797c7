/** \file
 * A listener that stops must wait for the request that a handshake announced, or the far end can't tell whether that
 * request ran.
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
constexpr Duration IDLE_LIMIT = milliseconds(10000);
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

TEST_CASE("a request announced by a handshake is answered while the listener stops")
{
    const Address address{"127.0.0.1", 18471};
    std::promise<void> shaken;
    auto listener = std::make_unique<ThreadedHttpServer>(address, 8, [&shaken](ServerExchange &exchange) {
        if (exchange.path() == "/handshake") {
            exchange.expectFollowUp();
            exchange.reply(OK, "{}");
            shaken.set_value();
            return;
        }
        exchange.reply(OK, "{\"done\":true}");
    });
    std::thread stopper([&] {
        shaken.get_future().wait();
        listener->waitIdle(IDLE_LIMIT);
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
    stopper.join();
    CHECK(body == "{\"done\":true}");
}

TEST_CASE("a far end that never follows its handshake up doesn't keep the listener")
{
    const Address address{"127.0.0.1", 18472};
    ThreadedHttpServer listener(address, 8, [](ServerExchange &exchange) {
        exchange.expectFollowUp();
        exchange.reply(OK, "{}");
    });
    HttpConnection connection(address, HttpTimeouts());
    REQUIRE(connection.exchange(request("GET", "/handshake")).status == OK);
    CHECK(listener.waitIdle(IDLE_LIMIT));
}
