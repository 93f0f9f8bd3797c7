/** \file
 * Client of the platform's key-value store: compare-and-swap, prefix reads and watches, over HTTP and JSON.
 */
#pragma once

#include "address.h"
#include "timepoint.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamenturn
{

/** A value and the version that the store assigned to it. */
struct StoredValue
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

enum class SwapState {
    Written,
    /** The key has another version than expected; nothing was written. */
    Conflict,
    /** There was no usable response: the write may or may not have taken effect. */
    Unknown,
};

struct SwapResult
{
    SwapState state = SwapState::Unknown;
    /** The new version after a successful write; 0 otherwise. */
    std::uint64_t version = 0;
};

/**
 * Every method call counts as one call against the store's rate limits. Thread-safe.
 * Reads throw StoreUnavailableError if the store doesn't respond or its rate limit is exceeded.
 */
class StoreClient
{
public:
    StoreClient(Address address, Duration timeout);

    /** Returns nothing if the key doesn't exist. */
    std::optional<StoredValue> read(const std::string &key);
    std::vector<StoredValue> readPrefix(const std::string &prefix);

    /** Waits up to `maxWait` for a version other than `knownVersion`. Returns nothing if there is none. */
    std::optional<StoredValue> watch(const std::string &key, std::uint64_t knownVersion, Duration maxWait);

    /** Writes the value if the key has version `expectedVersion`; 0 means that the key must not exist. */
    SwapResult compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value);
    /** As compareAndSwap(), but with a lease: the store deletes the key after `lifetime`. */
    SwapResult compareAndSwapWithLease(
        const std::string &key, std::uint64_t expectedVersion, const std::string &value, Duration lifetime);
    void remove(const std::string &key);

    /** The number of calls made so far. */
    std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    SwapResult put(const std::string &path, const std::string &value);

    Address m_address;
    Duration m_timeout;
    std::atomic<std::uint64_t> m_calls{0};
};

}
