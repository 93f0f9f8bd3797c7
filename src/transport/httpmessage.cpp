/** \file
 * Implements the HTTP message heads and the operations on their fields.
 */
#include "httpmessage.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace Cyclamenturn
{

const std::string_view LAST_CHUNK = "0\r\n\r\n";

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
        const auto lower = [](char c) {
            return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        };
        return lower(a) == lower(b);
    });
}

void HttpFields::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

const std::string *HttpFields::find(std::string_view name) const
{
    for (const auto &field : m_fields) {
        if (equalsIgnoringCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(m_fields.begin(), m_fields.end(),
        [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); }));
}

void HttpFields::remove(std::string_view name)
{
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(),
                       [name](const HttpField &field) { return equalsIgnoringCase(field.name, name); }),
        m_fields.end());
}

bool HttpFields::hasToken(std::string_view name, std::string_view token) const
{
    for (const auto &field : m_fields) {
        if (!equalsIgnoringCase(field.name, name)) {
            continue;
        }
        const Poco::StringTokenizer tokens(field.value, ",", Poco::StringTokenizer::TOK_TRIM);
        if (std::any_of(tokens.begin(), tokens.end(),
                [token](const std::string &item) { return equalsIgnoringCase(item, token); })) {
            return true;
        }
    }
    return false;
}

HttpFields endToEndFields(const HttpFields &fields)
{
    static constexpr std::string_view NOT_FORWARDED_FIELDS[]
        = {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
            "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "HTTP2-Settings"};
    HttpFields out;
    for (const auto &field : fields.all()) {
        const bool isNotForwarded = std::any_of(std::begin(NOT_FORWARDED_FIELDS), std::end(NOT_FORWARDED_FIELDS),
            [&field](std::string_view name) { return equalsIgnoringCase(field.name, name); });
        if (!isNotForwarded && !fields.hasToken("Connection", field.name)) {
            out.add(field.name, field.value);
        }
    }
    return out;
}

namespace
{

void appendFields(std::string &out, const HttpFields &fields)
{
    for (const auto &field : fields.all()) {
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    out.append("\r\n");
}

}

std::string formatRequestHead(const HttpRequestHead &head)
{
    std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
    appendFields(out, head.fields);
    return out;
}

std::string formatResponseHead(const HttpResponseHead &head)
{
    const std::string reason = head.reason.empty()
        ? Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status))
        : head.reason;
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " + reason + "\r\n";
    appendFields(out, head.fields);
    return out;
}

std::string formatChunk(std::string_view data)
{
    char size[20];
    const auto end = std::to_chars(size, size + sizeof(size), data.size(), 16).ptr;
    std::string out(size, end);
    out.append("\r\n").append(data).append("\r\n");
    return out;
}

bool parseDecimal(std::string_view text, long long &value)
{
    if (text.empty() || text.front() == '-') {
        return false;
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

}
