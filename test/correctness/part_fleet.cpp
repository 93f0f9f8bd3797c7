/** \file
 * Gateways that exchange evidence about parts of prompts, beside endpoints that crash on one of them. Prompts are
 * replayed without a network: each is judged by its gateway, runs at an endpoint, and is answered or interrupted.
 */
#include "gateway/partquarantine.h"
#include "gateway/requesttraits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace Cyclamenturn;

namespace
{

constexpr int STEP_MS = 10;
constexpr int FIRST_EVENT_MS = 150;
constexpr int STREAM_MS = 950;
constexpr int AWAY_MS = 4000;
/** Rounds of digests, of which one in four has evidence without a recent crash. */
constexpr int ROUND_MS = 300;
constexpr int ROUNDS_PER_REPEAT = 4;
/** The platform's rules count from the fifth crash, BUDGET after this time and LOST after twice of it. */
constexpr int STABLE_MS = 3000;
constexpr std::size_t COUNTED_CRASH = 5;
constexpr int MAX_LATE_PROMPTS = 3;

/** What a caller sends at regular intervals. */
struct Source
{
    /** Returns the ids of the shared parts of the prompt sent at a time. */
    std::function<std::vector<std::string>(int number, int ms)> parts;
    std::string team;
    int firstMs = 0;
    int intervalMs = 0;
    /** Whether its prompts are counted as the sound ones of the rule. */
    bool isCounted = false;
};

class PartFleet
{
public:
    PartFleet(int gateways, int endpoints, std::string badPart)
        : m_quarantines(static_cast<std::size_t>(gateways))
        , m_endpoints(static_cast<std::size_t>(endpoints))
        , m_badPart(std::move(badPart))
    {
    }

    /** The bad part crashes endpoints from this time on; prompts with it are answered before. */
    void crashFrom(int ms)
    {
        m_crashFromMs = ms;
    }
    void run(const std::vector<Source> &sources, int untilMs)
    {
        std::vector<int> sent(sources.size());
        for (int ms = 0; ms < untilMs; ms += STEP_MS) {
            for (std::size_t i = 0; i < sources.size(); ++i) {
                if (ms >= sources[i].firstMs + sent[i] * sources[i].intervalMs) {
                    send(sources[i], sent[i]++, ms);
                }
            }
            advance(ms);
            exchange(ms);
        }
    }

    std::size_t crashCount() const
    {
        return m_crashes.size();
    }
    /** The time of the fifth crash, or of the last one if there are fewer. */
    int knownMs() const
    {
        REQUIRE_FALSE(m_crashes.empty());
        return m_crashes[std::min(COUNTED_CRASH, m_crashes.size()) - 1];
    }
    /** Prompts with the bad part that were sent to endpoints too late. */
    int latePrompts() const
    {
        return static_cast<int>(
            std::count_if(m_badSent.begin(), m_badSent.end(), [this](int ms) { return ms > knownMs() + STABLE_MS; }));
    }
    /** The share of the counted prompts that began, of those sent in a time. */
    double beganShare(int beginMs, int endMs) const
    {
        int began = 0;
        int all = 0;
        for (const auto &prompt : m_counted) {
            if (prompt.sentMs >= beginMs && prompt.sentMs < endMs) {
                ++all;
                began += prompt.hasBegun ? 1 : 0;
            }
        }
        REQUIRE(all > 0);
        return static_cast<double>(began) / all;
    }

private:
    struct Counted
    {
        int sentMs = 0;
        bool hasBegun = false;
    };
    struct Running
    {
        std::vector<PartKey> parts;
        std::string team;
        std::uint64_t request = 0;
        std::size_t gateway = 0;
        int sentMs = 0;
        bool isBad = false;
        bool hasBegun = false;
        /** Position in m_counted, or -1. */
        int counted = -1;
    };
    struct Endpoint
    {
        int downUntilMs = 0;
        int incarnation = 0;
        std::vector<Running> running;
    };

    static TimePoint at(int ms)
    {
        return TimePoint(milliseconds(1000000000)) + milliseconds(ms);
    }

