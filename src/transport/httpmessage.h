/** \file
 * HTTP message heads as values, with the field operations that forwarding needs.
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

/** Compares field names and tokens, which ignore case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** The fields of one message in the order in which they arrived. */
class HttpFields
{
public:
    void add(std::string name, std::string value);
    /** Returns the value of the first field of that name, or null. */
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void remove(std::string_view name);
    /** Whether the comma-separated values of `name` hold `token`. */
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

struct HttpResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
};

/** Returns the fields without those that concern one connection only (RFC 9110, 7.6.1). */
HttpFields endToEndFields(const HttpFields &fields);

/** Writes a head with its empty line. The caller adds the fields that frame the body. */
std::string formatRequestHead(const HttpRequestHead &head);
std::string formatResponseHead(const HttpResponseHead &head);
/** Frames one piece of a chunked body. */
std::string formatChunk(std::string_view piece);
extern const std::string_view LAST_CHUNK;

/** Reads a whole decimal number without sign. Returns false for anything else, also on overflow. */
bool parseDecimal(std::string_view text, long long &value);

}
