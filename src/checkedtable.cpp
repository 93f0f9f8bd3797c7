/** \file
 * Validated access to TOML tables.
 */
#include "checkedtable.h"

#include "errors.h"

#include <fstream>
#include <sstream>

namespace Cyclamenturn
{

namespace
{

const toml::table EMPTY_TABLE;

std::string joined(const std::vector<std::string> &words)
{
    std::string out;
    for (const auto &word : words) {
        out += (out.empty() ? "" : ", ") + word;
    }
    return out;
}

}

CheckedTable::CheckedTable(const toml::table &table, std::string fileName, std::string path)
    : m_table(&table)
    , m_fileName(std::move(fileName))
    , m_path(std::move(path))
{
}

const toml::node *CheckedTable::find(const std::string &key)
{
    m_requestedKeys.insert(key);
    return m_table->get(key);
}

Address CheckedTable::address(const std::string &key)
{
    const std::string value = text(key);
    try {
        return addressFromString(value);
    } catch (const UserError &error) {
        fail(key, error.what());
    }
}

Address CheckedTable::address(const std::string &key, const Address &defaultValue)
{
    return find(key) ? address(key) : defaultValue;
}

bool CheckedTable::has(const std::string &key) const
{
    return m_table->contains(key);
}

void CheckedTable::fail(const std::string &key, const std::string &allowed) const
{
    const toml::node *node = m_table->get(key);
    const auto line = node ? node->source().begin.line : m_table->source().begin.line;
    const std::string fullKey = m_path.empty() ? key : m_path + "." + key;
    throw UserError(m_fileName + ":" + std::to_string(line) + ": key '" + fullKey + "': " + allowed);
}

std::int64_t CheckedTable::integer(const std::string &key, std::int64_t minimum, std::int64_t maximum)
{
    const std::string allowed = "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const toml::node *node = find(key);
    if (!node || !node->is_integer()) {
        fail(key, allowed);
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < minimum || value > maximum) {
        fail(key, allowed);
    }
    return value;
}

std::int64_t CheckedTable::integer(
    const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    return find(key) ? integer(key, minimum, maximum) : defaultValue;
}

double CheckedTable::number(const std::string &key, double minimum, double maximum, double defaultValue)
{
    const toml::node *node = find(key);
    if (!node) {
        return defaultValue;
    }
    const auto value = node->value<double>();
    if (!value || *value < minimum || *value > maximum) {
        fail(key, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *value;
}

std::string CheckedTable::text(const std::string &key)
{
    const toml::node *node = find(key);
    if (!node || !node->is_string() || node->as_string()->get().empty()) {
        fail(key, "must be a string that isn't empty");
    }
    return node->as_string()->get();
}

std::string CheckedTable::text(const std::string &key, const std::string &defaultValue)
{
    return find(key) ? text(key) : defaultValue;
}

std::string CheckedTable::choice(const std::string &key, const std::vector<std::string> &allowed)
{
    const toml::node *node = find(key);
    if (node && node->is_string()) {
        for (const auto &word : allowed) {
            if (word == node->as_string()->get()) {
                return word;
            }
        }
    }
    fail(key, "must be one of: " + joined(allowed));
}

std::string CheckedTable::choice(
    const std::string &key, const std::vector<std::string> &allowed, const std::string &defaultValue)
{
    return find(key) ? choice(key, allowed) : defaultValue;
}

bool CheckedTable::boolean(const std::string &key, bool defaultValue)
{
    const toml::node *node = find(key);
    if (!node) {
        return defaultValue;
    }
    if (!node->is_boolean()) {
        fail(key, "must be true or false");
    }
    return node->as_boolean()->get();
}

Duration CheckedTable::duration(
    const std::string &key, std::int64_t minimumMs, std::int64_t maximumMs, std::int64_t defaultMs)
{
    return milliseconds(integer(key, minimumMs, maximumMs, defaultMs));
}

std::vector<std::string> CheckedTable::stringArray(const std::string &key)
{
    const toml::node *node = find(key);
    std::vector<std::string> out;
    if (!node) {
        return out;
    }
    if (!node->is_array()) {
        fail(key, "must be an array of strings");
    }
    for (const auto &item : *node->as_array()) {
        if (!item.is_string()) {
            fail(key, "must be an array of strings");
        }
        out.push_back(item.as_string()->get());
    }
    return out;
}

CheckedTable CheckedTable::table(const std::string &key)
{
    const toml::node *node = find(key);
    const std::string path = m_path.empty() ? key : m_path + "." + key;
    if (!node) {
        return CheckedTable(EMPTY_TABLE, m_fileName, path);
    }
    if (!node->is_table()) {
        fail(key, "must be a table");
    }
    return CheckedTable(*node->as_table(), m_fileName, path);
}

std::vector<CheckedTable> CheckedTable::tables(const std::string &key)
{
    const toml::node *node = find(key);
    std::vector<CheckedTable> out;
    if (!node) {
        return out;
    }
    if (!node->is_array_of_tables()) {
        fail(key, "must be an array of tables, written [[" + key + "]]");
    }
    for (const auto &item : *node->as_array()) {
        out.emplace_back(*item.as_table(), m_fileName, m_path.empty() ? key : m_path + "." + key);
    }
    return out;
}

const toml::table &CheckedTable::raw() const
{
    return *m_table;
}

void CheckedTable::finish() const
{
    for (const auto &[key, node] : *m_table) {
        const std::string name(key.str());
        if (m_requestedKeys.count(name) == 0) {
            fail(name, "unknown key; known here: " + joined({m_requestedKeys.begin(), m_requestedKeys.end()}));
        }
    }
}

toml::table parseToml(const std::string &text, const std::string &fileName)
{
    try {
        return toml::parse(text, fileName);
    } catch (const toml::parse_error &error) {
        throw UserError(
            fileName + ":" + std::to_string(error.source().begin.line) + ": " + std::string(error.description()));
    }
}

std::string readTextFile(const std::string &fileName)
{
    std::ifstream in(fileName);
    if (!in) {
        throw UserError(fileName + ": can't be read; check the path and its permissions");
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

toml::table parseTomlFile(const std::string &fileName)
{
    return parseToml(readTextFile(fileName), fileName);
}

}
