/** \file
 * Strict HTTP parsing: messages that two servers could interpret differently are rejected.
 */
#include "transport/httpparser.h"
#include "gateway/eventsplitter.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

constexpr HttpLimits LIMITS{512, 64};

/**
 * Parses the request in parts of `step` bytes. Returns the status code of the error, 200 if the request is complete, or
 * 0 if it is incomplete.
 */
int parseRequest(const std::string &bytes, std::size_t step)
{
    HttpParser parser = HttpParser::forRequest(LIMITS);
    std::string input;
    try {
        for (std::size_t i = 0; i < bytes.size(); i += step) {
            input += bytes.substr(i, step);
            parser.consume(input);
        }
    } catch (const HttpSyntaxError &error) {
        return error.status();
    }
    return parser.isDone() ? 200 : 0;
}

const std::string HOST = "Host: a\r\n";

}

TEST_CASE("requests with ambiguous framing are rejected, however the input is split")
{
    struct Case
    {
        const char *name;
        std::string bytes;
        int status;
    };
    const Case cases[] = {
        {"plain", "GET / HTTP/1.1\r\n" + HOST + "\r\n", 200},
        {"length", "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 2\r\n\r\nab", 200},
        {"chunked", "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200},
        {"chunk extension", "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\n\r\n",
            200},
        {"two lengths", "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400},
        {"two equal lengths", "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400},
        {"list of lengths", "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 2, 2\r\n\r\nab", 400},
        {"signed length", "POST / HTTP/1.1\r\n" + HOST + "Content-Length: +2\r\n\r\nab", 400},
        {"length and chunked",
            "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {"chunked and length",
            "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", 400},
        {"other encoding", "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501},
        {"encoding in a list", "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
        {"space before the colon", "POST / HTTP/1.1\r\n" + HOST + "Content-Length : 2\r\n\r\nab", 400},
        {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
        {"two hosts", "GET / HTTP/1.1\r\n" + HOST + HOST + "\r\n", 400},
        {"wrong chunk size", "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
            400},
        {"chunk longer than its size",
            "POST / HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400},
        {"body too large", "POST / HTTP/1.1\r\n" + HOST + "Content-Length: 65\r\n\r\n", 413},
        {"header too large", "GET / HTTP/1.1\r\n" + HOST + "X: " + std::string(600, 'x') + "\r\n\r\n", 431},
    };
    for (const auto &item : cases) {
        for (const std::size_t step : {std::size_t(1), std::size_t(7), item.bytes.size()}) {
            INFO(item.name << ", parts of " << step);
            CHECK(parseRequest(item.bytes, step) == item.status);
        }
    }
}

TEST_CASE("a truncated response is never complete")
{
    const std::string truncatedResponses[] = {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 200 OK\r\nContent-Le"};
    for (auto bytes : truncatedResponses) {
        HttpParser parser = HttpParser::forResponse(LIMITS, false);
        parser.consume(bytes);
        CHECK_FALSE(parser.isDone());
        CHECK_FALSE(parser.finishAtEof());
    }
    HttpParser unframed = HttpParser::forResponse(LIMITS, false);
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
    unframed.consume(bytes);
    CHECK_FALSE(unframed.isFramed());
    CHECK(unframed.finishAtEof());
    CHECK(unframed.takeBody() == "abc");
}

TEST_CASE("hop-by-hop fields are not forwarded")
{
    HttpFields fields;
    fields.add("Connection", "close, X-Hop");
    fields.add("X-Hop", "1");
    fields.add("Keep-Alive", "timeout=5");
    fields.add("Transfer-Encoding", "chunked");
    fields.add("Accept", "a/b");
    HttpFields expected;
    expected.add("Accept", "a/b");
    CHECK(endToEndFields(fields) == expected);
}

TEST_CASE("a line between chunks that doesn't end is refused at the limit of the header")
{
    HttpParser parser = HttpParser::forResponse({1000, 100000}, false);
    std::string input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    parser.consume(input);
    input += std::string(1000 - input.size(), 'x');
    parser.consume(input);
    input += "x";
    CHECK_THROWS_AS(parser.consume(input), HttpSyntaxError);
}

TEST_CASE("an event that doesn't end is reported as too long, and events across pieces are found")
{
    EventSplitter splitter;
    CHECK(splitter.add("data: 1\r\n\r").empty());
    CHECK(splitter.add("\ndata: 2\n") == std::vector<std::string>{"data: 1\r\n\r\n"});
    CHECK(splitter.add("\nrest") == std::vector<std::string>{"data: 2\n\n"});
    CHECK(splitter.rest() == "rest");
    splitter.clear();
    splitter.add(std::string(EventSplitter::MAX_EVENT_BYTES, 'x'));
    CHECK_FALSE(splitter.isTooLong());
    splitter.add("x");
    CHECK(splitter.isTooLong());
}

// A status below 100 was taken for that of an interim response, and the response that followed for the final one.
TEST_CASE("a response has a status between 100 and 599")
{
    const auto isAccepted = [](const std::string &status) {
        HttpParser parser = HttpParser::forResponse(LIMITS, false);
        std::string input = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n";
        try {
            parser.consume(input);
        } catch (const HttpSyntaxError &) {
            return false;
        }
        return parser.isDone();
    };
    for (const char *status : {"100", "199", "200", "404", "599"}) {
        CAPTURE(status);
        CHECK(isAccepted(status));
    }
    for (const char *status : {"000", "007", "099", "600", "999", "20", "1000", "2x0", "-20", ""}) {
        CAPTURE(status);
        CHECK_FALSE(isAccepted(status));
    }
}
