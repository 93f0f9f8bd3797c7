/** \file
 * Tests of the threaded HTTP server: use of threads, rejected requests, client disconnects, failing handlers and stops.
 */
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include "httpexchange.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

using namespace Cyclamenturn;

namespace
{

constexpr int OK = 200;
constexpr int THREADS = 2;
constexpr Duration TEST_TIMEOUT = milliseconds(10000);

HttpRequest get(const std::string &path)
{
    HttpRequest out;
    out.method = "GET";
    out.path = path;
    return out;
}

Poco::Net::StreamSocket connectTo(const Address &address)
{
    return Poco::Net::StreamSocket(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)));
}

/** Sends `bytes` and returns all that is received until the server closes the connection. */
std::string rawExchange(const Address &address, const std::string &bytes)
{
    Poco::Net::StreamSocket socket = connectTo(address);
    socket.setReceiveTimeout(Poco::Timespan(TEST_TIMEOUT.count()));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string out;
    char block[4096];
    int count = 0;
    while ((count = socket.receiveBytes(block, sizeof(block))) > 0) {
        out.append(block, static_cast<std::size_t>(count));
    }
    return out;
}

}

TEST_CASE("connections without a request use no handler thread")
{
    const Address address{"127.0.0.1", 18473};
    ThreadedHttpServer server(address, THREADS, [](ServerExchange &exchange) { exchange.reply(OK, exchange.path()); });
    std::vector<Poco::Net::StreamSocket> idleConnections;
    for (int i = 0; i < 10 * THREADS; ++i) {
        idleConnections.push_back(connectTo(address));
    }
    HttpTimeouts timeouts;
    timeouts.receive = milliseconds(5000);
    HttpConnection client(address, timeouts);
    CHECK(client.exchange(get("/served")).body == "/served");
}

TEST_CASE("requests with ambiguous framing are not passed to the handler")
{
    const Address address{"127.0.0.1", 18474};
    std::atomic<int> handled{0};
    ThreadedHttpServer server(address, THREADS, [&handled](ServerExchange &exchange) {
        ++handled;
        exchange.reply(OK, "");
    });
    const auto &[framing, status] = GENERATE(table<std::string, std::string>({
        {"Content-Length: 3\r\nContent-Length: 4\r\n", "400"},
        {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "400"},
        {"Transfer-Encoding: gzip\r\n", "501"},
        {"Content-Length: +3\r\n", "400"},
    }));
    const std::string reply = rawExchange(address, "POST /x HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n0\r\n\r\n");
    CAPTURE(framing);
    CHECK(reply.find("HTTP/1.1 200") == std::string::npos);
    CHECK(reply.find("HTTP/1.1 " + status) == 0);
    CHECK(handled == 0);
}

TEST_CASE("all requests get a response when there are more requests than threads")
{
    const Address address{"127.0.0.1", 18475};
    std::atomic<int> running{0};
    std::atomic<int> maxRunning{0};
    ThreadedHttpServer server(address, THREADS, [&](ServerExchange &exchange) {
        const int now = ++running;
        maxRunning = std::max(maxRunning.load(), now);
        std::this_thread::sleep_for(milliseconds(20));
        --running;
        exchange.reply(OK, "done");
    });
    std::vector<std::future<std::string>> responses;
    for (int i = 0; i < 8 * THREADS; ++i) {
        responses.push_back(std::async(
            std::launch::async, [&address] { return httpExchange(address, get("/x"), HttpTimeouts()).body; }));
    }
    for (auto &response : responses) {
        CHECK(response.get() == "done");
    }
    CHECK(maxRunning <= THREADS);
}

TEST_CASE("a handler detects that its client has disconnected")
{
    const Address address{"127.0.0.1", 18476};
    std::promise<void> handlerStarted;
    std::promise<bool> disconnectNoticed;
    ThreadedHttpServer server(address, THREADS, [&](ServerExchange &exchange) {
        std::ostream &out = exchange.beginStream(OK, "text/event-stream");
        out << "data: 1\n\n" << std::flush;
        handlerStarted.set_value();
        for (Duration waited{}; waited < TEST_TIMEOUT && !exchange.isDisconnected(); waited += milliseconds(5)) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        out << "data: 2\n\n" << std::flush;
        disconnectNoticed.set_value(exchange.isDisconnected() && !out.good());
    });
    {
        Poco::Net::StreamSocket socket = connectTo(address);
        const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        handlerStarted.get_future().wait();
    }
    CHECK(disconnectNoticed.get_future().get());
}

TEST_CASE("a stream whose handler fails is not terminated as complete")
{
    const Address address{"127.0.0.1", 18477};
    ThreadedHttpServer server(address, THREADS, [](ServerExchange &exchange) {
        exchange.beginStream(OK, "text/event-stream") << "data: 1\n\n" << std::flush;
        throw std::runtime_error("the endpoint is lost");
    });
    std::string reply;
    try {
        reply = rawExchange(address, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    } catch (const std::exception &) { // the server resets the connection to report the failure
    }
    CHECK(reply.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a stopping server completes the response in progress and accepts no connection")
{
    const Address address{"127.0.0.1", 18478};
    std::promise<void> handlerStarted;
    const std::string body(3 << 20, 'x');
    ThreadedHttpServer server(address, THREADS, [&](ServerExchange &exchange) {
        handlerStarted.set_value();
        std::this_thread::sleep_for(milliseconds(100));
        exchange.reply(OK, body);
    });
    auto response
        = std::async(std::launch::async, [&address] { return httpExchange(address, get("/x"), HttpTimeouts()).body; });
    handlerStarted.get_future().wait();
    server.stopAccepting();
    CHECK(server.waitIdle(TEST_TIMEOUT));
    CHECK(response.get() == body);
    CHECK_THROWS(connectTo(address));
}
