/** \file
 * The entry core: where attempts go, what their ends mean, and what the caller is told.
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

SendAttempt sent(const std::vector<EntryAction> &actions)
{
    const auto attempts = actionsOfType<SendAttempt>(actions);
    REQUIRE(attempts.size() == 1);
    return attempts.front();
}

Outcome told(const std::vector<EntryAction> &actions)
{
    const auto finished = actionsOfType<FinishRequest>(actions);
    REQUIRE(finished.size() == 1);
    return finished.front().outcome;
}

struct Case
{
    const char *what;
    const char *className;
    bool firstAttempt;
    AttemptResult result;
    /** What the caller is told at once; nothing when another endpoint is tried. */
    std::optional<OutcomeKind> expected;
};

const AttemptResult REFUSED = AttemptAnswered{Outcome::notRun(RefusalReason::QueueFull)};
const AttemptResult FAILED = AttemptAnswered{Outcome::unknown(RefusalReason::EndpointFailed)};

const Case CASES[] = {
    {"idempotent, refused", "question", false, REFUSED, std::nullopt},
    {"idempotent, never sent", "question", false, AttemptNeverSent(), std::nullopt},
    {"idempotent, silent", "question", false, AttemptSilent(), std::nullopt},
    {"idempotent, endpoint crashed", "question", false, FAILED, std::nullopt},
    {"idempotent, served", "question", false, AttemptAnswered{Outcome::served()}, OutcomeKind::Served},
    {"first attempt, refused", "dispatch", true, REFUSED, std::nullopt},
    {"first attempt, never sent", "dispatch", true, AttemptNeverSent(), std::nullopt},
    {"first attempt, silent", "dispatch", true, AttemptSilent(), OutcomeKind::Unknown},
    {"first attempt, endpoint crashed", "dispatch", true, FAILED, OutcomeKind::Unknown},
    {"resend, refused", "dispatch", false, REFUSED, std::nullopt},
    {"resend, silent", "dispatch", false, AttemptSilent(), OutcomeKind::Unknown},
    {"resend, already run", "dispatch", false, AttemptAnswered{Outcome::alreadyRun()}, OutcomeKind::AlreadyRun},
};

}

TEST_CASE("each end of an attempt is followed by another endpoint or a true outcome")
{
    for (const Case &item : CASES) {
        INFO(item.what);
        EntryCore core = makeEntry();
        Call call = makeCall("c", item.className, at(0));
        if (!call.idempotent) {
            call.key = IdempotencyKey{"k", at(0), item.firstAttempt};
        }
        const SendAttempt first = sent(core.handle(CallAdmitted{call}, at(0)));
        CHECK(first.handshake == !call.idempotent);
        const auto actions = core.handle(AttemptEnded{"c", first.endpoint, item.result}, at(10));
        if (item.expected) {
            CHECK(told(actions).kind() == *item.expected);
        } else {
            CHECK(sent(actions).endpoint != first.endpoint);
        }
    }
}

TEST_CASE("when every endpoint refuses, \"not run\" is told only where it is proved")
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
        const SendAttempt first = sent(core.handle(CallAdmitted{call}, at(0)));
        const SendAttempt second = sent(core.handle(AttemptEnded{"c", first.endpoint, REFUSED}, at(5)));
        const auto actions = core.handle(AttemptEnded{"c", second.endpoint, REFUSED}, at(item.endMs));
        CHECK(told(actions).kind() == item.expected);
    }
}

TEST_CASE("a call that may not be shed waits for an endpoint while its time lasts")
{
    EntryCore core = makeEntry();
    const Call call = makeDispatch("c", "k", at(0), true);
    const SendAttempt first = sent(core.handle(CallAdmitted{call}, at(0)));
    const SendAttempt second = sent(core.handle(AttemptEnded{"c", first.endpoint, AttemptNeverSent()}, at(1)));
    const auto actions = core.handle(AttemptEnded{"c", second.endpoint, AttemptNeverSent()}, at(2));
    REQUIRE(actionsOfType<WaitForRetry>(actions).size() == 1);
    CHECK(actionsOfType<SendAttempt>(core.handle(RetryDue{"c"}, at(30))).size() == 1);
}

TEST_CASE("an endpoint that says it is leaving gets nothing more")
{
    EntryCore core = makeEntry();
    AgentFigures figures;
    figures.endpoint = "chat-1";
    figures.incarnation = 5;
    figures.sequence = 1;
    figures.leaving = true;
    core.handle(AgentHeard{figures}, at(0));
    for (int i = 0; i < 50; ++i) {
        const std::string id = "c" + std::to_string(i);
        CHECK(sent(core.handle(CallAdmitted{makeCall(id, "question", at(i))}, at(i))).endpoint == "chat-2");
    }
    AgentFigures late = figures;
    late.sequence = 0;
    late.leaving = false;
    core.handle(AgentHeard{late}, at(60));
    CHECK(sent(core.handle(CallAdmitted{makeCall("d", "question", at(61))}, at(61))).endpoint == "chat-2");
}

TEST_CASE("retries that cost work are bounded by the budget")
{
    EntryCore core = makeEntry();
    int retried = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string id = "c" + std::to_string(i);
        Call call = makeCall(id, "question", at(i * 100));
        call.fingerprint = static_cast<std::uint64_t>(i) + 1;
        const SendAttempt first = sent(core.handle(CallAdmitted{call}, at(i * 100)));
        const auto actions = core.handle(AttemptEnded{id, first.endpoint, AttemptSilent()}, at(i * 100 + 1));
        if (!actionsOfType<SendAttempt>(actions).empty()) {
            ++retried;
            core.handle(AttemptEnded{id, "chat-1", AttemptAnswered{Outcome::unknown(RefusalReason::Cancelled)}},
                at(i * 100 + 2));
        }
    }
    CHECK(retried == static_cast<int>(RetryBudget::CAPACITY));
}

TEST_CASE("heartbeats go only to quiet endpoints and not faster than their spacing")
{
    EntryCore core = makeEntry();
    int heartbeats = 0;
    for (int ms = 0; ms < 10000; ms += 10) {
        for (const auto &heartbeat : actionsOfType<SendHeartbeat>(core.handle(EntryTick(), at(ms)))) {
            ++heartbeats;
            AgentFigures figures;
            figures.endpoint = heartbeat.endpoint;
            figures.incarnation = 1;
            figures.sequence = static_cast<std::uint64_t>(ms) + 1;
            core.handle(AgentHeard{figures}, at(ms));
        }
    }
    CHECK(heartbeats >= 36);
    CHECK(heartbeats <= 44);
}
