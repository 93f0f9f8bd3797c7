/** \file
 * Typed and validated access to TOML tables. Error messages name the file, the line, the key and the allowed values.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace Cyclamenturn
{

/**
 * Reads and validates a TOML table. Read every known key, then call finish(), which rejects all other keys.
 * Accessors with a default value return it if the key is missing.
 *
 * Example:
 *     CheckedTable table(document, "fleet.toml", "class");
 *     const auto tier = table.integer("tier", 0, 3);
 *     table.finish();
 */
class CheckedTable
{
public:
    CheckedTable(const toml::table &table, std::string fileName, std::string path);

    /** Throws UserError if the key is missing, has another type or is outside [minimum, maximum]. */
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    double number(const std::string &key, double minimum, double maximum, double defaultValue);
    /** A non-empty string. */
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &defaultValue);
    /** A string that must be one of `allowed`. */
    std::string choice(const std::string &key, const std::vector<std::string> &allowed);
    std::string choice(
        const std::string &key, const std::vector<std::string> &allowed, const std::string &defaultValue);
    bool boolean(const std::string &key, bool defaultValue);
    /** A duration that is written as an integer number of milliseconds. */
    Duration duration(const std::string &key, std::int64_t minimumMs, std::int64_t maximumMs, std::int64_t defaultMs);
    std::vector<std::string> stringArray(const std::string &key);
    /** An IP number and a port, written as HOST:PORT. */
    Address address(const std::string &key);
    Address address(const std::string &key, const Address &defaultValue);

    bool has(const std::string &key) const;
    /** The table under `key`; an empty one if the key is missing. */
    CheckedTable table(const std::string &key);
    /** The tables of the array under `key`; empty if the key is missing. */
    std::vector<CheckedTable> tables(const std::string &key);
    const toml::table &raw() const;

    /** Throws UserError if the table has a key that no accessor has requested. */
    void finish() const;

    /** Throws UserError with the file, the line and the full path of `key`; `allowed` says which values are allowed. */
    [[noreturn]] void fail(const std::string &key, const std::string &allowed) const;

private:
    const toml::node *find(const std::string &key);

    const toml::table *m_table;
    std::string m_fileName;
    std::string m_path;
    /** Keys that an accessor has requested, whether the table has them or not. */
    std::set<std::string> m_requestedKeys;
};

/** Parses TOML text. Throws UserError with the line and with `fileName`, which is used in messages only. */
toml::table parseToml(const std::string &text, const std::string &fileName);

/** Reads a whole file. Throws UserError if it can't be read. */
std::string readTextFile(const std::string &fileName);

/** Reads and parses a TOML file. Throws UserError if it can't be read or parsed. */
toml::table parseTomlFile(const std::string &fileName);

}
