/** \file
 * One request as the decision core sees it: everything but its body.
 */
#pragma once

#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace Cyclamenturn
{

/** The idempotency key of a call with the time and number that its caller gave. */
struct IdempotencyKey
{
    std::string value;
    TimePoint issuedAt;
    /** True only for attempt number 0; a call without a number counts as a resend. */
    bool firstAttempt = false;

    bool operator==(const IdempotencyKey &other) const
    {
        return std::tie(value, issuedAt, firstAttempt) == std::tie(other.value, other.issuedAt, other.firstAttempt);
    }
};

/** A request on its way through entry and agent. */
struct Call
{
    /** Unique in the fleet; made by the entry. */
    std::string id;
    std::string className;
    std::string service;
    std::string team;
    int tier = 0;
    bool idempotent = true;
    bool sheddable = true;
    bool preemptible = false;
    /** The time by which the whole answer must be with the caller. */
    TimePoint deadline;
    std::optional<IdempotencyKey> key;
    /** A hash of the content, equal for equal requests whatever their key. */
    std::uint64_t fingerprint = 0;
    /** A hash of the head of the prompt, for prefix affinity; 0 when there is none. */
    std::uint64_t prefix = 0;

    bool operator==(const Call &other) const
    {
        return std::tie(id, className, service, team, tier, idempotent, sheddable, preemptible, deadline, key,
                   fingerprint, prefix)
            == std::tie(other.id, other.className, other.service, other.team, other.tier, other.idempotent,
                other.sheddable, other.preemptible, other.deadline, other.key, other.fingerprint, other.prefix);
    }
};

}
