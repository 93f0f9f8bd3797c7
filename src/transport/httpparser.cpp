/** \file
 * Implements the HTTP parser with the incremental parser of Boost.Beast.
 */
#include "httpparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace Cyclamenturn
{

namespace Http = boost::beast::http;

namespace
{

constexpr int BAD_REQUEST = 400;
constexpr int BODY_TOO_LARGE = 413;
constexpr int HEADER_TOO_LARGE = 431;
constexpr int NOT_IMPLEMENTED = 501;
/** Statuses outside of this range are invalid (RFC 9110, 15). */
constexpr int MIN_STATUS = 100;
constexpr int MAX_STATUS = 599;

std::string toStdString(boost::beast::string_view view)
{
    return std::string(view.data(), view.size());
}

int statusFor(const boost::system::error_code &error)
{
    if (error == Http::error::header_limit) {
        return HEADER_TOO_LARGE;
    }
    return error == Http::error::body_limit ? BODY_TOO_LARGE : BAD_REQUEST;
}

}

class HttpParser::Implementation
{
public:
    virtual ~Implementation() = default;
    virtual void consume(std::string &input) = 0;
    virtual bool finishAtEof() = 0;
    virtual bool isStarted() const = 0;
    virtual bool isHeadDone() const = 0;
    virtual bool isDone() const = 0;
    virtual bool isKeepAlive() const = 0;
    virtual bool isFramed() const = 0;

    HttpRequestHead request;
    HttpResponseHead response;
    std::string body;
    std::size_t bodyBytes = 0;
    std::size_t headMemory = 0;
};

template<bool isRequest>
class HttpParser::BeastParser : public HttpParser::Implementation, private Http::basic_parser<isRequest>
{
    using Base = Http::basic_parser<isRequest>;
    using ErrorCode = boost::beast::error_code;
    using View = boost::beast::string_view;

public:
    BeastParser(const HttpLimits &limits, bool headOnly)
        : m_maxUnparsedBytes(limits.headerBytes)
        , m_maxBodyBytes(limits.bodyBytes)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        this->body_limit(limits.bodyBytes);
        this->skip(headOnly);
    }

    void consume(std::string &input) override
    {
        std::size_t consumed = 0;
        while (consumed < input.size() && !this->is_done()) {
            ErrorCode error;
            const std::size_t count
                = this->put(boost::asio::const_buffer(input.data() + consumed, input.size() - consumed), error);
            consumed += count;
            if (error == Http::error::need_more) {
                break;
            }
            if (error) {
                throw HttpSyntaxError(error.message(), statusFor(error));
            }
            if (count == 0) {
                break;
            }
        }
        input.erase(0, consumed);
        // A line between two chunks, for example, which Beast keeps until it is complete.
        if (!this->is_done() && input.size() > m_maxUnparsedBytes) {
            throw HttpSyntaxError("a line of the body is too long", BODY_TOO_LARGE);
        }
    }

    bool finishAtEof() override
    {
        if (this->is_done()) {
            return true;
        }
        if (!this->is_header_done() || !this->need_eof()) {
            return false;
        }
        ErrorCode error;
        this->put_eof(error);
        return !error && this->is_done();
    }

    bool isStarted() const override
    {
        return this->got_some();
    }
    bool isHeadDone() const override
    {
        return this->is_header_done();
    }
    bool isDone() const override
    {
        return this->is_done();
    }
    bool isKeepAlive() const override
    {
        return this->is_header_done() && this->keep_alive();
    }
    bool isFramed() const override
    {
        return !this->need_eof();
    }

private:
    void on_request_impl(Http::verb, View method, View target, int version, ErrorCode &) override
    {
        if (version != 11 && version != 10) {
            throw HttpSyntaxError("HTTP version isn't 1.0 or 1.1", BAD_REQUEST);
        }
        request.method = toStdString(method);
        request.target = toStdString(target);
    }
    void on_response_impl(int code, View reason, int, ErrorCode &) override
    {
        if (code < MIN_STATUS || code > MAX_STATUS) {
            throw HttpSyntaxError("the status isn't between 100 and 599", BAD_REQUEST);
        }
        response.status = code;
        response.reason = toStdString(reason);
    }
    void on_field_impl(Http::field, View name, View value, ErrorCode &) override
    {
        HttpFields &fields = isRequest ? request.fields : response.fields;
        fields.add(toStdString(name), toStdString(value));
        // Short fields take much more than their bytes.
        headMemory += sizeof(HttpField) + name.size() + value.size();
    }
    void on_header_impl(ErrorCode &) override
    {
        const HttpFields &fields = isRequest ? request.fields : response.fields;
        // Servers interpret a length that is stated twice differently, which allows request smuggling: one request
        // hides another in its body.
        const std::size_t encodings = fields.count("Transfer-Encoding");
        const std::size_t lengths = fields.count("Content-Length");
        if (encodings + lengths > 1) {
            throw HttpSyntaxError("the length of the body is stated twice", BAD_REQUEST);
        }
        if (encodings == 1 && !equalsIgnoringCase(*fields.find("Transfer-Encoding"), "chunked")) {
            throw HttpSyntaxError("a transfer encoding other than chunked", NOT_IMPLEMENTED);
        }
        long long length = 0;
        if (lengths == 1 && !parseDecimal(*fields.find("Content-Length"), length)) {
            throw HttpSyntaxError("the length of the body isn't a number", BAD_REQUEST);
        }
        if (isRequest && fields.count("Host") != 1) {
            throw HttpSyntaxError("not exactly one Host field", BAD_REQUEST);
        }
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &) override
    {
        // A body that grows would be copied several times. Memory that isn't written to isn't in use.
        if (isRequest && length) {
            body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, m_maxBodyBytes)));
        }
    }
    std::size_t on_body_impl(View data, ErrorCode &) override
    {
        return append(data);
    }
    void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, View data, ErrorCode &) override
    {
        return append(data);
    }
    void on_finish_impl(ErrorCode &) override
    {
    }

    std::size_t append(View data)
    {
        body.append(data.data(), data.size());
        bodyBytes += data.size();
        return data.size();
    }

    std::size_t m_maxUnparsedBytes;
    std::size_t m_maxBodyBytes;
};

