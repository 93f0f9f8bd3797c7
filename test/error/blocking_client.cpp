/** \file
 * Responses that the blocking HTTP client must not take for whole ones, and responses without end, of which it must not
 * keep more than its limits.
 */
#include "errors.h"
#include "httpexchange.h"
#include "rpcclient.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <functional>
#include <limits>
#include <string>
#include <thread>

using namespace Cyclamenturn;

namespace
{

constexpr HttpTimeouts TIMEOUTS{milliseconds(500), milliseconds(1000)};
/** More than the client may keep of any body. */
constexpr std::size_t ENDLESS_BYTES = std::size_t(160) << 20;
/** More than the client may keep of a head or a line, and than the operating system buffers on both sides. */
constexpr std::size_t LONG_BYTES = std::size_t(32) << 20;

/** Accepts one connection, reads a request head and handles the connection in a thread. */
class OneShotServer
{
public:
    explicit OneShotServer(std::function<void(Poco::Net::StreamSocket &)> respond)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        m_thread = std::thread([this, respond = std::move(respond)] {
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            try {
                readHead(connection);
                respond(connection);
            } catch (const Poco::Exception &) { // the client has closed the connection
            }
        });
    }
    ~OneShotServer()
    {
        m_thread.join();
    }
    Address address() const
    {
        return {"127.0.0.1", m_socket.address().port()};
    }

private:
    static void readHead(Poco::Net::StreamSocket &connection)
    {
        std::string head;
        char byte = 0;
        while (head.find("\r\n\r\n") == std::string::npos && connection.receiveBytes(&byte, 1) == 1) {
            head += byte;
        }
    }

    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

void sendText(Poco::Net::StreamSocket &connection, const std::string &text)
{
    connection.sendBytes(text.data(), static_cast<int>(text.size()));
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += text;
    }
    return out;
}

/** Sends `first` and then `piece` over and over, and returns how many bytes that were when the client closed. */
std::size_t flood(
    const std::string &first, const std::string &piece, const std::function<void(const Address &)> &receive)
{
    std::size_t sent = 0;
    {
        OneShotServer server([&](Poco::Net::StreamSocket &connection) {
            sendText(connection, first);
            while (sent < ENDLESS_BYTES) {
                sendText(connection, piece);
                sent += piece.size();
            }
        });
        receive(server.address());
    }
    return sent;
}

void exchangeBreaks(const Address &address)
{
    CHECK_THROWS_AS(httpExchange(address, HttpRequest(), TIMEOUTS), ExchangeBrokenError);
}

const std::string HEAD = "HTTP/1.1 200 OK\r\n";
const std::string CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

}

// Parts of responses were taken for whole ones: with a length in lower case, or of a body in chunks.
TEST_CASE("a response that is cut or malformed is never returned")
{
    const std::string cut[] = {
        "",
        "HTTP/1.1",
        HEAD,
        HEAD + "Content-Length: 10\r\n\r\npart",
        HEAD + "content-length: 10\r\n\r\npart",
        CHUNKED_HEAD + "a\r\npart",
        CHUNKED_HEAD + "4\r\npart\r\n",
        CHUNKED_HEAD + "4\r\npart\r\n0\r\n",
        "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 2x0 X\r\nContent-Length: 4\r\n\r\npart",
        "HTTP/1.1 103 X\r\n\r\n",
        "no response\r\n\r\n",
        HEAD + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nparts",
    };
    for (const auto &response : cut) {
        CAPTURE(response);
        OneShotServer server([&response](Poco::Net::StreamSocket &connection) { sendText(connection, response); });
        exchangeBreaks(server.address());
    }
}

TEST_CASE("whole responses are returned, whichever way their end is marked")
{
    const std::string whole[] = {
        HEAD + "Content-Length: 4\r\n\r\nbody",
        HEAD + "content-length: 4\r\n\r\nbody",
        HEAD + "\r\nbody",
        CHUNKED_HEAD + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 4\r\n\r\nbody",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + HEAD + "Content-Length: 4\r\n\r\nbody",
    };
    for (const auto &response : whole) {
        CAPTURE(response);
        OneShotServer server([&response](Poco::Net::StreamSocket &connection) { sendText(connection, response); });
        const HttpResponse received = httpExchange(server.address(), HttpRequest(), TIMEOUTS);
        CHECK(received.status == 200);
        CHECK(received.body == "body");
    }
}

