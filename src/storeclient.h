/** \file
 * The platform's key-value service: compare-and-swap, prefix reads and watches over HTTP and JSON.
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

/** A value with the version that the store gave it. */
struct StoredValue
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

enum class SwapState {
    Written,
    /** Another version is there; nothing was written. */
    Conflict,
    /** The answer was lost or late: the write may or may not have taken effect. */
    Unknown,
};

struct SwapResult
{
    SwapState state = SwapState::Unknown;
    /** The version after a write; 0 otherwise. */
    std::uint64_t version = 0;
};

/**
 * Every method counts as one call against the store's rates. Safe for use by several threads.
 * Reads throw StoreUnavailableError when the store doesn't answer or is over its rate.
 */
class StoreClient
{
public:
    StoreClient(Address address, Duration timeout);

    /** Returns nothing when there is no such key. */
    std::optional<StoredValue> read(const std::string &key);
    std::vector<StoredValue> readPrefix(const std::string &prefix);

    /** Waits until the key has another version than `seen`, at most `wait`. Returns nothing when it hasn't changed. */
    std::optional<StoredValue> watch(const std::string &key, std::uint64_t knownVersion, Duration maxWait);

    /** Writes if the key has version `expected`; 0 means that it must not exist. */
    SwapResult compareAndSwap(const std::string &key, std::uint64_t expectedVersion, const std::string &value);
    /** As swap(), under a lease: the store deletes the key after `lifetime`. */
    SwapResult compareAndSwapWithLease(
        const std::string &key, std::uint64_t expectedVersion, const std::string &value, Duration lifetime);
    void remove(const std::string &key);

    /** Calls made so far. */
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
