/** \file
 * Strict incremental parsing of HTTP/1.1 messages, over Boost.Beast. Bytes come in as they arrive; head and body come
 * out as soon as they are known to be sound.
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

/** The bytes are not an HTTP message, or its framing is ambiguous. `status` is the answer due to a client. */
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
    /** A response to HEAD has a head only, whatever length it states. */
    static HttpParser forResponse(const HttpLimits &limits, bool toHead);

    HttpParser(HttpParser &&) noexcept;
    HttpParser &operator=(HttpParser &&) noexcept;
    ~HttpParser();

    /** Takes bytes off the front of `input`. Throws HttpSyntaxError. */
    void consume(std::string &input);
    /** The connection ended in order: completes a body that is framed by the end. Returns whether it is whole. */
    bool finishAtEnd();

    bool isStarted() const;
    bool isHeadDone() const;
    bool isDone() const;
    /** Whether the message allows another one on its connection. */
    bool keepsConnection() const;
    /** Whether the body's end is marked by its length or a last chunk rather than by the end of the connection. */
    bool isFramed() const;

    HttpRequestHead &request();
    HttpResponseHead &response();
    /** Moves out the body bytes that came since the last call. */
    std::string takeBody();
    std::size_t bodyBytes() const;

private:
    class Implementation;
    template<bool isRequest>
    class Typed;
    explicit HttpParser(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

}
