/** \file
 * The key that processes of one fleet show each other. The file may hold two keys, so that it can be changed under
 * load: the first is shown, either is accepted.
 */
#pragma once

#include "timepoint.h"

#include <mutex>
#include <string>
#include <vector>

namespace Cyclamenturn
{

class FleetKey
{
public:
    /** Throws UserError when the file can't be read or holds no key of at least 16 characters. */
    explicit FleetKey(std::string fileName);

    /** The key to show. */
    std::string current() const;
    /** Compares in a time that doesn't depend on where the keys differ. */
    bool accepts(const std::string &presentedKey) const;
    /** Reads the file again; keeps the keys in use when it can't be read. Returns true when they changed. */
    bool reload();

private:
    static std::vector<std::string> readKeys(const std::string &fileName);

    std::string m_fileName;
    mutable std::mutex m_mutex;
    /** One or two keys. */
    std::vector<std::string> m_keys;
};

/** The SHA-256 of a text in lower-case hexadecimal; keys of teams are stored in this form. */
std::string sha256Hex(const std::string &text);

/** Reads the token of an "Authorization: Bearer TOKEN" header; empty when it has another form. */
std::string bearerToken(const std::string &header);

}
