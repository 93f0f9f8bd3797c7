/** \file
 * Schedules drawn from a seed: two entry cores, three agent cores, a store and callers on a fake wire, with two faults
 * at a time. Checks that no key runs twice, that "not run" is true, and that answers are. Run one schedule again with
 * `error_random_faults --seed N`.
 */
#define CATCH_CONFIG_RUNNER
#include "activeconfiguration.h"
#include "entrycore.h"
#include "fixtures.h"
#include "rendezvoushash.h"

#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace Cyclamenturn;

namespace
{

constexpr std::uint64_t SCHEDULES = 3000;
constexpr int AGENTS = 3;
constexpr int ENTRIES = 2;
constexpr int KEYS = 6;
constexpr int MOST_ATTEMPTS = 5;
constexpr Duration END = milliseconds(40000);
constexpr Duration STEP = milliseconds(20);
constexpr Duration WORK = milliseconds(20);
constexpr Duration SILENCE = milliseconds(2000);

std::optional<std::uint64_t> chosenSeed;

enum class Fault {
    CrashAgent,
    ReplacePausedAgent,
    PauseAgent,
    PauseEntry,
    StoreOutage,
    LoseStoreAnswers,
    LossyWire,
    Partition,
    DrainAgent
};
constexpr int FAULTS = 9;

std::string documentOfAgents()
{
    const std::string third = R"(
[[endpoint]]
name = "desk-3"
service = "desk"
host = "127.0.0.1"
port = 1005
failure_domain = "c"
slots = 2
)";
    return documentText() + third;
}

struct AgentNode
{
    std::string endpoint;
    std::unique_ptr<AgentCore> core;
    std::uint64_t incarnation = 0;
    Duration skew{};
    TimePoint pausedUntil;
    bool alive = true;
    std::set<std::string> seenCalls;
    std::map<std::string, Call> calls;
    std::map<std::string, std::function<void(Outcome)>> replies;
    std::uint64_t headVersion = 0;
    bool predecessorsSealed = false;
    bool sameVmStart = true;
};
using AgentPtr = std::shared_ptr<AgentNode>;

struct EntryNode
{
    std::unique_ptr<EntryCore> core;
    TimePoint pausedUntil;
};

struct StoredHead
{
    JournalHead head;
    std::uint64_t version = 0;
};

class World
{
public:
    explicit World(std::uint64_t seed)
        : m_random(seed)
        , m_configuration(FleetConfiguration::parse(documentOfAgents(), "test", 1))
    {
        for (int i = 0; i < AGENTS; ++i) {
            m_current.push_back(startAgent("desk-" + std::to_string(i + 1), true));
        }
        for (int i = 0; i < ENTRIES; ++i) {
            m_entries[i].core = std::make_unique<EntryCore>(EntryPolicy(), "a", seed + static_cast<std::uint64_t>(i));
            entryEvent(i, EntryConfigurationApplied{m_configuration});
        }
    }

    ~World()
    {
        // An agent's replies hold the agent itself.
        for (const AgentPtr &agent : m_agents) {
            agent->replies.clear();
        }
    }

    void run()
    {
        for (int i = 0; i < 2; ++i) {
            const auto kind = static_cast<Fault>(pick(FAULTS));
            schedule(milliseconds(500 + pick(8000)), [this, kind] { inject(kind); });
        }
        for (int key = 0; key < KEYS; ++key) {
            schedule(milliseconds(1000 + pick(8000)), [this, key] { send("k" + std::to_string(key), now(), 0); });
        }
        while (m_now < at(0) + END) {
            while (!m_events.empty() && m_events.top().at <= m_now) {
                const auto action = m_events.top().action;
                m_events.pop();
                action();
            }
            tick();
            m_now += STEP;
        }
    }

