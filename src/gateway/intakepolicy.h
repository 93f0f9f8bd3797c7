/** \file
 * Rejects requests while this process is behind with its own work. Each request that is accepted costs several times
 * the processor time of a rejection, and one that is answered too late costs it in vain. Rejected early, it can be sent
 * to another gateway, and the most urgent requests keep the processor time of this one.
 */
#pragma once

#include "timepoint.h"

#include <variant>

namespace Cyclamenturn
{

/** How long requests have recently waited until this process read them. */
class IntakeDelay
{
public:
    void add(Duration waited, TimePoint now);
    /** The moving average. It falls while no request arrives. */
    Duration current(TimePoint now) const;

private:
    double m_average = 0;
    TimePoint m_updatedAt;
};

struct IntakeInputs
{
    /** IntakeDelay::current(). */
    Duration delay{};
    /** Time until the caller's timeout. */
    Duration timeLeft{};
    /** Priority level from 0, the most urgent, to ENGINE_PRIORITY_LEVELS - 1. */
    int priority = 0;
};

struct IntakeAccepted
{
};

struct IntakeRejected
{
    /** When the requests that wait now are expected to have been read, spread out. */
    Duration retryAfter{};
};

using IntakeDecision = std::variant<IntakeAccepted, IntakeRejected>;

/** Accepts or rejects a request. `draw` is a random number, uniform in [0, 1). */
IntakeDecision decideIntake(const IntakeInputs &inputs, double draw);

}