// The client kept all of it, until its process ran out of memory.
TEST_CASE("a head without end breaks the exchange, and little of it is read")
{
    CHECK(flood("", std::string(65536, 'x'), exchangeBreaks) < LONG_BYTES);
    CHECK(flood(HEAD, repeated("Field: value\r\n", 4000), exchangeBreaks) < LONG_BYTES);
    CHECK(flood(HEAD + "Field: ", std::string(65536, 'x'), exchangeBreaks) < LONG_BYTES);
    CHECK(flood("", repeated("HTTP/1.1 100 Continue\r\n\r\n", 2000), exchangeBreaks) < LONG_BYTES);
    CHECK(flood("", repeated("HTTP/1.1 103 Early Hints\r\n\r\n", 2000), exchangeBreaks) < LONG_BYTES);
    CHECK(flood(CHUNKED_HEAD + "1;", std::string(65536, 'x'), exchangeBreaks) < LONG_BYTES);
}

TEST_CASE("a body without end breaks the exchange")
{
    const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    CHECK(flood(HEAD + "\r\n", std::string(65536, 'x'), exchangeBreaks) < ENDLESS_BYTES);
    CHECK(flood(CHUNKED_HEAD, chunk, exchangeBreaks) < ENDLESS_BYTES);
}

// The client kept all of it, until its process ran out of memory, or read lines for as long as they came.
TEST_CASE("a line without end, and lines without end, end the reading of a body")
{
    const auto readLines = [](const Address &address) {
        HttpConnection connection(address, TIMEOUTS);
        connection.begin(HttpRequest());
        std::string line;
        std::size_t lines = 0;
        while (connection.readLine(line)) {
            ++lines;
        }
        CHECK(lines < ENDLESS_BYTES / 65536);
    };
    CHECK(flood(HEAD + "\r\n", std::string(65536, 'x'), readLines) < LONG_BYTES);
    CHECK(flood(HEAD + "\r\n", std::string(65535, 'x') + "\n", readLines) < ENDLESS_BYTES);
}

// Each response kept to its own limit, and all of them together took many times the memory of the VM.
TEST_CASE("responses that are read at the same time share a limit, which small ones don't meet")
{
    const auto bodyOf = [](std::size_t bytes) {
        OneShotServer server([bytes](Poco::Net::StreamSocket &connection) {
            sendText(
                connection, HEAD + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
        });
        return httpExchange(server.address(), HttpRequest(), TIMEOUTS).body;
    };
    limitResponseMemory(1000000);
    CHECK_THROWS_AS(bodyOf(1100000), ExchangeBrokenError);
    {
        OneShotServer server([](Poco::Net::StreamSocket &connection) {
            sendText(connection, HEAD + "\r\n" + std::string(900000, 'x') + "\n");
        });
        HttpConnection connection(server.address(), TIMEOUTS);
        connection.begin(HttpRequest());
        std::string line;
        // The connection keeps the line until the next one is read.
        REQUIRE(connection.readLine(line));
        CHECK_THROWS_AS(bodyOf(200000), ExchangeBrokenError);
        CHECK(bodyOf(60000).size() == 60000);
        CHECK_FALSE(connection.readLine(line));
    }
    CHECK(bodyOf(900000).size() == 900000);
    limitResponseMemory(std::numeric_limits<std::size_t>::max());
}

// The client kept all of it, until its process ran out of memory.
TEST_CASE("a result of a call without end fails the call")
{
    const std::size_t sent = flood(HEAD + "\r\n", std::string(65536, 'x'), [](const Address &address) {
        CHECK_THROWS_AS(
            callRpc({address.host, address.port, "key", 1000}, "process_status", Json::Value(Json::objectValue)),
            RpcError);
    });
    CHECK(sent < ENDLESS_BYTES);
}

TEST_CASE("the lines of a body are read until its end, and no part of a line that was cut")
{
    const auto linesOf = [](const std::string &response) {
        OneShotServer server([&response](Poco::Net::StreamSocket &connection) { sendText(connection, response); });
        HttpConnection connection(server.address(), TIMEOUTS);
        connection.begin(HttpRequest());
        std::vector<std::string> out;
        std::string line;
        while (connection.readLine(line)) {
            out.push_back(line);
        }
        return out;
    };
    using Lines = std::vector<std::string>;
    CHECK(linesOf(HEAD + "\r\none\ntwo\n") == Lines{"one", "two"});
    CHECK(linesOf(HEAD + "\r\none\r\n\ntwo") == Lines{"one\r", "", "two"});
    CHECK(linesOf(CHUNKED_HEAD + "6\r\none\ntw\r\n2\r\no\n\r\n0\r\n\r\n") == Lines{"one", "two"});
    CHECK(linesOf(CHUNKED_HEAD + "6\r\none\ntw\r\n") == Lines{"one"});
    CHECK(linesOf(HEAD + "Content-Length: 9\r\n\r\none\ntw") == Lines{"one"});
}
