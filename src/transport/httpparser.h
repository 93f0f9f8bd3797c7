/** \file
 * Strict incremental parser for HTTP/1.1 messages, based on Boost.Beast. It accepts the input in parts of any size and
 * makes the head and the body data available as soon as they are validated.
 */
#pragma once

#include "httpmessage.h"

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace Cyclamenturn
{

/**
 * The input is not a valid HTTP message, or its framing is ambiguous. `status` is the status code to send to a client
 * whose request caused the error.
 */
class HttpSyntaxError : public std::runtime_error
{
public:
    HttpSyntaxError(const std::string &what, int status)
        : std::runtime_error(what)
        , m_status(status)
    {
    }
    int status() const
    {
        return m_status;
    }

private:
    int m_status;
};

struct HttpLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
};

/** Parses one message. Use a new parser for the next message on the connection. */
class HttpParser
{
public:
    static HttpParser forRequest(const HttpLimits &limits);
    /** `headOnly`: the response belongs to a HEAD request, so that no body follows even if the head states a length. */
    static HttpParser forResponse(const HttpLimits &limits, bool headOnly);

    HttpParser(HttpParser &&) noexcept;
    HttpParser &operator=(HttpParser &&) noexcept;
    ~HttpParser();

    /** Parses `input` and removes the parsed bytes from its front. Throws HttpSyntaxError. */
    void consume(std::string &input);
    /**
     * Must be called when the peer has closed the connection in an orderly way. Completes a body whose end is marked by
     * the end of the connection. Returns whether the message is complete.
     */
    bool finishAtEof();

    /** Whether at least one byte has been parsed. */
    bool isStarted() const;
    bool isHeadDone() const;
    bool isDone() const;
    /** Whether the message allows another message on the same connection. */
    bool isKeepAlive() const;
    /** Whether the end of the body is marked by its length or by a last chunk, not by the end of the connection. */
    bool isFramed() const;

    HttpRequestHead &request();
    HttpResponseHead &response();
    /** Returns the body bytes that were parsed since the last call. */
    std::string takeBody();
    /** Memory that the head takes, from its end on. */
    std::size_t headMemory() const;
    /** Number of body bytes that takeBody() would return. */
    std::size_t untakenBytes() const;
    /** Total number of body bytes parsed so far. */
    std::size_t bodyBytes() const;

private:
    class Implementation;
    template<bool isRequest>
    class BeastParser;
    explicit HttpParser(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

}
