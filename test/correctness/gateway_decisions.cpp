/** \file
 * Decisions of a gateway: admission, resends and their budget, rejection under overload, planned stops. Also covers
 * event splitting, estimate correction and the log budget.
 */
#include "gateway/admitrequest.h"
#include "gateway/estimatecorrection.h"
#include "gateway/eventsplitter.h"
#include "gateway/overloadpolicy.h"
#include "gateway/resendpolicy.h"
#include "gateway/retrywindow.h"
#include "gateway/stopplan.h"
#include "logbudget.h"

#include <catch2/catch.hpp>

using namespace Cyclamenturn;

namespace
{

const TimePoint START = timeFromMilliseconds(100000);

Route route(const std::string &host, const std::string &prefix, RequestKind kind = RequestKind::Idempotent)
{
    Route out;
    out.name = prefix;
    out.host = host;
    out.prefix = prefix;
    out.kind = kind;
    out.timeout = milliseconds(1000);
    out.objective = milliseconds(100);
    out.priority = 1;
    out.services = {{"s", 1}};
    out.maxAttempts = 2;
    return out;
}

RoutingConfiguration configuration()
{
    Route open = route("h", "/open/");
    open.isPublic = true;
    RouteTable routes;
    for (const auto &item : {route("h", "/a/"), route("h", "/a/b/"), open}) {
        routes.add(item, nullptr);
    }
    return RoutingConfiguration(3, std::move(routes), {}, CallerLimits(), true,
        {{"key-1", CallerTeam{"team-1", 0}}, {"key-2", CallerTeam{"team-2", std::nullopt}}});
}

AdmissionResult admit(const std::string &host, const std::string &target, const std::string &key)
{
    static const RoutingConfiguration CONFIGURATION = configuration();
    HttpRequestHead head{"GET", target, {}};
    head.fields.add("Host", host);
    RequestTraits traits;
    traits.attemptId = "1";
    traits.key = key;
    return admitRequest(&CONFIGURATION, head, traits);
}

std::string routeName(const AdmissionResult &result)
{
    const auto *admitted = std::get_if<AdmittedRequest>(&result);
    return admitted != nullptr ? admitted->route->name : toString(std::get<GatewayRefusal>(result));
}

}

TEST_CASE("the route with the longest matching prefix of the host is chosen")
{
    CHECK(routeName(admit("h", "/a/x", "key-1")) == "/a/");
    CHECK(routeName(admit("H:80", "/a/b/x?q=/a/c/", "key-1")) == "/a/b/");
    CHECK(routeName(admit("h", "/a/bc", "key-1")) == "/a/");
    CHECK(routeName(admit("h", "/a", "key-1")) == "unknown_route");
    CHECK(routeName(admit("other", "/a/x", "key-1")) == "unknown_route");
    CHECK(routeName(admit("h", "http://h/a/x", "key-1")) == "bad_request");
}

TEST_CASE("the key determines team and priority, and only public routes need none")
{
    CHECK(routeName(admit("h", "/a/x", "")) == "unknown_key");
    CHECK(routeName(admit("h", "/a/x", "key-3")) == "unknown_key");
    CHECK(routeName(admit("h", "/open/x", "")) == "/open/");
    const auto first = std::get<AdmittedRequest>(admit("h", "/a/x", "key-1"));
    CHECK(first.team == "team-1");
    CHECK(first.priority == 0);
    const auto second = std::get<AdmittedRequest>(admit("h", "/a/x", "key-2"));
    CHECK(second.priority == 1);
    CHECK(enginePriority(first) < enginePriority(second));
}

TEST_CASE("without a configuration the status guarantees that the request didn't run")
{
    const AdmissionResult result = admitRequest(nullptr, HttpRequestHead(), RequestTraits());
    CHECK(statusOf(std::get<GatewayRefusal>(result)) == 503);
}

