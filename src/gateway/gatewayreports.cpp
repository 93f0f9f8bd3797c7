/** \file
 * What a gateway tells about its own event loop, in its metrics and its log.
 */
#include "gateway.h"

#include "eventlog.h"

namespace Cyclamenturn
{

namespace
{

/** A loop whose events wait longer than this delays responses noticeably. */
constexpr Duration NOTICEABLE_DELAY = milliseconds(100);

}

void Gateway::reportLoopLoad()
{
    const LoopLoad load = m_loop.takeLoad();
    const double delaySeconds = std::chrono::duration<double>(load.longestDelay()).count();
    m_metrics.set("cyclamenturn_loop_longest_delay_seconds", {}, delaySeconds);
    const double turnSeconds = std::chrono::duration<double>(load.longestTurn()).count();
    m_metrics.set("cyclamenturn_loop_longest_turn_seconds", {}, turnSeconds);
    const Duration intakeDelay = m_intakeDelay.current(m_loop.now());
    m_metrics.set("cyclamenturn_intake_delay_seconds", {}, std::chrono::duration<double>(intakeDelay).count());
    for (std::size_t i = 0; i < WORK_KINDS; ++i) {
        const auto kind = static_cast<WorkKind>(i);
        const double seconds = std::chrono::duration<double>(load.busy(kind)).count();
        m_metrics.count("cyclamenturn_loop_busy_seconds", {{"kind", toString(kind)}}, seconds);
    }
    if (load.longestDelay() < NOTICEABLE_DELAY) {
        return;
    }
    LogEvent event("loop_behind", LogEvent::Level::Warning);
    event.field("longest_delay_ms", toMilliseconds(load.longestDelay()))
        .field("longest_turn_ms", toMilliseconds(load.longestTurn()))
        .field("requests", static_cast<long long>(m_flows.size()));
    for (std::size_t i = 0; i < WORK_KINDS; ++i) {
        const auto kind = static_cast<WorkKind>(i);
        const std::string name = std::string(toString(kind)) + "_ms";
        event.field(name.c_str(), toMilliseconds(load.busy(kind)));
        event.field(("turn_" + name).c_str(), toMilliseconds(load.busyInLongestTurn(kind)));
    }
}

}
