/** \file
 * Requests of which the operating system takes only a part at first, because the server reads slowly or not at all.
 */
#include "transport/httpclientconnection.h"

#include "clock.h"
#include "errors.h"
#include "httpexchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <functional>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

using namespace Cyclamenturn;

namespace
{

/** More than a slow server makes room for, and little enough for the buffers of the operating system. */
constexpr std::size_t SHORT_BODY_BYTES = 20000;
constexpr std::size_t LONG_BODY_BYTES = 1000000;
/** More than the operating system buffers for a connection. */
constexpr std::size_t HUGE_BODY_BYTES = 16000000;
constexpr HttpLimits LIMITS{16384, 1048576};
constexpr Duration TIMEOUT = milliseconds(5000);

/** Accepts one connection, over which little is under way at a time, and handles it in a thread. */
class SlowServer
{
public:
    explicit SlowServer(std::function<void(Poco::Net::StreamSocket &)> serve)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        // By default, the loopback interface buffers megabytes of a connection.
        m_socket.setReceiveBufferSize(2048);
        m_socket.setOption(IPPROTO_TCP, TCP_MAXSEG, 1448);
        m_thread = std::thread([this, serve = std::move(serve)] {
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            try {
                serve(connection);
            } catch (const Poco::Exception &) { // the client has closed the connection
            }
        });
    }
    ~SlowServer()
    {
        m_thread.join();
    }
    Address address() const
    {
        return {"127.0.0.1", m_socket.address().port()};
    }

private:
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

class Listener : public ExchangeListener
{
public:
    bool matchesRequest(const HttpResponseHead &, bool) override
    {
        return true;
    }
    void headReceived(const HttpResponseHead &head) override
    {
        status = head.status;
    }
    void bodyReceived(std::string data) override
    {
        body += data;
    }
    void exchangeDone(bool isConnectionReusable) override
    {
        isDone = true;
        isReusable = isConnectionReusable;
    }
    void exchangeFailed(ExchangeFailure reason) override
    {
        failure = reason;
    }

    int status = 0;
    std::string body;
    bool isDone = false;
    bool isReusable = false;
    std::optional<ExchangeFailure> failure;
};

/** Sends a long request and runs the loop until its exchange has ended; `connection` stays open. */
Listener exchangeLongRequest(EventLoop &loop, HttpClientConnection &connection, std::size_t bodyBytes = LONG_BODY_BYTES)
{
    HttpRequestHead head{"POST", "/", {}};
    head.fields.add("Host", "h.example");
    Listener listener;
    connection.send(head, std::string(bodyBytes, 'r'), &listener);
    const TimePoint end = monotonicTime() + TIMEOUT;
    while (!listener.isDone && !listener.failure && monotonicTime() < end) {
        loop.runOnce(milliseconds(20));
    }
    return listener;
}

std::string readHead(Poco::Net::StreamSocket &connection)
{
    std::string out;
    char byte = 0;
    while (out.find("\r\n\r\n") == std::string::npos && connection.receiveBytes(&byte, 1) == 1) {
        out += byte;
    }
    return out;
}

std::size_t readBody(Poco::Net::StreamSocket &connection, std::size_t size)
{
    std::size_t out = 0;
    char bytes[16384];
    int count = 0;
    connection.setReceiveTimeout(Poco::Timespan(2, 0));
    while (out < size && (count = connection.receiveBytes(bytes, sizeof(bytes))) > 0) {
        out += static_cast<std::size_t>(count);
    }
    return out;
}

void sendText(Poco::Net::StreamSocket &connection, const std::string &text)
{
    connection.sendBytes(text.data(), static_cast<int>(text.size()));
}

}