TEST_CASE("what the configuration lacks is refused with 503 while a newer one may exist")
{
    constexpr Duration TIMEOUT = milliseconds(3000);
    ConfigurationKnowledge knowledge;
    knowledge.version = 5;
    knowledge.confirmedAt = START;
    knowledge.newestPeerVersion = 5;
    CHECK(doubtConfiguration(knowledge, TIMEOUT, START + TIMEOUT - milliseconds(1)) == ConfigurationDoubt::None);
    CHECK(doubtConfiguration(knowledge, TIMEOUT, START + TIMEOUT) == ConfigurationDoubt::Unconfirmed);
    knowledge.newestPeerVersion = 6;
    CHECK(doubtConfiguration(knowledge, TIMEOUT, START) == ConfigurationDoubt::NewerAtPeer);
    knowledge.isOlderInStore = true;
    CHECK(doubtConfiguration(knowledge, TIMEOUT, START) == ConfigurationDoubt::OlderInStore);
    knowledge.isLatestUnreadable = true;
    CHECK(doubtConfiguration(knowledge, TIMEOUT, START) == ConfigurationDoubt::Unreadable);

    for (const GatewayRefusal refusal : {GatewayRefusal::UnknownRoute, GatewayRefusal::UnknownKey}) {
        CHECK(refusalInDoubt(refusal, ConfigurationDoubt::None) == refusal);
        CHECK(statusOf(refusalInDoubt(refusal, ConfigurationDoubt::Unconfirmed)) == 503);
    }
    CHECK(refusalInDoubt(GatewayRefusal::BadRequest, ConfigurationDoubt::Unconfirmed) == GatewayRefusal::BadRequest);

    for (const int status : {413, 431}) {
        CHECK(limitStatusInDoubt(status, true, ConfigurationDoubt::None) == status);
        CHECK(limitStatusInDoubt(status, true, ConfigurationDoubt::NewerAtPeer) == 503);
        CHECK(limitStatusInDoubt(status, false, ConfigurationDoubt::None) == 503);
    }
    CHECK(limitStatusInDoubt(400, false, ConfigurationDoubt::Unconfirmed) == 400);
}

TEST_CASE("the engine priority follows the request's priority, then the route's priority")
{
    Route urgent = route("h", "/u/");
    urgent.priority = 0;
    const Route other = route("h", "/o/");
    CHECK(enginePriority({&urgent, "t", 1}) < enginePriority({&other, "t", 1}));
    CHECK(enginePriority({&other, "t", 0}) < enginePriority({&urgent, "t", 1}));
    CHECK(enginePriority({&other, "t", 9}) <= 9);
}

TEST_CASE("a resend depends on the attempt's outcome and on the route")
{
    const Duration enough = milliseconds(500);
    struct Case
    {
        RequestKind kind;
        bool canResume;
        AttemptOutcome outcome;
        ResendState state;
        ResendChoice choice;
    };
    const auto again = ResendChoice::Resend;
    const auto stop = ResendChoice::GiveUp;
    const Case cases[] = {
        {RequestKind::NonIdempotent, false, AttemptOutcome::NotSent, {0, false, enough}, again},
        {RequestKind::NonIdempotent, false, AttemptOutcome::OtherInstance, {0, false, enough}, again},
        {RequestKind::NonIdempotent, false, AttemptOutcome::NotRun, {1, false, enough}, again},
        {RequestKind::NonIdempotent, false, AttemptOutcome::NotRun, {2, false, enough}, stop},
        {RequestKind::NonIdempotent, false, AttemptOutcome::ResponseLost, {1, false, enough}, stop},
        {RequestKind::NonIdempotent, false, AttemptOutcome::FailureResponse, {1, false, enough}, stop},
        {RequestKind::Idempotent, false, AttemptOutcome::ResponseLost, {1, false, enough}, again},
        {RequestKind::Idempotent, false, AttemptOutcome::ResponseLost, {2, false, enough}, stop},
        {RequestKind::Idempotent, false, AttemptOutcome::FailureResponse, {1, false, enough}, again},
        {RequestKind::Idempotent, false, AttemptOutcome::ResponseLost, {1, false, milliseconds(5)}, stop},
        {RequestKind::Stream, false, AttemptOutcome::ResponseLost, {1, false, enough}, stop},
        {RequestKind::Stream, false, AttemptOutcome::ResponseLost, {1, true, enough}, stop},
        {RequestKind::Stream, true, AttemptOutcome::ResponseLost, {1, true, enough}, again},
        {RequestKind::Stream, true, AttemptOutcome::FailureResponse, {1, true, enough}, stop},
    };
    for (const auto &item : cases) {
        Route subject = route("h", "/a/", item.kind);
        subject.canResume = item.canResume;
        INFO("kind " << static_cast<int>(item.kind) << ", outcome " << static_cast<int>(item.outcome) << ", sends "
                     << item.state.sends);
        CHECK(chooseResend(subject, item.outcome, item.state) == item.choice);
    }
}