    std::vector<std::string> violations;
    int served = 0;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    std::int64_t pick(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }
    TimePoint now() const
    {
        return m_now;
    }
    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(action)});
    }
    Duration wireDelay()
    {
        return milliseconds(1 + pick(m_now < m_lossyUntil ? 900 : 5));
    }
    bool lost()
    {
        return m_now < m_lossyUntil && pick(3) == 0;
    }
    bool cut(int entry, const AgentNode &agent) const
    {
        return m_now < m_partitionUntil && entry == 0 && agent.endpoint != "desk-1";
    }
    bool storeAnswers()
    {
        return m_now >= m_outageUntil && !(m_now < m_loseAnswersUntil && pick(2) == 0);
    }
    bool storeTakesWrites() const
    {
        return m_now >= m_outageUntil;
    }

    AgentPtr startAgent(const std::string &endpoint, bool sameVm)
    {
        auto agent = std::make_shared<AgentNode>();
        agent->endpoint = endpoint;
        agent->sameVmStart = sameVm;
        agent->skew = milliseconds(pick(240) - 120);
        agent->incarnation = static_cast<std::uint64_t>((m_now + agent->skew).time_since_epoch().count());
        agent->core = std::make_unique<AgentCore>(
            AgentIdentity{"desk", endpoint, "vm-" + std::to_string(m_sequence), agent->incarnation}, AgentPolicy());
        m_agents.push_back(agent);
        agentEvent(agent, ConfigurationApplied{m_configuration});
        return agent;
    }

    bool reachable(const AgentPtr &agent) const
    {
        return agent->alive && m_now >= agent->pausedUntil;
    }

    void inject(Fault fault)
    {
        const auto index = static_cast<std::size_t>(pick(AGENTS));
        const AgentPtr agent = m_current[index];
        const Duration length = milliseconds(500 + pick(7000));
        switch (fault) {
        case Fault::CrashAgent:
            agent->alive = false;
            schedule(length, [this, index, agent] { m_current[index] = startAgent(agent->endpoint, true); });
            break;
        case Fault::ReplacePausedAgent:
            agent->pausedUntil = m_now + length * 2;
            schedule(length, [this, index, agent] { m_current[index] = startAgent(agent->endpoint, false); });
            break;
        case Fault::PauseAgent:
            agent->pausedUntil = m_now + length;
            break;
        case Fault::PauseEntry:
            m_entries[pick(ENTRIES)].pausedUntil = m_now + length;
            break;
        case Fault::StoreOutage:
            m_outageUntil = m_now + length * 2;
            break;
        case Fault::LoseStoreAnswers:
            m_loseAnswersUntil = m_now + length * 2;
            break;
        case Fault::LossyWire:
            m_lossyUntil = m_now + length;
            break;
        case Fault::Partition:
            m_partitionUntil = m_now + length;
            break;
        case Fault::DrainAgent:
            agentEvent(agent, LeaveRequested());
            break;
        }
    }

    void tick()
    {
        for (const AgentPtr &agent : std::vector<AgentPtr>(m_agents)) {
            if (reachable(agent)) {
                agentEvent(agent, Tick());
            }
        }
        for (int i = 0; i < ENTRIES; ++i) {
            entryEvent(i, EntryTick());
        }
    }

    void agentEvent(const AgentPtr &agent, const AgentEvent &event)
    {
        if (!agent->alive) {
            return;
        }
        if (m_now < agent->pausedUntil) {
            schedule(agent->pausedUntil - m_now, [this, agent, event] { agentEvent(agent, event); });
            return;
        }
        for (const auto &action : agent->core->handle(event, m_now + agent->skew)) {
            std::visit([&](const auto &item) { perform(agent, item); }, action);
        }
    }

    void perform(const AgentPtr &agent, const StartRun &action)
    {
        // The process may be paused between the decision and the first byte.
        schedule(milliseconds(pick(3)), [this, agent, action] { firstByte(agent, action); });
    }
    void firstByte(const AgentPtr &agent, const StartRun &action)
    {
        if (!agent->alive) {
            return;
        }
        if (m_now < agent->pausedUntil) {
            schedule(agent->pausedUntil - m_now, [this, agent, action] { firstByte(agent, action); });
            return;
        }
        if (action.startBefore && m_now + agent->skew >= *action.startBefore) {
            agentEvent(agent, RunEnded{action.callId, RunEnd::Expired});
            return;
        }
        const std::string key = agent->calls.at(action.callId).key->value;
        if (++m_runs[key] > 1) {
            violations.push_back(key + " ran twice");
        }
        schedule(WORK, [this, agent, action] { agentEvent(agent, RunEnded{action.callId, RunEnd::Completed}); });
    }
    void perform(const AgentPtr &agent, const FinishCall &action)
    {
        reply(agent, action.callId, action.outcome);
    }
    void perform(const AgentPtr &agent, const AnswerFromRecord &action)
    {
        reply(agent, action.callId, action.state == KeyState::Ended ? Outcome::alreadyRun() : Outcome::inProgress());
    }
    void perform(const AgentPtr &agent, const AnswerFromPeer &action)
    {
        const bool lostRun = action.state == KeyState::OutcomeUnknown;
        const bool ended = action.state == KeyState::Ended;
        reply(agent, action.callId,
            lostRun     ? Outcome::unknown(RefusalReason::KeySeen)
                : ended ? Outcome::alreadyRun()
                        : Outcome::inProgress());
    }
    void reply(const AgentPtr &agent, const std::string &callId, const Outcome &outcome)
    {
        const auto it = agent->replies.find(callId);
        if (it != agent->replies.end()) {
            it->second(outcome);
        }
    }
    void perform(const AgentPtr &agent, const GatherEvidence &action)
    {
        auto evidence = std::make_shared<ResendEvidence>();
        evidence->gatheringStartedAt = m_now + agent->skew;
        for (const AgentPtr &asked : std::vector<AgentPtr>(m_current)) {
            evidence->listedEndpoints.push_back(asked->endpoint);
            const Duration delay = wireDelay();
            if (reachable(asked) && !lost() && delay < milliseconds(300)) {
                schedule(delay, [this, agent, asked, action, evidence] { askAgent(agent, asked, action, *evidence); });
            }
        }
        schedule(milliseconds(350 + pick(50)), [this, agent, action, evidence] {
            evidence->storeConfirmed = storeAnswers();
            for (const auto &[key, stored] : m_heads) {
                evidence->journals.push_back({stored.head, {}, true});
            }
            agentEvent(agent, EvidenceGathered{action.callId, *evidence});
        });
    }
    void askAgent(const AgentPtr &asker, const AgentPtr &asked, const GatherEvidence &action, ResendEvidence &evidence)
    {
        if (!reachable(asked)) {
            return;
        }
        const AgentEvent query = KeyQueried{1, action.key.value, action.key.issuedAt};
        for (const auto &answer : only<AnswerKeyQuery>(asked->core->handle(query, m_now + asked->skew))) {
            KeyReport statement;
            statement.endpoint = asked->endpoint;
            statement.incarnation = asked->incarnation;
            statement.completeSince = TimePoint(Duration(static_cast<std::int64_t>(asked->incarnation)));
            if (answer.record && asked != asker) {
                statement.state = answer.record->state;
            }
            evidence.keyReports.push_back(statement);
        }
    }
    void perform(const AgentPtr &agent, const ClaimKey &action)
    {
        schedule(wireDelay(), [this, agent, action] {
            ClaimResult result = ClaimResult::Unclear;
            const std::string me = agent->endpoint + std::to_string(agent->incarnation);
            if (storeTakesWrites()) {
                const std::string holder = m_claims.emplace(action.key.value, me).first->second;
                result = holder == me ? ClaimResult::Claimed : ClaimResult::ClaimedByOther;
                result = storeAnswers() ? result : ClaimResult::Unclear;
            }
            agentEvent(agent, KeyClaimed{action.callId, result});
        });
    }
    void perform(const AgentPtr &, const AnswerKeyQuery &)
    {
    }
    void perform(const AgentPtr &, const SendOrder &)
    {
    }
    void perform(const AgentPtr &, const PreemptRun &)
    {
    }
    void perform(const AgentPtr &, const CancelRun &)
    {
    }
    void perform(const AgentPtr &agent, const WriteJournal &action)
    {
        schedule(wireDelay(), [this, agent, action] {
            JournalResult result = JournalResult::Failed;
            if (storeTakesWrites()) {
                sealPredecessors(*agent, action.write.head);
                StoredHead &stored = m_heads[headKey(action.write.head)];
                const bool fenced = stored.head.deadBy.has_value();
                if (!fenced) {
                    stored.head = action.write.head;
                }
                result = fenced ? JournalResult::Fenced : JournalResult::Written;
                result = storeAnswers() || fenced ? result : JournalResult::Failed;
            }
            agentEvent(agent, JournalWritten{result});
        });
    }
    void sealPredecessors(AgentNode &agent, const JournalHead &own)
    {
        if (agent.predecessorsSealed) {
            return;
        }
        agent.predecessorsSealed = true;
        for (auto &[key, stored] : m_heads) {
            JournalHead &head = stored.head;
            if (head.endpoint == agent.endpoint && head.incarnation < agent.incarnation && !head.closed
                && !head.deadBy) {
                const TimePoint start{Duration(static_cast<std::int64_t>(agent.incarnation))};
                head.deadBy = agent.sameVmStart ? start : own.watermark + AgentCore::SEAL_GRACE;
            }
        }
    }
    void perform(const AgentPtr &agent, const StopProcess &)
    {
        agent->alive = false;
        for (std::size_t i = 0; i < m_current.size(); ++i) {
            if (m_current[i] == agent) {
                schedule(milliseconds(500), [this, i, agent] { m_current[i] = startAgent(agent->endpoint, true); });
            }
        }
    }

    void entryEvent(int index, const EntryEvent &event)
    {
        EntryNode &entry = m_entries[index];
        if (m_now < entry.pausedUntil) {
            schedule(entry.pausedUntil - m_now, [this, index, event] { entryEvent(index, event); });
            return;
        }
        for (const auto &action : entry.core->handle(event, m_now)) {
            std::visit([&](const auto &item) { performEntry(index, item); }, action);
        }
    }
    void performEntry(int index, const SendAttempt &action)
    {
        schedule(wireDelay(), [this, index, action] { deliver(index, action); });
    }
    void deliver(int index, const SendAttempt &action)
    {
        const auto end = [this, index, action](const AttemptResult &result) {
            entryEvent(index, AttemptEnded{action.callId, action.endpoint, result});
        };
        const auto current = std::find_if(
            m_current.begin(), m_current.end(), [&](const auto &agent) { return agent->endpoint == action.endpoint; });
        const AgentPtr agent = *current;
        if (!reachable(agent) || cut(index, *agent)) {
            schedule(milliseconds(250), [end] { end(AttemptNeverSent()); });
            return;
        }
        // Handshake and call may be apart, for instance while the entry is paused.
        auto answered = std::make_shared<bool>(false);
        const auto once = [answered, end](const AttemptResult &result) {
            if (!*answered) {
                *answered = true;
                end(result);
            }
        };
        schedule(SILENCE * 3, [once] { once(AttemptUnanswered()); });
        const int copies = lost() ? 0 : (m_now < m_lossyUntil && pick(4) == 0 ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            schedule(wireDelay(), [this, index, agent, action, once] { offer(index, agent, action, once); });
        }
    }
    template<typename Once>
    void offer(int index, const AgentPtr &agent, const SendAttempt &action, const Once &once)
    {
        if (!agent->alive || !agent->seenCalls.insert(action.callId).second) {
            return;
        }
        const Call call = m_calls.at(action.callId);
        agent->calls[action.callId] = call;
        agent->replies[action.callId] = [this, index, agent, once](Outcome outcome) {
            if (!lost() && !cut(index, *agent)) {
                schedule(wireDelay(), [once, outcome] { once(AttemptAnswered{outcome}); });
            }
        };
        agentEvent(agent, CallOffered{call, action.incarnation, false, 0});
    }
    void performEntry(int index, const WaitForRetry &action)
    {
        schedule(action.delay, [this, index, action] { entryEvent(index, RetryDue{action.callId}); });
    }
    void performEntry(int, const SendHeartbeat &)
    {
    }
    void performEntry(int, const FinishRequest &action)
    {
        const Call call = m_calls.at(action.callId);
        const std::string key = call.key->value;
        const int runs = m_runs.count(key) > 0 ? m_runs.at(key) : 0;
        const bool saysRun
            = action.outcome.kind() == OutcomeKind::Served || action.outcome.kind() == OutcomeKind::AlreadyRun;
        if (action.outcome.kind() == OutcomeKind::NotRun && runs > 0) {
            violations.push_back(key + " ran and was told not run");
        }
        if (action.outcome.kind() == OutcomeKind::NotRun) {
            m_toldNotRun.insert(action.callId);
        }
        if (saysRun && runs != 1) {
            violations.push_back(key + " was told to have run");
        }
        served += action.outcome.kind() == OutcomeKind::Served ? 1 : 0;
        const int attempt = m_attempts[action.callId];
        const bool resend = !saysRun && attempt + 1 < MOST_ATTEMPTS;
        // Callers also give up waiting and send again while the first attempt is still on its way.
        if (resend) {
            const Duration pause = action.outcome.retryAfter().value_or(milliseconds(100));
            schedule(pause, [this, call, attempt] { send(call.key->value, call.key->issuedAt, attempt + 1); });
        }
    }

    void send(const std::string &key, TimePoint issuedAt, int attempt)
    {
        const int entry = static_cast<int>(pick(ENTRIES));
        Call call = makeDispatch(key + "-" + std::to_string(m_sequence++), key, issuedAt, attempt == 0);
        call.deadline = m_now + milliseconds(8000);
        m_calls[call.id] = call;
        m_attempts[call.id] = attempt;
        entryEvent(entry, CallAdmitted{call});
        if (attempt < 2) {
            schedule(milliseconds(300 + pick(3000)), [this, key, issuedAt, attempt, id = call.id] {
                if (m_runs.count(key) == 0 && m_toldNotRun.count(id) == 0) {
                    send(key, issuedAt, attempt + 1);
                }
            });
        }
    }

    std::mt19937_64 m_random;
    FleetConfigurationPtr m_configuration;
    TimePoint m_now = at(0);
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::vector<AgentPtr> m_agents;
    std::vector<AgentPtr> m_current;
    EntryNode m_entries[ENTRIES];
    std::map<std::string, StoredHead> m_heads;
    std::map<std::string, std::string> m_claims;
    std::map<std::string, int> m_runs;
    std::map<std::string, Call> m_calls;
    std::map<std::string, int> m_attempts;
    std::set<std::string> m_toldNotRun;
    TimePoint m_outageUntil;
    TimePoint m_loseAnswersUntil;
    TimePoint m_lossyUntil;
    TimePoint m_partitionUntil;
};

}

TEST_CASE("no key runs twice and every outcome is true, with two faults at a time")
{
    const std::uint64_t first = chosenSeed.value_or(1);
    const std::uint64_t last = chosenSeed.value_or(SCHEDULES);
    int served = 0;
    int bad = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        World world(seed);
        world.run();
        served += world.served;
        if (!world.violations.empty() && ++bad <= 5) {
            std::cout << "seed " << seed << ": " << world.violations.front()
                      << "; run it again with: error_random_faults --seed " << seed << "\n";
        }
    }
    std::cout << last - first + 1 << " schedules, " << served << " calls served, " << bad << " schedules with faults\n";
    CHECK(bad == 0);
    CHECK(served > 0);
}

int main(int argc, char **argv)
{
    Catch::Session session;
    std::uint64_t seed = 0;
    session.cli(session.cli() | Catch::clara::Opt(seed, "seed")["--seed"]("run one schedule"));
    const int result = session.applyCommandLine(argc, argv);
    if (result != 0) {
        return result;
    }
    if (seed != 0) {
        chosenSeed = seed;
    }
    return session.run();
}
