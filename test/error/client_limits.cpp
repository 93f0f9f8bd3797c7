/** \file
 * Tests of the HTTP server at its limits of memory and connections. Guards against refusals that don't say that the
 * request hasn't run, and against lost responses when a connection isn't read for a while.
 */
#include "transport/requestmemory.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr int OK = 200;
constexpr int THREADS = 4;
constexpr Duration TEST_TIMEOUT = milliseconds(10000);
constexpr std::size_t CAPACITY = 1000000;
constexpr std::size_t LARGE = 400000;

class Client
{
public:
    explicit Client(const Address &address)
        : m_socket(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)))
    {
        m_socket.setReceiveTimeout(Poco::Timespan(TEST_TIMEOUT.count()));
    }
    void send(const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(
                m_socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
    }
    /** Sends a request of which the last `missing` bytes are kept back. */
    void sendBody(std::size_t bytes, std::size_t missing, const std::string &path = "/x")
    {
        send("POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes - missing, 'b'));
    }
    /** Returns what is received until `end` is in it, or until the server closes the connection. */
    std::string receiveUntil(const std::string &end)
    {
        std::string out;
        char block[65536];
        try {
            while (end.empty() || out.find(end) == std::string::npos) {
                const int count = m_socket.receiveBytes(block, sizeof(block));
                if (count <= 0) {
                    break;
                }
                out.append(block, static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception &) { // reset
        }
        return out;
    }

private:
    Poco::Net::StreamSocket m_socket;
};

ThreadedHttpServer::Resources smallMemory()
{
    return {std::make_shared<RequestMemory>(CAPACITY)};
}

}

TEST_CASE("an incomplete request that takes too much is refused as not run and the others go on")
{
    const Address address{"127.0.0.1", 18491};
    std::atomic<int> handled{0};
    ThreadedHttpServer server(
        address, THREADS,
        [&handled](ServerExchange &exchange) {
            ++handled;
            exchange.reply(OK, "");
        },
        smallMemory());
    Client longest(address);
    longest.sendBody(LARGE, 1);
    std::this_thread::sleep_for(milliseconds(200));
    Client second(address);
    second.sendBody(LARGE, 1);
    std::this_thread::sleep_for(milliseconds(200));
    Client third(address);
    third.sendBody(LARGE, 1);
    const std::string refusal = longest.receiveUntil("");
    CHECK(refusal.find("HTTP/1.1 503") == 0);
    CHECK(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(refusal.find("Connection: close\r\n") != std::string::npos);
    CHECK(handled == 0);
    // A small request and one of the large ones have room.
    Client small(address);
    small.sendBody(100, 0);
    CHECK(small.receiveUntil("\r\n\r\n").find("HTTP/1.1 200") == 0);
}

TEST_CASE("a refusal reaches a client that goes on sending")
{
    const Address address{"127.0.0.1", 18496};
    ThreadedHttpServer server(
        address, THREADS, [](ServerExchange &exchange) { exchange.reply(OK, ""); }, smallMemory());
    Client client(address);
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n");
    std::thread sender([&client] {
        for (int i = 0; i < 80; ++i) {
            client.send(std::string(100000, 'b'));
            std::this_thread::sleep_for(milliseconds(2));
        }
    });
    CHECK(client.receiveUntil("").find("HTTP/1.1 503") == 0);
    sender.join();
}

TEST_CASE("a lone request that fills the memory is served again and again")
{
    const Address address{"127.0.0.1", 18492};
    ThreadedHttpServer server(
        address, THREADS,
        [](ServerExchange &exchange) { exchange.reply(OK, std::to_string(exchange.readBody(CAPACITY)->size())); },
        smallMemory());
    Client client(address);
    for (int i = 0; i < 20; ++i) {
        client.sendBody(CAPACITY / 5, 0);
        CHECK(client.receiveUntil("200000").find("HTTP/1.1 200") == 0);
    }
}

// The next request of a client that had its response was refused until the handler's thread had ended.
TEST_CASE("a request's memory is free once its response has been sent")
{
    const Address address{"127.0.0.1", 18496};
    ThreadedHttpServer server(
        address, THREADS,
        [](ServerExchange &exchange) {
            exchange.reply(OK, std::to_string(exchange.readBody(CAPACITY)->size()));
            std::this_thread::sleep_for(milliseconds(100));
        },
        smallMemory());
    Client client(address);
    for (int i = 0; i < 5; ++i) {
        client.sendBody(CAPACITY / 5, 0);
        CHECK(client.receiveUntil("200000").find("HTTP/1.1 200") == 0);
    }
}

TEST_CASE("requests behind one in progress are all served in their order")
{
    const Address address{"127.0.0.1", 18493};
    ThreadedHttpServer server(
        address, THREADS,
        [](ServerExchange &exchange) {
            std::this_thread::sleep_for(milliseconds(20));
            exchange.reply(OK, exchange.path() + std::to_string(exchange.readBody(CAPACITY)->size()));
        },
        smallMemory());
    Client client(address);
    std::thread sender([&client] {
        for (int i = 0; i < 10; ++i) {
            client.sendBody(CAPACITY / 5, 0, "/" + std::to_string(i) + "-");
        }
    });
    const std::string responses = client.receiveUntil("/9-200000");
    sender.join();
    std::size_t position = 0;
    for (int i = 0; i < 10; ++i) {
        position = responses.find("/" + std::to_string(i) + "-200000", position);
        REQUIRE(position != std::string::npos);
    }
}

TEST_CASE("a client that reads late gets all responses")
{
    const Address address{"127.0.0.1", 18494};
    ThreadedHttpServer server(
        address, THREADS,
        [](ServerExchange &exchange) { exchange.reply(OK, std::string(LARGE, 'r') + exchange.path()); }, smallMemory());
    Client client(address);
    for (int i = 0; i < 40; ++i) {
        client.send("GET /" + std::to_string(i) + "- HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    std::this_thread::sleep_for(milliseconds(500));
    const std::string responses = client.receiveUntil("/39-");
    CHECK(responses.size() > 40 * LARGE);
}

TEST_CASE("idle connections give way to new ones and busy ones don't")
{
    const Address address{"127.0.0.1", 18495};
    std::atomic<bool> mayEnd{false};
    ThreadedHttpServer::Resources resources;
    resources.connections = 2;
    ThreadedHttpServer server(
        address, THREADS,
        [&mayEnd](ServerExchange &exchange) {
            while (exchange.path() == "/long" && !mayEnd) {
                std::this_thread::sleep_for(milliseconds(5));
            }
            exchange.reply(OK, exchange.path());
        },
        resources);
    Client busy(address);
    busy.send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
    Client idle(address);
    idle.send("GET /idle HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(idle.receiveUntil("/idle").find("HTTP/1.1 200") == 0);
    Client next(address);
    next.send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(idle.receiveUntil("").empty());
    std::this_thread::sleep_for(milliseconds(100));
    Client last(address);
    CHECK(last.receiveUntil("").find("HTTP/1.1 503") == 0);
    mayEnd = true;
    CHECK(busy.receiveUntil("/long").find("HTTP/1.1 200") == 0);
    CHECK(next.receiveUntil("/long").find("HTTP/1.1 200") == 0);
}