TEST_CASE("the retries of all processes together stay within the fleet's retry budget in every window")
{
    constexpr int PROCESSES = 8;
    constexpr int REQUESTS = 400;
    RetryBudgetSettings budget;
    budget.fleetSlack = 100;
    budget.usedShare = 1;
    int taken = 0;
    for (int process = 0; process < PROCESSES; ++process) {
        RetryWindow window(budget);
        for (int i = 0; i < REQUESTS / PROCESSES; ++i) {
            window.noteRequest("s", START);
        }
        while (window.tryTake("s", PROCESSES, START)) {
            ++taken;
        }
        CHECK_FALSE(window.tryTake("s", PROCESSES, START + milliseconds(9999)));
    }
    CHECK(taken <= static_cast<int>(0.2 * REQUESTS + 100));
    CHECK(taken >= static_cast<int>(0.2 * REQUESTS));
}

TEST_CASE("a burst is rejected immediately, with a retry time when capacity is expected")
{
    const OverloadSettings settings;
    OverloadInputs inputs;
    inputs.objective = milliseconds(500);
    inputs.timeLeft = milliseconds(4000);
    inputs.initialTimeLeft = milliseconds(4000);
    inputs.expectedFirstEvent = milliseconds(1200);
    CHECK(std::holds_alternative<AcceptRequest>(decideOverload(settings, inputs, 0.5)));
    inputs.expectedFirstEvent = milliseconds(1700);
    const auto early = std::get<RejectRequest>(decideOverload(settings, inputs, 0.0)).retryAfter;
    const auto late = std::get<RejectRequest>(decideOverload(settings, inputs, 0.9)).retryAfter;
    CHECK(early < late);
    CHECK(late <= milliseconds(4000) / 3);
    // A retry is accepted as long as the response can still be in time.
    inputs.timeLeft = milliseconds(3500);
    CHECK(std::holds_alternative<AcceptRequest>(decideOverload(settings, inputs, 0.5)));
    inputs.expectedFirstEvent = milliseconds(2000);
    CHECK(std::holds_alternative<RejectRequest>(decideOverload(settings, inputs, 0.5)));
}

TEST_CASE(
    "a stopping process serves until the balancer detects it, then accepts only requests that fit into the grace time")
{
    const StopPlan plan(START, milliseconds(8000));
    CHECK(plan.accepts(milliseconds(12000), true, START + milliseconds(1000)));
    CHECK(plan.accepts(milliseconds(6000), false, START + milliseconds(1000)));
    CHECK_FALSE(plan.accepts(milliseconds(7000), false, START + milliseconds(1000)));
    CHECK(plan.endOfAnswers() < START + milliseconds(7600));
    CHECK_FALSE(plan.isOver(0, START + milliseconds(1000)));
    const TimePoint detected = START + StopPlan::BALANCER_DETECTION_TIME;
    CHECK(plan.closesIdleConnections(detected));
    for (const bool isRepeatable : {false, true}) {
        CHECK(plan.accepts(milliseconds(4000), isRepeatable, detected));
        CHECK_FALSE(plan.accepts(milliseconds(5500), isRepeatable, detected));
    }
    CHECK(plan.isOver(0, detected));
    CHECK_FALSE(plan.isOver(1, detected));
    CHECK(plan.isOver(1, START + milliseconds(7600)));
}

TEST_CASE("only complete events are returned, and the bytes after them are kept")
{
    EventSplitter splitter;
    CHECK(splitter.add("id: 1\nda").empty());
    CHECK(splitter.add("ta: x\n\nid: 2\r\n\r\nid: 3\n")
        == std::vector<std::string>{"id: 1\ndata: x\n\n", "id: 2\r\n\r\n"});
    CHECK(splitter.rest() == "id: 3\n");
}

TEST_CASE("the correction follows observed times of its level and returns to 1")
{
    EstimateCorrection correction;
    CHECK(correction.factor(5, START) == Approx(1));
    for (int i = 0; i < 20; ++i) {
        correction.addObservation(5, 300, 900, START);
    }
    CHECK(correction.factor(5, START) > 2.5);
    CHECK(correction.factor(5, START + milliseconds(15000)) == Approx(1).margin(0.1));
    // Engines start more urgent requests first, so these don't wait as long.
    CHECK(correction.factor(4, START) == Approx(1));
}

TEST_CASE("routine log lines are limited and leave capacity for failure lines")
{
    LogBudget budget;
    std::size_t written = 0;
    for (int i = 0; i < 5000; ++i) {
        written += budget.allows(false, START) ? 1 : 0;
    }
    CHECK(written == LogBudget::ROUTINE_LINES_PER_SECOND);
    CHECK(budget.allows(true, START));
    CHECK(budget.takeSuppressed() == 5000 - LogBudget::ROUTINE_LINES_PER_SECOND);
    CHECK(budget.allows(false, START + milliseconds(1000)));
}