    void send(const Source &source, int number, int ms)
    {
        const std::vector<std::string> ids = source.parts(number, ms);
        PromptTraits prompt;
        for (const auto &id : ids) {
            prompt.parts.push_back({id, 100});
        }
        prompt.parts.push_back({"own", 100});
        Running running{sharedParts(prompt), source.team, ++m_request, m_request % m_quarantines.size(), ms};
        running.isBad = ms >= m_crashFromMs && std::find(ids.begin(), ids.end(), m_badPart) != ids.end();
        if (source.isCounted) {
            running.counted = static_cast<int>(m_counted.size());
            m_counted.push_back({ms, false});
        }
        if (m_quarantines[running.gateway].verdict(running.parts, source.team, at(ms))) {
            return;
        }
        for (std::size_t tried = 0; tried < m_endpoints.size(); ++tried) {
            Endpoint &endpoint = m_endpoints[++m_next % m_endpoints.size()];
            if (ms >= endpoint.downUntilMs) {
                if (running.isBad) {
                    m_badSent.push_back(ms);
                }
                endpoint.running.push_back(running);
                return;
            }
        }
    }

    void advance(int ms)
    {
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            auto &running = m_endpoints[i].running;
            const bool hasCrashed = std::any_of(running.begin(), running.end(),
                [ms](const Running &prompt) { return prompt.isBad && ms >= prompt.sentMs + FIRST_EVENT_MS; });
            if (hasCrashed) {
                crash(i, ms);
                continue;
            }
            for (auto &prompt : running) {
                if (!prompt.hasBegun && ms >= prompt.sentMs + FIRST_EVENT_MS) {
                    prompt.hasBegun = true;
                    m_quarantines[prompt.gateway].noteAnswer(prompt.parts, at(ms));
                    if (prompt.counted >= 0) {
                        m_counted[static_cast<std::size_t>(prompt.counted)].hasBegun = true;
                    }
                }
            }
            running.erase(std::remove_if(running.begin(), running.end(),
                              [ms](const Running &prompt) { return ms >= prompt.sentMs + STREAM_MS; }),
                running.end());
        }
    }

    void crash(std::size_t index, int ms)
    {
        Endpoint &endpoint = m_endpoints[index];
        const std::string name = std::to_string(index) + "-" + std::to_string(endpoint.incarnation++);
        for (const auto &prompt : endpoint.running) {
            if (!prompt.hasBegun) {
                m_quarantines[prompt.gateway].recordCrash(prompt.parts, prompt.request, prompt.team, name, at(ms));
                m_broadcasts.push_back({prompt.gateway, ms + 2 * STEP_MS});
            }
        }
        endpoint.running.clear();
        endpoint.downUntilMs = ms + AWAY_MS;
        m_crashes.push_back(ms);
    }

    void exchange(int ms)
    {
        for (std::size_t i = 0; i < m_quarantines.size(); ++i) {
            m_quarantines[i].takeNewVerdicts(at(ms));
            const auto isDue = [i, ms](const Broadcast &broadcast) {
                return broadcast.gateway == i && broadcast.atMs <= ms;
            };
            const bool isBroadcast = std::any_of(m_broadcasts.begin(), m_broadcasts.end(), isDue);
            m_broadcasts.erase(std::remove_if(m_broadcasts.begin(), m_broadcasts.end(), isDue), m_broadcasts.end());
            const int round = ms / ROUND_MS;
            const bool isRound = ms % ROUND_MS == 0
                && (m_quarantines[i].hasFreshCrash(at(ms)) || (round + static_cast<int>(i)) % ROUNDS_PER_REPEAT == 0);
            for (std::size_t to = 0; (isBroadcast || isRound) && to < m_quarantines.size(); ++to) {
                if (to != i) {
                    m_quarantines[to].merge(m_quarantines[i].evidence(at(ms)), at(ms));
                }
            }
        }
    }

    struct Broadcast
    {
        std::size_t gateway = 0;
        int atMs = 0;
    };

    std::vector<PartQuarantine> m_quarantines;
    std::vector<Endpoint> m_endpoints;
    std::string m_badPart;
    int m_crashFromMs = 0;
    std::vector<Broadcast> m_broadcasts;
    std::vector<Counted> m_counted;
    std::vector<int> m_crashes;
    std::vector<int> m_badSent;
    std::uint64_t m_request = 0;
    std::size_t m_next = 0;
};

std::vector<std::string> otherPrompt(int number, int)
{
    return {"template-" + std::to_string(number % 4), "document-" + std::to_string(number % 40)};
}

std::function<std::vector<std::string>(int, int)> promptsOn(const std::string &promptTemplate, int documentMs)
{
    return [promptTemplate, documentMs](int, int ms) {
        return std::vector<std::string>{promptTemplate, "own-document-" + std::to_string(ms / documentMs)};
    };
}

