"""What endpoints saw in a load test with limits that they named, and the rule that it must have kept."""
import bisect
import collections
import threading
import time

WINDOW_S = 4.0
# Gateways must keep a limit this long after an endpoint first named it, and count as in touch this long after a fault.
STABLE_S = 3.0
# A gateway counts as told this long after it received a response with the limit.
TOLD_S = 0.5
ALLOWED_RATIO, ALLOWED_EXTRA = 1.5, 5
MIN_USED_SHARE = 0.7
SMALL_LIMIT = 5

# `is_wanted`: all the while, callers ask for more than the limits of all endpoints allow.
Phase = collections.namedtuple("Phase", "begin end limit is_wanted")
Arrival = collections.namedtuple("Arrival", "at gateway")


class LimitRecord:
    def __init__(self):
        self.arrivals, self.phases = collections.defaultdict(list), collections.defaultdict(list)
        self.told, self.disturbances = collections.defaultdict(dict), collections.defaultdict(list)
        self.statuses, self.waits_ms, self.lock = collections.Counter(), [], threading.Lock()

    def add_arrival(self, endpoint, gateway):
        self.arrivals[endpoint].append(Arrival(time.monotonic(), gateway))

    def note_told(self, endpoint, gateway, phase_begin):
        self.told[endpoint].setdefault((gateway, phase_begin), time.monotonic())

    def add_disturbance(self, gateway, begin, end):
        self.disturbances[gateway].append((begin, end))

    def add_outcome(self, status, took_s):
        with self.lock:
            self.statuses[status] += 1
            self.waits_ms.append(took_s * 1000)

    def is_excused(self, gateway, at):
        return any(begin <= at <= end + STABLE_S for begin, end in self.disturbances[gateway])

    def counted(self, endpoint, phase):
        """Times of the arrivals that count for the rule during the phase."""
        out = []
        for arrival in self.arrivals[endpoint]:
            told_at = self.told[endpoint].get((arrival.gateway, phase.begin))
            if phase.begin <= arrival.at <= phase.end and told_at is not None and arrival.at >= told_at + TOLD_S \
                    and not self.is_excused(arrival.gateway, arrival.at):
                out.append(arrival.at)
        return out

    def worst_window(self, times, begin):
        """The most arrivals in WINDOW_S from `begin` on, and when that window ends."""
        worst, ends_at = 0, begin
        for i, at in enumerate(times):
            if at >= begin:
                count = bisect.bisect_right(times, at + WINDOW_S) - i
                if count > worst:
                    worst, ends_at = count, at + WINDOW_S
        return worst, ends_at


def used_share(rows):
    """The share of the limits that was used while callers wanted them."""
    wanted = sum(limit * steady_s for _, limit, _, _, steady_s in rows)
    return sum(limit * share * steady_s for _, limit, _, share, steady_s in rows) / wanted if wanted else 1


def judge(record):
    """Returns the violations, and for each phase its limit, excess over the allowance, and used share."""
    violations, rows = [], []
    for endpoint, phases in sorted(record.phases.items()):
        for phase in phases:
            if phase.limit is None or phase.end - phase.begin < STABLE_S + 1:
                continue
            worst, ends_at = record.worst_window(record.counted(endpoint, phase), phase.begin + STABLE_S)
            allowed = ALLOWED_RATIO * WINDOW_S * phase.limit + ALLOWED_EXTRA
            steady_s = phase.end - phase.begin - STABLE_S
            got = sum(phase.begin + STABLE_S <= item.at <= phase.end for item in record.arrivals[endpoint])
            rows.append((endpoint, phase.limit, worst / allowed, got / (phase.limit * steady_s),
                         steady_s if phase.is_wanted else 0))
            if worst > allowed:
                violations.append(f"LIMIT at {ends_at:.3f}: {endpoint} had named a limit of {phase.limit} a second and got "
                                  f"{worst} requests in {WINDOW_S:.0f} s from gateways that it had told; allowed {allowed:.0f}")
    used = used_share(rows)
    small_used = used_share([row for row in rows if row[1] <= SMALL_LIMIT])
    for what, share in (("all limits", used), (f"limits of {SMALL_LIMIT} a second or less", small_used)):
        if share < MIN_USED_SHARE:
            violations.append(f"{share:.2f} of {what} was used; wanted {MIN_USED_SHARE}")
    return violations, rows, used, small_used
