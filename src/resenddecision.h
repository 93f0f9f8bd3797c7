/** \file
 * Decides how a resend of an idempotency key is handled: it is executed, receives the result of the earlier run, or
 * receives the outcome "unknown". The rules are those of model/atmostonce.pml.
 */
#pragma once

#include "keytable.h"
#include "outcome.h"
#include "runjournal.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cyclamenturn
{

/** The response of a live agent to a query of a key. */
struct KeyReport
{
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** The time since which the records of this incarnation contain every key that it has received. */
    TimePoint completeSince;
    /** Empty if the agent has no record of the key. */
    std::optional<KeyState> state;
};

/** A journal head and the contents of the segments that could contain the key. */
struct JournalEvidence
{
    JournalHead head;
    /** Keys of the segments whose issue times include that of the resend. */
    std::vector<std::uint64_t> segmentKeys;
    /** False if a segment that could contain the key could not be read. */
    bool complete = true;
};

/** The evidence gathered for one resend. */
struct ResendEvidence
{
    TimePoint gatheringStartedAt;
    /** True if the store responded and confirmed that this agent's active configuration is the newest. */
    bool storeConfirmed = false;
    /** The endpoints of the service in the active configuration. */
    std::vector<std::string> listedEndpoints;
    std::vector<KeyReport> keyReports;
    std::vector<JournalEvidence> journals;
};

/** Time limits of the at-most-once protocol; see FleetLimits. */
struct ResendLimits
{
    Duration firstAttemptWindow{};
    Duration clockMargin{};
    Duration keyRetention{};
};

/** The agent may claim the key in the store, and execute the call if the claim succeeds. */
struct AllowClaim
{
};

/** Another agent has a record of the key. The resend gets its response from that record. */
struct UsePeerRecord
{
    std::string endpoint;
    KeyState state;
};

/** The resend ends with `outcome` and is not executed. */
struct RefuseResend
{
    Outcome outcome;
};

using ResendDecision = std::variant<AllowClaim, UsePeerRecord, RefuseResend>;

/** The time from which no first attempt issued at `issuedAt` can start at any agent. */
TimePoint firstAttemptsClosedAt(TimePoint issuedAt, const ResendLimits &limits);

/**
 * Decides a resend.
 * \param keyHash the hash under which journals list the key
 * \returns AllowClaim only if it is proved that no incarnation has started or will start the key
 */
ResendDecision decideResend(std::uint64_t keyHash, TimePoint issuedAt, const ResendLimits &limits,
    const ResendEvidence &evidence, TimePoint now);

}
