/** \file
 * Tests EntryCore: where attempts are sent, when they are retried, and which outcome the caller receives.
 */
#include "entrycore.h"
#include "fixtures.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

EntryCore makeEntry()
{
    EntryCore core(EntryPolicy(), "a", 1);
    core.handle(EntryConfigurationApplied{testConfiguration()}, at(0));
    return core;
}

SendAttempt onlyAttempt(const std::vector<EntryAction> &actions)
{
    const auto attempts = actionsOfType<SendAttempt>(actions);
    REQUIRE(attempts.size() == 1);
    return attempts.front();
}

Outcome finalOutcome(const std::vector<EntryAction> &actions)
{
    const auto finished = actionsOfType<FinishRequest>(actions);
    REQUIRE(finished.size() == 1);
    return finished.front().outcome;
}

struct Case
{
    const char *description;
    const char *className;
    bool firstAttempt;
    AttemptResult result;
    /** The outcome that the caller receives at once; empty if another endpoint is tried. */
    std::optional<OutcomeKind> expected;
};

const AttemptResult REFUSED = AttemptAnswered{Outcome::notRun(RefusalReason::QueueFull)};
const AttemptResult FAILED = AttemptAnswered{Outcome::unknown(RefusalReason::EndpointFailed)};

const Case CASES[] = {
    {"idempotent, refused", "question", false, REFUSED, std::nullopt},
    {"idempotent, never sent", "question", false, AttemptNeverSent(), std::nullopt},
    {"idempotent, unanswered", "question", false, AttemptUnanswered(), std::nullopt},
    {"idempotent, endpoint crashed", "question", false, FAILED, std::nullopt},
    {"idempotent, served", "question", false, AttemptAnswered{Outcome::served()}, OutcomeKind::Served},
    {"first attempt, refused", "dispatch", true, REFUSED, std::nullopt},
    {"first attempt, never sent", "dispatch", true, AttemptNeverSent(), std::nullopt},
    {"first attempt, unanswered", "dispatch", true, AttemptUnanswered(), OutcomeKind::Unknown},
    {"first attempt, endpoint crashed", "dispatch", true, FAILED, OutcomeKind::Unknown},
    {"resend, refused", "dispatch", false, REFUSED, std::nullopt},
    {"resend, unanswered", "dispatch", false, AttemptUnanswered(), OutcomeKind::Unknown},
    {"resend, already run", "dispatch", false, AttemptAnswered{Outcome::alreadyRun()}, OutcomeKind::AlreadyRun},
};

}

TEST_CASE("after each result of an attempt, another endpoint is tried or the correct outcome is reported")
{
    for (const Case &item : CASES) {
        INFO(item.description);
        EntryCore core = makeEntry();
        Call call = makeCall("c", item.className, at(0));
        if (!call.idempotent) {
            call.key = IdempotencyKey{"k", at(0), item.firstAttempt};
        }
        const SendAttempt first = onlyAttempt(core.handle(CallAdmitted{call}, at(0)));
        CHECK(first.handshake == !call.idempotent);
        const auto actions = core.handle(AttemptEnded{"c", first.endpoint, item.result}, at(10));
        if (item.expected) {
            CHECK(finalOutcome(actions).kind() == *item.expected);
        } else {
            CHECK(onlyAttempt(actions).endpoint != first.endpoint);
        }
    }
}

