/** \file
 * Fleet keys and hashes of keys.
 */
#include "fleetkey.h"

#include "errors.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <fstream>

namespace Cyclamenturn
{

namespace
{

constexpr std::size_t MIN_KEY_LENGTH = 16;
constexpr std::size_t MAX_KEYS = 2;

Poco::DigestEngine::Digest digestOf(const std::string &text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return engine.digest();
}

bool equalInConstantTime(const std::string &a, const std::string &b)
{
    return Poco::DigestEngine::constantTimeEquals(digestOf(a), digestOf(b));
}

}

FleetKey::FleetKey(std::string fileName)
    : m_fileName(std::move(fileName))
    , m_keys(readKeys(m_fileName))
{
}

std::vector<std::string> FleetKey::readKeys(const std::string &fileName)
{
    std::ifstream in(fileName);
    std::vector<std::string> keys;
    std::string line;
    while (std::getline(in, line)) {
        if (!line.empty()) {
            keys.push_back(line);
        }
    }
    const bool usable = !keys.empty() && keys.size() <= MAX_KEYS;
    for (const auto &key : keys) {
        if (key.size() < MIN_KEY_LENGTH) {
            throw UserError(fileName + ": a fleet key needs at least 16 characters");
        }
    }
    if (!usable) {
        throw UserError(fileName + ": must be readable and hold one or two keys, one per line");
    }
    return keys;
}

std::string FleetKey::current() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_keys.front();
}

bool FleetKey::accepts(const std::string &presentedKey) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    bool accepted = false;
    for (const auto &key : m_keys) {
        accepted = equalInConstantTime(key, presentedKey) || accepted;
    }
    return accepted;
}

bool FleetKey::reload()
{
    std::vector<std::string> keys;
    try {
        keys = readKeys(m_fileName);
    } catch (const UserError &) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool changed = keys != m_keys;
    m_keys = std::move(keys);
    return changed;
}

std::string sha256Hex(const std::string &text)
{
    return Poco::DigestEngine::digestToHex(digestOf(text));
}

std::string bearerToken(const std::string &header)
{
    static const std::string PREFIX = "Bearer ";
    return header.compare(0, PREFIX.size(), PREFIX) == 0 ? header.substr(PREFIX.size()) : std::string();
}

}