constexpr int BAD_SINCE_MS = 12000;
constexpr int END_MS = BAD_SINCE_MS + 43000;

void requireRulesHold(const PartFleet &fleet, int phaseMs)
{
    CAPTURE(phaseMs, fleet.crashCount());
    CHECK(fleet.latePrompts() <= MAX_LATE_PROMPTS);
    CHECK(fleet.beganShare(fleet.knownMs() + 2 * STABLE_MS, END_MS) >= fleet.beganShare(0, BAD_SINCE_MS) / 2);
}

}

TEST_CASE("a bad template is found though the documents that its prompts share with sound ones change")
{
    for (int phaseMs = 0; phaseMs < 5000; phaseMs += 500) {
        PartFleet fleet(4, 12, "bad-template");
        fleet.run({{otherPrompt, "team-1", 0, 100}, {promptsOn("template-1", 5000), "team-2", phaseMs, 1600, true},
                      {promptsOn("bad-template", 5000), "team-2", BAD_SINCE_MS + phaseMs, 400}},
            END_MS);
        requireRulesHold(fleet, phaseMs);
    }
}

TEST_CASE("a document that sound prompts share with a bad template isn't refused instead of the template")
{
    for (int phaseMs = 0; phaseMs < 1600; phaseMs += 200) {
        PartFleet fleet(4, 12, "bad-template");
        fleet.run({{otherPrompt, "team-1", 0, 100}, {promptsOn("template-1", END_MS), "team-2", phaseMs, 1600, true},
                      {promptsOn("bad-template", END_MS), "team-2", BAD_SINCE_MS, 400}},
            END_MS);
        requireRulesHold(fleet, phaseMs);
    }
}

TEST_CASE("a bad document is found though the templates that its prompts share with sound ones change")
{
    for (int phaseMs = 0; phaseMs < 1600; phaseMs += 200) {
        PartFleet fleet(4, 12, "bad-document");
        const auto promptTemplate = [](int ms) {
            return "own-template-" + std::to_string(ms / 5000);
        };
        fleet.run(
            {{otherPrompt, "team-1", 0, 100},
                {[&](int number, int ms) {
                     return std::vector<std::string>{promptTemplate(ms), "document-" + std::to_string(number % 8)};
                 },
                    "team-2", phaseMs, 1600, true},
                {[&](int, int ms) {
                     return std::vector<std::string>{promptTemplate(ms), "bad-document"};
                 },
                    "team-2", BAD_SINCE_MS, 400}},
            END_MS);
        requireRulesHold(fleet, phaseMs);
    }
}

TEST_CASE("a part that was answered before it began to crash endpoints is found beside new parts of its prompts")
{
    for (const bool isFirstPart : {true, false}) {
        for (int phaseMs = 0; phaseMs < 1600; phaseMs += 200) {
            PartFleet fleet(4, 12, "bad");
            const auto prompt = [isFirstPart](const std::string &part, int ms) {
                const std::string chapter = "chapter-" + std::to_string(ms / 5000);
                return isFirstPart ? std::vector<std::string>{part, chapter}
                                   : std::vector<std::string>{"template-1", part, chapter};
            };
            fleet.crashFrom(BAD_SINCE_MS);
            fleet.run({{otherPrompt, "team-1", 0, 100},
                          {[&](int, int ms) { return prompt("sound", ms); }, "team-2", phaseMs, 1600, true},
                          {[&](int, int ms) { return prompt("bad", ms); }, "team-2", 1000, 400}},
                END_MS);
            CAPTURE(isFirstPart);
            requireRulesHold(fleet, phaseMs);
        }
    }
}

TEST_CASE("a bad template in front of three endpoints")
{
    for (int phaseMs = 0; phaseMs < 1000; phaseMs += 200) {
        PartFleet fleet(4, 3, "bad-template");
        const auto document = [](int number) {
            return "document-" + std::to_string(number % 40);
        };
        fleet.run({{[&](int number, int) {
                        return std::vector<std::string>{"template-" + std::to_string(number % 4), document(number)};
                    },
                       "team-1", 0, 250, true},
                      {[&](int number, int) {
                           return std::vector<std::string>{"bad-template", document(number * 7)};
                       },
                          "team-1", BAD_SINCE_MS + phaseMs, 1000}},
            END_MS);
        requireRulesHold(fleet, phaseMs);
    }
}
