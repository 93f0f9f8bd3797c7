/** \file
 * Validated JSON access based on jsoncpp.
 */
#include "jsoncodec.h"

#include "errors.h"

#include <memory>

namespace Cyclamenturn
{

namespace
{

/** Maximum nesting depth. Deeper documents are rejected before they can exhaust the stack. */
constexpr int STACK_LIMIT = 64;

Json::CharReaderBuilder strictReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = STACK_LIMIT;
    return builder;
}

Json::StreamWriterBuilder compactWriter()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
}

}

Json::Value parseJson(const std::string &text)
{
    static const Json::CharReaderBuilder BUILDER = strictReader();
    const std::unique_ptr<Json::CharReader> reader(BUILDER.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
            return value;
        }
    } catch (const Json::Exception &error) {
        errors = error.what();
    }
    throw UserError("broken JSON: " + errors);
}

std::string toJsonText(const Json::Value &value)
{
    static const Json::StreamWriterBuilder BUILDER = compactWriter();
    return Json::writeString(BUILDER, value);
}

JsonObject::JsonObject(const Json::Value &value)
    : m_value(value)
{
    if (!m_value.isObject()) {
        throw UserError("a JSON object is expected");
    }
}

bool JsonObject::has(const std::string &name) const
{
    return m_value.isMember(name);
}

const Json::Value &JsonObject::require(const std::string &name, bool hasExpectedType, const char *type) const
{
    if (!has(name) || !hasExpectedType) {
        throw UserError("JSON member '" + name + "' must be " + type);
    }
    return m_value[name];
}

std::string JsonObject::text(const std::string &name) const
{
    return require(name, has(name) && m_value[name].isString(), "a string").asString();
}

std::string JsonObject::text(const std::string &name, const std::string &defaultValue) const
{
    return has(name) ? text(name) : defaultValue;
}

std::int64_t JsonObject::integer(const std::string &name) const
{
    return require(name, has(name) && m_value[name].isInt64(), "an integer").asInt64();
}

std::int64_t JsonObject::integer(const std::string &name, std::int64_t defaultValue) const
{
    return has(name) ? integer(name) : defaultValue;
}

double JsonObject::number(const std::string &name, double defaultValue) const
{
    return has(name) ? require(name, m_value[name].isNumeric(), "a number").asDouble() : defaultValue;
}

bool JsonObject::boolean(const std::string &name) const
{
    return require(name, has(name) && m_value[name].isBool(), "true or false").asBool();
}

bool JsonObject::boolean(const std::string &name, bool defaultValue) const
{
    return has(name) ? boolean(name) : defaultValue;
}

Json::Value JsonObject::array(const std::string &name) const
{
    if (!has(name)) {
        return Json::Value(Json::arrayValue);
    }
    return require(name, m_value[name].isArray(), "an array");
}

}
