/** \file
 * Tests of AgentCore: first attempts, resends, headroom, preemption and resumption, early refusal and leaving.
 */
#include "fixtures.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

std::vector<AgentAction> offer(AgentCore &core, const Call &call, TimePoint now)
{
    return core.handle(CallOffered{call, 0, false, {}}, now);
}

Outcome outcomeOf(const std::vector<AgentAction> &actions)
{
    const auto finished = actionsOfType<FinishCall>(actions);
    REQUIRE(finished.size() == 1);
    return finished.front().outcome;
}

}

TEST_CASE("a first attempt starts immediately and must be sent before its time window ends")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    const auto started = actionsOfType<StartRun>(offer(core, makeDispatch("c", "k", at(0), true), at(10)));
    REQUIRE(started.size() == 1);
    CHECK(started.front().startBefore == at(2000));
}

TEST_CASE("first attempts that arrive after their time window or with a future issue time do not start")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    const Outcome late = outcomeOf(offer(core, makeDispatch("late", "k1", at(0), true), at(2000)));
    CHECK(late == Outcome::unknown(RefusalReason::FirstAttemptExpired, late.retryAfter()));
    const Outcome early = outcomeOf(offer(core, makeDispatch("early", "k2", at(3000), true), at(2010)));
    CHECK(early.reason() == RefusalReason::IssueTimeInFuture);
}

TEST_CASE("a first attempt whose time window ends while it waits does not start")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    for (const char *id : {"a", "b"}) {
        REQUIRE(actionsOfType<StartRun>(offer(core, makeDispatch(id, id, at(0), true), at(0))).size() == 1);
    }
    CHECK(offer(core, makeDispatch("c", "c", at(0), true), at(5)).empty());
    core.handle(Tick(), at(1000));
    const auto actions = core.handle(RunEnded{"a", RunEnd::Completed}, at(2000));
    CHECK(actionsOfType<StartRun>(actions).empty());
    CHECK(actionsOfType<FinishCall>(actions).back().outcome.reason() == RefusalReason::FirstAttemptExpired);
}

TEST_CASE("a resend gets the state or the stored response of the earlier run")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    offer(core, makeDispatch("c", "k", at(0), true), at(0));
    auto answer = actionsOfType<AnswerFromRecord>(offer(core, makeDispatch("d", "k", at(0), false), at(5)));
    REQUIRE(answer.size() == 1);
    CHECK(answer.front().state == KeyState::Running);
    core.handle(RunEnded{"c", RunEnd::Completed}, at(20));
    answer = actionsOfType<AnswerFromRecord>(offer(core, makeDispatch("e", "k", at(0), false), at(30)));
    REQUIRE(answer.size() == 1);
    CHECK(answer.front().state == KeyState::Ended);
    CHECK(answer.front().recordedCallId == "c");
}

TEST_CASE("after a crash the outcome of a key is unknown; after a run that never started the key can run again")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    offer(core, makeDispatch("c", "k", at(0), true), at(0));
    CHECK(outcomeOf(core.handle(RunEnded{"c", RunEnd::EndpointCrashed}, at(5))).kind() == OutcomeKind::Unknown);
    CHECK(outcomeOf(offer(core, makeDispatch("d", "k", at(0), false), at(10))).reason() == RefusalReason::KeySeen);
    AgentCore other = makeAgent("desk-2", "desk", at(0));
    offer(other, makeDispatch("c", "k", at(0), true), at(0));
    CHECK(outcomeOf(other.handle(RunEnded{"c", RunEnd::NeverStarted}, at(5))).kind() == OutcomeKind::NotRun);
    CHECK(actionsOfType<GatherEvidence>(offer(other, makeDispatch("d", "k", at(0), false), at(600))).size() == 1);
}

TEST_CASE("a resend without a record runs once, after evidence and a claim")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    const Call resend = makeDispatch("c", "k", at(10000), false);
    CHECK(actionsOfType<GatherEvidence>(offer(core, resend, at(13000))).size() == 1);
    ResendEvidence evidence;
    evidence.gatheringStartedAt = at(13000);
    evidence.storeConfirmed = true;
    CHECK(actionsOfType<ClaimKey>(core.handle(EvidenceGathered{"c", evidence}, at(13010))).size() == 1);
    SECTION("claimed")
    {
        const auto started = actionsOfType<StartRun>(core.handle(KeyClaimed{"c", ClaimResult::Claimed}, at(13020)));
        REQUIRE(started.size() == 1);
        CHECK_FALSE(started.front().startBefore);
        CHECK(actionsOfType<AnswerFromRecord>(offer(core, makeDispatch("d", "k", at(10000), false), at(13030))).size()
            == 1);
    }
    SECTION("claimed by another agent")
    {
        const auto actions = core.handle(KeyClaimed{"c", ClaimResult::ClaimedByOther}, at(13020));
        CHECK(outcomeOf(actions) == Outcome::unknown(RefusalReason::ResendClaimed));
    }
    SECTION("no response from the store")
    {
        const auto actions = core.handle(KeyClaimed{"c", ClaimResult::Unclear}, at(13020));
        CHECK(outcomeOf(actions).reason() == RefusalReason::StoreUnavailable);
    }
}

TEST_CASE("a first attempt issued no later than another agent's query of its key does not start")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    core.handle(KeyQueried{1, "k", at(0)}, at(10));
    CHECK(outcomeOf(offer(core, makeDispatch("c", "k", at(0), true), at(20))).reason() == RefusalReason::KeySeen);
    CHECK(actionsOfType<StartRun>(offer(core, makeDispatch("d", "k", at(30), true), at(40))).size() == 1);
}

