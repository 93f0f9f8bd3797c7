/** \file
 * The key with which the processes of one fleet authenticate to each other. The key file may hold two keys, so that the
 * key can be changed under load: the first one is sent, and both are accepted.
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
    /** Throws UserError unless the file can be read and holds one or two keys of at least 16 characters. */
    explicit FleetKey(std::string fileName);

    /** The key to send. */
    std::string current() const;
    /** Compares in constant time: the time doesn't depend on where the keys differ. */
    bool accepts(const std::string &presentedKey) const;
    /** Reads the file again; keeps the current keys if that fails. Returns true if the keys changed. */
    bool reload();

private:
    static std::vector<std::string> readKeys(const std::string &fileName);

    std::string m_fileName;
    mutable std::mutex m_mutex;
    /** One or two keys. */
    std::vector<std::string> m_keys;
};

/** The SHA-256 hash of a text in lower-case hexadecimal. The keys of teams are stored in this form. */
std::string sha256Hex(const std::string &text);

/** Returns the token of an "Authorization: Bearer TOKEN" header; empty if the header has another form. */
std::string bearerToken(const std::string &header);

}
