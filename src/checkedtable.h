/** \file
 * Typed, checked reading of TOML tables: each failure names file, line, key and what is allowed.
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
 * One TOML table under validation. Read every known key, then call finish(), which refuses the keys that nobody read.
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

    /** Throws UserError when the key is missing, has another type or lies outside [least, most]. */
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    double number(const std::string &key, double minimum, double maximum, double defaultValue);
    /** A string that isn't empty. */
    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &defaultValue);
    /** A string out of a closed set. */
    std::string choice(const std::string &key, const std::vector<std::string> &allowed);
    std::string choice(
        const std::string &key, const std::vector<std::string> &allowed, const std::string &defaultValue);
    bool boolean(const std::string &key, bool defaultValue);
    /** An integer key in milliseconds. */
    Duration duration(const std::string &key, std::int64_t minimumMs, std::int64_t maximumMs, std::int64_t defaultMs);
    std::vector<std::string> stringArray(const std::string &key);
    /** An IP address with a port, written HOST:PORT. */
    Address address(const std::string &key);
    Address address(const std::string &key, const Address &defaultValue);

    bool has(const std::string &key) const;
    /** A sub-table; an empty one when the key is absent. */
    CheckedTable table(const std::string &key);
    /** The tables of an array of tables; empty when the key is absent. */
    std::vector<CheckedTable> tables(const std::string &key);
    const toml::table &raw() const;

    /** Throws UserError on a key that was never read. */
    void finish() const;

    /** Throws UserError at the position of `key`. */
    [[noreturn]] void fail(const std::string &key, const std::string &allowed) const;

private:
    const toml::node *find(const std::string &key);

    const toml::table *m_table;
    std::string m_fileName;
    std::string m_path;
    /** Every key that a reader has asked for. */
    std::set<std::string> m_requestedKeys;
};

/** Parses TOML text. Throws UserError with file and line. */
toml::table parseToml(const std::string &text, const std::string &fileName);

/** Reads a whole file. Throws UserError when it can't be read. */
std::string readTextFile(const std::string &fileName);

/** Reads and parses a TOML file. Throws UserError when it can't be read or parsed. */
toml::table parseTomlFile(const std::string &fileName);

}
