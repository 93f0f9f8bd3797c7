/** \file
 * Tests the resend rules with a table of evidence and the expected decision.
 */
#include "fixtures.h"
#include "rendezvoushash.h"
#include "resenddecision.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace Cyclamenturn;

namespace
{

const ResendLimits LIMITS{milliseconds(2000), milliseconds(250), milliseconds(600000)};
const TimePoint ISSUED = at(100000);
const TimePoint NOW = at(110000);
const std::uint64_t KEY = contentHash("k");

std::uint64_t incarnationAt(std::int64_t ms)
{
    return static_cast<std::uint64_t>(at(ms).time_since_epoch().count());
}

KeyReport reportFrom(const std::string &endpoint, std::int64_t startMs)
{
    return KeyReport{endpoint, incarnationAt(startMs), at(startMs), std::nullopt};
}

JournalEvidence journalOf(const std::string &endpoint, std::int64_t startMs, std::int64_t watermarkMs)
{
    JournalEvidence out;
    out.head.service = "desk";
    out.head.endpoint = endpoint;
    out.head.incarnation = incarnationAt(startMs);
    out.head.watermark = at(watermarkMs);
    return out;
}

/** Two agents that started long before the issue time and have no record of the key. */
ResendEvidence cleanEvidence()
{
    ResendEvidence out;
    out.gatheringStartedAt = NOW;
    out.storeConfirmed = true;
    out.listedEndpoints = {"desk-1", "desk-2"};
    out.keyReports = {reportFrom("desk-1", 0), reportFrom("desk-2", 0)};
    out.journals = {journalOf("desk-1", 0, 99000), journalOf("desk-2", 0, 99000)};
    return out;
}

struct Case
{
    const char *description;
    std::function<void(ResendEvidence &)> change;
    /** The reason for the outcome "unknown"; None if the key may be claimed. */
    RefusalReason expected;
};

const Case CASES[] = {
    {"no agent has a record of the key", [](auto &) {}, RefusalReason::None},
    {"the store doesn't answer", [](auto &e) { e.storeConfirmed = false; }, RefusalReason::StoreUnavailable},
    {"a journal lists the key", [](auto &e) { e.journals[1].head.startedKeys = {KEY}; }, RefusalReason::KeySeen},
    {"a segment lists the key", [](auto &e) { e.journals[1].segmentKeys = {KEY}; }, RefusalReason::KeySeen},
    {"a segment is missing", [](auto &e) { e.journals[0].complete = false; }, RefusalReason::ResendUnproven},
    {"gathering began within the window", [](auto &e) { e.gatheringStartedAt = ISSUED + milliseconds(2249); },
        RefusalReason::ResendTooEarly},
    {"an agent does not answer", [](auto &e) { e.keyReports.pop_back(); }, RefusalReason::ResendUnproven},
    {"an agent does not answer, but its journal has passed the window",
        [](auto &e) {
            e.keyReports.pop_back();
            e.journals[1].head.watermark = at(102000);
        },
        RefusalReason::ResendUnproven},
    {"an agent started after the issue, and its predecessor is unknown",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 101000);
            e.journals[1] = journalOf("desk-2", 101000, 109000);
        },
        RefusalReason::ResendUnproven},
    {"an agent started just before the issue, within the clock margin",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 99600);
            e.journals[1] = journalOf("desk-2", 99600, 101000);
        },
        RefusalReason::ResendUnproven},
    {"a predecessor crashed within the window",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 105000);
            e.journals[1].head.watermark = at(101999);
            e.journals[1].head.terminatedBy = at(105000);
        },
        RefusalReason::ResendUnproven},
    {"a predecessor's journal has passed the window",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 105000);
            e.journals[1].head.watermark = at(102000);
            e.journals[1].head.terminatedBy = at(105000);
        },
        RefusalReason::None},
    {"a predecessor had terminated before the issue",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 90000);
            e.journals[1].head.terminatedBy = at(90000);
        },
        RefusalReason::None},
    {"a predecessor on another VM is not yet known to have terminated",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 90000);
            e.journals[1].head.terminatedBy = at(150000);
        },
        RefusalReason::ResendUnproven},
    {"a predecessor was never sealed",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 90000);
            e.journals[1].head.watermark = at(80000);
        },
        RefusalReason::ResendUnproven},
    {"a predecessor was shut down and closed its journal",
        [](auto &e) {
            e.keyReports[1] = reportFrom("desk-2", 90000);
            e.journals[1].head.closed = true;
        },
        RefusalReason::None},
    {"the journal of an endpoint that is no longer listed was not closed",
        [](auto &e) {
            e.listedEndpoints.pop_back();
            e.keyReports.pop_back();
        },
        RefusalReason::ResendUnproven},
    {"the journal of an endpoint that is no longer listed was closed",
        [](auto &e) {
            e.listedEndpoints.pop_back();
            e.keyReports.pop_back();
            e.journals[1].head.closed = true;
        },
        RefusalReason::None},
};

}

TEST_CASE("a resend may run only with proof that the key has not run and will not run")
{
    for (const Case &item : CASES) {
        INFO(item.description);
        ResendEvidence evidence = cleanEvidence();
        item.change(evidence);
        const auto decision = decideResend(KEY, ISSUED, LIMITS, evidence, NOW);
        if (item.expected == RefusalReason::None) {
            CHECK(std::holds_alternative<AllowClaim>(decision));
        } else {
            REQUIRE(std::holds_alternative<RefuseResend>(decision));
            CHECK(std::get<RefuseResend>(decision).outcome.kind() == OutcomeKind::Unknown);
            CHECK(std::get<RefuseResend>(decision).outcome.reason() == item.expected);
        }
    }
}

TEST_CASE("an agent that has the key answers the resend, also if the store is unavailable or the window is still open")
{
    for (const KeyState state :
        {KeyState::Queued, KeyState::GatheringEvidence, KeyState::Running, KeyState::Ended, KeyState::OutcomeUnknown}) {
        ResendEvidence evidence = cleanEvidence();
        evidence.storeConfirmed = false;
        evidence.gatheringStartedAt = ISSUED;
        evidence.keyReports[1].state = state;
        const auto decision = decideResend(KEY, ISSUED, LIMITS, evidence, NOW);
        REQUIRE(std::holds_alternative<UsePeerRecord>(decision));
        CHECK(std::get<UsePeerRecord>(decision).state == state);
    }
    ResendEvidence evidence = cleanEvidence();
    evidence.keyReports[1].state = KeyState::Tombstone;
    CHECK(std::holds_alternative<AllowClaim>(decideResend(KEY, ISSUED, LIMITS, evidence, NOW)));
}

TEST_CASE("a resend that is older than the key retention has an unknown outcome")
{
    const auto decision = decideResend(KEY, ISSUED, LIMITS, cleanEvidence(), ISSUED + LIMITS.keyRetention);
    CHECK(std::get<RefuseResend>(decision).outcome.reason() == RefusalReason::ResendUnproven);
}
