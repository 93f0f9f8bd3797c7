/** \file
 * The store calls by which a gateway becomes and remains the holder of a duty, and their responses.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cyclamenturn
{

struct ReadHolder
{
};

struct CreateDutyLease
{
    Duration lifetime{};
};

/** Writes the key of the era's holder under the lease, on condition that the key doesn't exist. */
struct WriteHolder
{
    std::uint64_t lease = 0;
    std::uint64_t era = 0;
    std::string value;
};

struct RenewDutyLease
{
    std::uint64_t lease = 0;
};

struct EndDutyLease
{
    std::uint64_t lease = 0;
};

/** `std::monostate`: nothing to do now. */
using DutyStep = std::variant<std::monostate, ReadHolder, CreateDutyLease, WriteHolder, RenewDutyLease, EndDutyLease>;

struct DutyResponse
{
    enum class Result {
        Done,
        NotFound,
        ConditionFailed,
        /** Without a usable response; the call may have been executed, or may still be. */
        Unanswered,
    };

    Result result = Result::Unanswered;
    /** StoreRevision::era. */
    std::uint64_t era = 0;
    /** Of CreateDutyLease: the new lease and its lifetime. */
    std::uint64_t lease = 0;
    Duration lifetime{};
    /** Of ReadHolder: the value of the key of the era's holder; empty if there is none. */
    std::string holder;
    /** Of ReadHolder and WriteHolder: the revision at which that key was written. */
    std::uint64_t revision = 0;
};

}