TEST_CASE("after a pause first attempts are refused until the store confirms the incarnation")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    core.handle(Tick(), at(10));
    core.handle(JournalWritten{JournalResult::Written}, at(20));
    CHECK(actionsOfType<WriteJournal>(core.handle(Tick(), at(5000))).size() == 1);
    CHECK(outcomeOf(offer(core, makeDispatch("c", "k", at(5000), true), at(5010))).reason()
        == RefusalReason::NotValidated);
    core.handle(JournalWritten{JournalResult::Written}, at(5020));
    CHECK(actionsOfType<StartRun>(offer(core, makeDispatch("d", "k2", at(5000), true), at(5030))).size() == 1);
}

TEST_CASE("an agent whose journal is sealed refuses new calls")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    core.handle(Tick(), at(10));
    core.handle(JournalWritten{JournalResult::Fenced}, at(20));
    CHECK(outcomeOf(offer(core, makeDispatch("c", "k", at(30), true), at(30))).kind() == OutcomeKind::NotRun);
}

TEST_CASE("an agent without store contact refuses first attempts if the entry has contact, not in a store outage")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    for (int ms = 0; ms <= 40000; ms += 1000) {
        core.handle(Tick(), at(ms));
    }
    const Call call = makeDispatch("c", "k", at(40000), true);
    CHECK(outcomeOf(core.handle(CallOffered{call, 0, true, {}}, at(40010))).reason() == RefusalReason::NotValidated);
    CHECK(actionsOfType<StartRun>(core.handle(CallOffered{call, 0, false, {}}, at(40020))).size() == 1);
}

TEST_CASE("a call addressed to another incarnation is refused")
{
    AgentCore core = makeAgent("chat-1", "chat", at(0));
    const auto actions = core.handle(CallOffered{makeCall("c", "question", at(0)), 17, false, {}}, at(0));
    CHECK(outcomeOf(actions).reason() == RefusalReason::WrongIncarnation);
}

TEST_CASE("a call of a higher tier preempts one of a lower tier, which resumes afterwards")
{
    AgentPolicy policy;
    policy.keepsHeadroom = false;
    AgentCore core = makeAgent("chat-1", "chat", at(0), policy);
    offer(core, makeCall("d1", "draft", at(0)), at(0));
    offer(core, makeCall("d2", "draft", at(0)), at(1));
    const auto preempted = actionsOfType<PreemptRun>(offer(core, makeCall("q", "question", at(2)), at(2)));
    REQUIRE(preempted.size() == 1);
    CHECK(preempted.front().callId == "d2");
    const auto started = actionsOfType<StartRun>(core.handle(RunEnded{"d2", RunEnd::Preempted}, at(3)));
    REQUIRE(started.size() == 1);
    CHECK(started.front().callId == "q");
    const auto resumed = actionsOfType<StartRun>(core.handle(RunEnded{"q", RunEnd::Completed}, at(50)));
    REQUIRE(resumed.size() == 1);
    CHECK(resumed.front().callId == "d2");
}

TEST_CASE("non-preemptible calls are not preempted, and the top tier does not preempt while a slot is free")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    core.handle(ConfigurationApplied{testConfiguration(2, "")}, at(0));
    offer(core, makeCall("l1", "lookup", at(0)), at(0));
    CHECK(actionsOfType<PreemptRun>(offer(core, makeDispatch("x", "k", at(0), true), at(1))).empty());
    AgentCore full = makeAgent("desk-1", "desk", at(0));
    offer(full, makeDispatch("x1", "k1", at(0), true), at(0));
    offer(full, makeDispatch("x2", "k2", at(0), true), at(0));
    CHECK(actionsOfType<PreemptRun>(offer(full, makeDispatch("x3", "k3", at(0), true), at(1))).empty());
}

TEST_CASE("a call that cannot meet its deadline is refused early unless it is not sheddable")
{
    AgentCore core = makeAgent("chat-1", "chat", at(0));
    std::int64_t ms = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string id = "w" + std::to_string(i);
        offer(core, makeCall(id, "question", at(ms)), at(ms));
        for (int step = 0; step < 4; ++step) {
            core.handle(Tick(), at(ms += 1500));
        }
        core.handle(RunEnded{id, RunEnd::Completed}, at(ms));
    }
    Call unreachable = makeCall("h", "question", at(ms));
    unreachable.deadline = at(ms + 3000);
    CHECK(outcomeOf(offer(core, unreachable, at(ms))).reason() == RefusalReason::DeadlineUnreachable);
    unreachable.id = "kept";
    unreachable.sheddable = false;
    CHECK(actionsOfType<StartRun>(offer(core, unreachable, at(ms))).size() == 1);
}

TEST_CASE("a leaving agent refuses new calls, finishes accepted ones, closes its journal and stops")
{
    AgentCore core = makeAgent("desk-1", "desk", at(0));
    core.handle(Tick(), at(0));
    core.handle(JournalWritten{JournalResult::Written}, at(5));
    offer(core, makeDispatch("c", "k", at(0), true), at(10));
    CHECK(actionsOfType<StopProcess>(core.handle(LeaveRequested(), at(20))).empty());
    const auto refused = offer(core, makeDispatch("d", "k2", at(20), true), at(30));
    CHECK(outcomeOf(refused) == Outcome::notRun(RefusalReason::EndpointLeaving, outcomeOf(refused).retryAfter()));
    const auto closing = actionsOfType<WriteJournal>(core.handle(RunEnded{"c", RunEnd::Completed}, at(40)));
    REQUIRE(closing.size() == 1);
    CHECK(closing.front().write.head.closed);
    CHECK(actionsOfType<StopProcess>(core.handle(JournalWritten{JournalResult::Written}, at(50))).size() == 1);
}
