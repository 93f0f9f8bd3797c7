/** \file
 * Typed and validated access to JSON objects in messages between processes and in stored values.
 */
#pragma once

#include <cstdint>
#include <json/json.h>
#include <string>

namespace Cyclamenturn
{

/** Parses strict JSON. Throws UserError with the parser's message. */
Json::Value parseJson(const std::string &text);

/** Writes compact JSON on one line. */
std::string toJsonText(const Json::Value &value);

/**
 * A JSON object with validated access. Each accessor throws UserError if the member is missing or has another type;
 * accessors with a default value return it if the member is missing.
 *
 * Example: `JsonObject(parseJson("{\"revision\": 3}")).integer("revision")` gives 3.
 */
class JsonObject
{
public:
    explicit JsonObject(const Json::Value &value);

    bool has(const std::string &name) const;
    std::string text(const std::string &name) const;
    std::string text(const std::string &name, const std::string &defaultValue) const;
    std::int64_t integer(const std::string &name) const;
    std::int64_t integer(const std::string &name, std::int64_t defaultValue) const;
    double number(const std::string &name, double defaultValue) const;
    bool boolean(const std::string &name) const;
    bool boolean(const std::string &name, bool defaultValue) const;
    /** An empty array if the member is missing. */
    Json::Value array(const std::string &name) const;
    const Json::Value &raw() const
    {
        return m_value;
    }

private:
    const Json::Value &require(const std::string &name, bool hasExpectedType, const char *type) const;

    Json::Value m_value;
};

}