TEST_CASE("when every endpoint refuses, \"not run\" is reported only if it is proved")
{
    struct Refusal
    {
        const char *className;
        bool firstAttempt;
        std::int64_t endMs;
        OutcomeKind expected;
    };
    const Refusal refusals[] = {
        {"question", false, 10, OutcomeKind::NotRun},
        {"dispatch", true, 1990, OutcomeKind::NotRun},
        {"dispatch", true, 2000, OutcomeKind::Unknown},
        {"dispatch", false, 1990, OutcomeKind::Unknown},
    };
    for (const Refusal &item : refusals) {
        INFO(item.className << " " << item.firstAttempt << " " << item.endMs);
        EntryCore core = makeEntry();
        Call call = makeCall("c", item.className, at(0));
        if (!call.idempotent) {
            call.key = IdempotencyKey{"k", at(0), item.firstAttempt};
        }
        const SendAttempt first = onlyAttempt(core.handle(CallAdmitted{call}, at(0)));
        const SendAttempt second = onlyAttempt(core.handle(AttemptEnded{"c", first.endpoint, REFUSED}, at(5)));
        const auto actions = core.handle(AttemptEnded{"c", second.endpoint, REFUSED}, at(item.endMs));
        CHECK(finalOutcome(actions).kind() == item.expected);
    }
}

TEST_CASE("a call that must not be shed waits for an endpoint while it may still start")
{
    EntryCore core = makeEntry();
    const Call call = makeDispatch("c", "k", at(0), true);
    const SendAttempt first = onlyAttempt(core.handle(CallAdmitted{call}, at(0)));
    const SendAttempt second = onlyAttempt(core.handle(AttemptEnded{"c", first.endpoint, AttemptNeverSent()}, at(1)));
    const auto actions = core.handle(AttemptEnded{"c", second.endpoint, AttemptNeverSent()}, at(2));
    REQUIRE(actionsOfType<WaitForRetry>(actions).size() == 1);
    CHECK(actionsOfType<SendAttempt>(core.handle(RetryDue{"c"}, at(30))).size() == 1);
}

TEST_CASE("an endpoint that reports that it is leaving receives no more calls")
{
    EntryCore core = makeEntry();
    AgentStatus status;
    status.endpoint = "chat-1";
    status.incarnation = 5;
    status.sequence = 1;
    status.leaving = true;
    core.handle(AgentReportReceived{status}, at(0));
    for (int i = 0; i < 50; ++i) {
        const std::string id = "c" + std::to_string(i);
        CHECK(onlyAttempt(core.handle(CallAdmitted{makeCall(id, "question", at(i))}, at(i))).endpoint == "chat-2");
    }
    AgentStatus late = status;
    late.sequence = 0;
    late.leaving = false;
    core.handle(AgentReportReceived{late}, at(60));
    CHECK(onlyAttempt(core.handle(CallAdmitted{makeCall("d", "question", at(61))}, at(61))).endpoint == "chat-2");
}

TEST_CASE("retries that may repeat work are limited by the retry budget")
{
    EntryCore core = makeEntry();
    int retried = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string id = "c" + std::to_string(i);
        Call call = makeCall(id, "question", at(i * 100));
        call.fingerprint = static_cast<std::uint64_t>(i) + 1;
        const SendAttempt first = onlyAttempt(core.handle(CallAdmitted{call}, at(i * 100)));
        const auto actions = core.handle(AttemptEnded{id, first.endpoint, AttemptUnanswered()}, at(i * 100 + 1));
        if (!actionsOfType<SendAttempt>(actions).empty()) {
            ++retried;
            core.handle(AttemptEnded{id, "chat-1", AttemptAnswered{Outcome::unknown(RefusalReason::Cancelled)}},
                at(i * 100 + 2));
        }
    }
    CHECK(retried == static_cast<int>(RetryBudget::CAPACITY));
}

TEST_CASE("heartbeats are sent only to endpoints without a recent report, and no faster than the minimum spacing")
{
    EntryCore core = makeEntry();
    int heartbeats = 0;
    for (int ms = 0; ms < 10000; ms += 10) {
        for (const auto &heartbeat : actionsOfType<SendHeartbeat>(core.handle(EntryTick(), at(ms)))) {
            ++heartbeats;
            AgentStatus status;
            status.endpoint = heartbeat.endpoint;
            status.incarnation = 1;
            status.sequence = static_cast<std::uint64_t>(ms) + 1;
            core.handle(AgentReportReceived{status}, at(ms));
        }
    }
    CHECK(heartbeats >= 36);
    CHECK(heartbeats <= 44);
}