HttpParser::HttpParser(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}
HttpParser::HttpParser(HttpParser &&) noexcept = default;
HttpParser &HttpParser::operator=(HttpParser &&) noexcept = default;
HttpParser::~HttpParser() = default;

HttpParser HttpParser::forRequest(const HttpLimits &limits)
{
    return HttpParser(std::make_unique<BeastParser<true>>(limits, false));
}

HttpParser HttpParser::forResponse(const HttpLimits &limits, bool headOnly)
{
    return HttpParser(std::make_unique<BeastParser<false>>(limits, headOnly));
}

void HttpParser::consume(std::string &input)
{
    m_implementation->consume(input);
}
bool HttpParser::finishAtEof()
{
    return m_implementation->finishAtEof();
}
bool HttpParser::isStarted() const
{
    return m_implementation->isStarted();
}
bool HttpParser::isHeadDone() const
{
    return m_implementation->isHeadDone();
}
bool HttpParser::isDone() const
{
    return m_implementation->isDone();
}
bool HttpParser::isKeepAlive() const
{
    return m_implementation->isKeepAlive();
}
bool HttpParser::isFramed() const
{
    return m_implementation->isFramed();
}
HttpRequestHead &HttpParser::request()
{
    return m_implementation->request;
}
HttpResponseHead &HttpParser::response()
{
    return m_implementation->response;
}
std::string HttpParser::takeBody()
{
    std::string out;
    out.swap(m_implementation->body);
    return out;
}
std::size_t HttpParser::headMemory() const
{
    return m_implementation->headMemory;
}
std::size_t HttpParser::untakenBytes() const
{
    return m_implementation->body.size();
}
std::size_t HttpParser::bodyBytes() const
{
    return m_implementation->bodyBytes;
}

}
