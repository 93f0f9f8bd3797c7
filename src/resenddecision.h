/** \file
 * Decides what a resend of an idempotency key gets: a run, the answer of the earlier run, or "unknown". The rules are
 * those of model/atmostonce.pml.
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

/** What a live agent said about a key. */
struct KeyReport
{
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** The time since which this incarnation remembers every key. */
    TimePoint completeSince;
    /** Empty when the agent has not met the key. */
    std::optional<KeyState> state;
};

/** A journal head with the segments that could hold the key. */
struct JournalEvidence
{
    JournalHead head;
    /** Keys of the segments whose issue times include that of the resend. */
    std::vector<std::uint64_t> segmentKeys;
    /** False when a segment that could hold the key couldn't be read. */
    bool complete = true;
};

/** All that was gathered for one resend. */
struct ResendEvidence
{
    /** When the gathering began. */
    TimePoint gatheringStartedAt;
    /** True when the store answered and confirmed that the configuration in force here is the newest. */
    bool storeConfirmed = false;
    /** The endpoints that this configuration lists for the service. */
    std::vector<std::string> listedEndpoints;
    std::vector<KeyReport> keyReports;
    std::vector<JournalEvidence> journals;
};

/** The protocol's time limits. */
struct ResendLimits
{
    Duration firstAttemptWindow{};
    Duration clockMargin{};
    Duration keyRetention{};
};

/** The key may be claimed in the store, and run if the claim succeeds. */
struct MayClaim
{
};

/** Another agent holds the key; the caller gets that agent's record. */
struct HeldElsewhere
{
    std::string endpoint;
    KeyState state;
};

/** The resend is answered without a run. */
struct AnswerResend
{
    Outcome outcome;
};

using ResendDecision = std::variant<MayClaim, HeldElsewhere, AnswerResend>;

/** The time from which no first attempt issued at `issuedAt` can start anywhere. */
TimePoint firstAttemptsClosedAt(TimePoint issuedAt, const ResendLimits &limits);

/**
 * Decides a resend.
 * \param keyHash the hash under which journals list the key
 * \returns MayClaim only when no incarnation that could have run the key did so or will
 */
ResendDecision decideResend(std::uint64_t keyHash, TimePoint issuedAt, const ResendLimits &limits,
    const ResendEvidence &evidence, TimePoint now);

}
