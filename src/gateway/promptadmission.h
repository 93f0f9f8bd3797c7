/** \file
 * Decides which requests are started at services whose engine speeds were learned. A request that can't end in its
 * time, or whose first event would be late, isn't started, so that queues stay short and what is started is of use.
 */
#pragma once

#include "engineprioritylevels.h"
#include "overloadpolicy.h"
#include "timepoint.h"

#include <array>

namespace Cyclamenturn
{

/** Shares of the requests of each priority level of a service that were rejected recently. */
class RejectedShares
{
public:
    static constexpr Duration TIME_CONSTANT = milliseconds(5000);

    void note(int level, bool isRejected, TimePoint now);
    /** Whether a clearly larger share of the requests of a more urgent level was rejected. */
    bool isMoreUrgentRejected(int level, TimePoint now) const;
    /** Of the requests that weren't rejected, the share that engines start before or together with those of `level`. 1
     * while there were none. */
    double asUrgentShare(int level, TimePoint now) const;
    /** The share of all requests that was rejected. It is biased towards 0 when there are few. */
    double total(TimePoint now) const;

private:
    /** All sums decay with TIME_CONSTANT. */
    struct Level
    {
        double requests = 0;
        double rejected = 0;
        TimePoint updatedAt;
    };
    std::array<Level, ENGINE_PRIORITY_LEVELS> m_levels;
};

struct AdmissionInputs
{
    /** Expected time to the first event at the best endpoint, corrected by recent observations. */
    Duration expectedFirstEvent{};
    /** The part of it that would pass without other requests too. */
    Duration processing{};
    /** Expected time from the first event to the end. */
    Duration expectedOutput{};
    Duration objective{};
    /** Remaining time until the caller's timeout. */
    Duration timeLeft{};
    /** Time until the timeout that a request of this route has at its first attempt. */
    Duration initialTimeLeft{};
    bool isLongPrompt = false;
    /** Whether half of the service's slots are free and nothing waits there. */
    bool hasAmpleSlots = false;
    /** RejectedShares::asUrgentShare(); the rest of the queue is overtaken. */
    double asUrgentShare = 1;
    /** RejectedShares::total() */
    double rejectedShare = 0;
    /** RejectedShares::isMoreUrgentRejected() */
    bool isMoreUrgentRejected = false;
};

/** Accepts or rejects a request. `draw` is a random number, uniform in [0, 1), that spreads the retries. */
OverloadDecision decideAdmission(const OverloadSettings &settings, const AdmissionInputs &inputs, double draw);

}
