/** \file
 * Stand-in for the platform's VM list. PUT /vms/NAME with "live", "leaving" or "gone" sets the state of a VM; reads
 * return the new state only after the delay that --lag-ms or POST /control {"lag_ms": N} sets.
 */
#include "clock.h"
#include "eventlog.h"
#include "jsoncodec.h"
#include "options.h"
#include "transport/serverexchange.h"
#include "transport/threadedhttpserver.h"

#include <cstdlib>
#include <map>
#include <mutex>
#include <vector>

using namespace Cyclamenturn;

namespace
{

constexpr std::size_t MAX_BODY_BYTES = 4096;
constexpr int THREAD_COUNT = 64;

/** A new state of a VM and the time at which it was set. */
struct StateChange
{
    TimePoint at;
    std::string state;
};

class VmList
{
public:
    explicit VmList(Duration lag)
        : m_lag(lag)
    {
    }

    void handle(ServerExchange &exchange)
    {
        const std::string prefix = "/vms/";
        const std::string &path = exchange.path();
        const std::string vm = path.compare(0, prefix.size(), prefix) == 0 ? path.substr(prefix.size()) : "";
        if (exchange.method() == "GET") {
            Json::Value out;
            out["vm"] = vm;
            out["state"] = state(vm);
            exchange.reply(200, toJsonText(out));
            return;
        }
        const std::string body = exchange.readBody(MAX_BODY_BYTES).value_or("");
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (path == "/control") {
            m_lag = milliseconds(JsonObject(parseJson(body)).integer("lag_ms"));
        } else {
            m_changes[vm].push_back({currentTime(), body});
        }
        exchange.reply(200, "{}");
    }

private:
    /** The state that readers see at present; "live" for a VM that was never changed. */
    std::string state(const std::string &vm)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string out = "live";
        for (const StateChange &change : m_changes[vm]) {
            out = change.at + m_lag <= currentTime() ? change.state : out;
        }
        return out;
    }

    std::mutex m_mutex;
    std::map<std::string, std::vector<StateChange>> m_changes;
    Duration m_lag;
};

}

int main(int argc, char **argv)
{
    installSignalHandlers();
    startLogging();
    const Options options(argc, argv, {{"listen", "127.0.0.1:7701"}, {"lag-ms", "0"}});
    VmList list(milliseconds(options.number("lag-ms")));
    ThreadedHttpServer listener(
        options.address("listen"), THREAD_COUNT, [&](ServerExchange &exchange) { list.handle(exchange); });
    waitForStopSignal();
    std::_Exit(0);
}
