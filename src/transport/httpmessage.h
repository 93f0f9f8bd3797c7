/** \file
 * HTTP message heads as value types, with the operations on their fields that forwarding needs.
 */
#pragma once

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Cyclamenturn
{

struct HttpField
{
    std::string name;
    std::string value;

    bool operator==(const HttpField &other) const
    {
        return std::tie(name, value) == std::tie(other.name, other.value);
    }
};

/** Compares field names or tokens, which are case-insensitive in HTTP. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** The fields of one message, in the order in which they were received or added. */
class HttpFields
{
public:
    void add(std::string name, std::string value);
    /** Returns the value of the first field called `name`, or null. */
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void remove(std::string_view name);
    /** Returns whether a field called `name` has `token` in its comma-separated list of values. */
    bool hasToken(std::string_view name, std::string_view token) const;
    const std::vector<HttpField> &all() const
    {
        return m_fields;
    }

    bool operator==(const HttpFields &other) const
    {
        return m_fields == other.m_fields;
    }

private:
    std::vector<HttpField> m_fields;
};

struct HttpRequestHead
{
    std::string method;
    std::string target;
    HttpFields fields;
};

inline bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
};

/** Returns the fields that may be forwarded, without those that apply to one connection only (RFC 9110, 7.6.1). */
HttpFields endToEndFields(const HttpFields &fields);

/** Formats a head including the empty line at its end. The caller adds the fields that frame the body. */
std::string formatRequestHead(const HttpRequestHead &head);
std::string formatResponseHead(const HttpResponseHead &head);
/** Formats `data` as one chunk of a chunked body. */
std::string formatChunk(std::string_view data);
/** Ends a chunked body. */
extern const std::string_view LAST_CHUNK;

/** Parses a decimal number without a sign. Returns false if `text` is anything else, or if the number overflows. */
bool parseDecimal(std::string_view text, long long &value);

}