// The rest of a request was dropped, and its connection went on, if a send right after connecting would have blocked.
TEST_CASE("a request is sent whole if the operating system takes only a part of it at first")
{
    std::size_t received = 0;
    SlowServer server([&received](Poco::Net::StreamSocket &connection) {
        readHead(connection);
        std::this_thread::sleep_for(milliseconds(100));
        received = readBody(connection, LONG_BODY_BYTES);
        sendText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    EventLoop loop;
    HttpClientConnection connection(loop, server.address(), LIMITS, TIMEOUT);
    const Listener listener = exchangeLongRequest(loop, connection);
    CHECK(listener.isDone);
    CHECK(listener.isReusable);
    CHECK(listener.status == 200);
    CHECK(received == LONG_BODY_BYTES);
}

// The next request would wait behind the rest of the one before, which the server may never read.
TEST_CASE("a connection isn't used again if the server has responded before it made room for the whole request")
{
    // The smaller body is in the buffers of the operating system, the larger one in part only.
    for (const std::size_t bodyBytes : {SHORT_BODY_BYTES, LONG_BODY_BYTES}) {
        CAPTURE(bodyBytes);
        SlowServer server([bodyBytes](Poco::Net::StreamSocket &connection) {
            readHead(connection);
            sendText(connection, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
            std::this_thread::sleep_for(milliseconds(300));
            readBody(connection, bodyBytes);
        });
        EventLoop loop;
        HttpClientConnection connection(loop, server.address(), LIMITS, TIMEOUT);
        const Listener listener = exchangeLongRequest(loop, connection, bodyBytes);
        CHECK(listener.isDone);
        CHECK(listener.status == 503);
        CHECK(connection.undeliveredBytes() > 0);
        CHECK((connection.unsentBytes() > 0 || bodyBytes == SHORT_BODY_BYTES));
        CHECK_FALSE(listener.isReusable);
    }
}

// The failed send of the rest of the request took the error of the reset, so the end of the response looked orderly.
TEST_CASE("a response without a length isn't complete if the connection is reset while the request is being sent")
{
    SlowServer server([](Poco::Net::StreamSocket &connection) {
        readHead(connection);
        sendText(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part");
        std::this_thread::sleep_for(milliseconds(50));
        // The connection is reset, as bytes of the request are unread.
        connection.close();
    });
    EventLoop loop;
    HttpClientConnection connection(loop, server.address(), LIMITS, TIMEOUT);
    const Listener listener = exchangeLongRequest(loop, connection);
    CHECK_FALSE(listener.isDone);
    CHECK(listener.failure == ExchangeFailure::ConnectionLost);
}

// The end of the response came before the reset, so a part of it was taken for the whole.
TEST_CASE("a response without a length isn't complete if the server ends it before it has received the request")
{
    // The smaller body is in the buffers of the operating system, the larger one in part only.
    for (const std::size_t bodyBytes : {SHORT_BODY_BYTES, LONG_BODY_BYTES}) {
        CAPTURE(bodyBytes);
        SlowServer server([](Poco::Net::StreamSocket &connection) {
            readHead(connection);
            sendText(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part");
            connection.shutdownSend();
            std::this_thread::sleep_for(milliseconds(300));
        });
        EventLoop loop;
        HttpClientConnection connection(loop, server.address(), LIMITS, TIMEOUT);
        const Listener listener = exchangeLongRequest(loop, connection, bodyBytes);
        CHECK_FALSE(listener.isDone);
        CHECK(listener.failure == ExchangeFailure::ConnectionLost);
    }
}

TEST_CASE("a response without a length is complete if the server ends it after it has received the request")
{
    SlowServer server([](Poco::Net::StreamSocket &connection) {
        readHead(connection);
        readBody(connection, LONG_BODY_BYTES);
        sendText(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole");
    });
    EventLoop loop;
    HttpClientConnection connection(loop, server.address(), LIMITS, TIMEOUT);
    const Listener listener = exchangeLongRequest(loop, connection);
    CHECK(listener.isDone);
    CHECK(listener.body == "whole");
}

// The response to a request that wasn't sent whole could still be read, and the connection kept.
TEST_CASE("the blocking client closes a connection over which a request wasn't sent whole")
{
    std::string received;
    {
        SlowServer server([&received](Poco::Net::StreamSocket &connection) {
            readHead(connection);
            sendText(connection, "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
            std::this_thread::sleep_for(milliseconds(1500));
            connection.setReceiveTimeout(Poco::Timespan(1, 0));
            char bytes[16384];
            int count = 0;
            while ((count = connection.receiveBytes(bytes, sizeof(bytes))) > 0) {
                received.append(bytes, static_cast<std::size_t>(count));
            }
        });
        HttpRequest request;
        request.method = "POST";
        request.body.assign(HUGE_BODY_BYTES, 'r');
        HttpConnection connection(server.address(), {milliseconds(500), milliseconds(300)});
        CHECK_THROWS_AS(connection.exchange(request), ExchangeBrokenError);
        request.body = "of another request";
        CHECK_THROWS_AS(connection.exchange(request), ExchangeBrokenError);
    }
    CHECK(received.find_first_not_of('r') == std::string::npos);
}
