"""The configurations of a load test, and the rules that callers' requests are judged by."""
import collections
import threading
import time

# The platform's bounds: a configuration is applied this long after its acknowledgement ...
APPLY_S = 2.0
# ... by gateways for which every disturbance has ended this long ago.
STABLE_S = 3.0
# A gateway may go back to an older configuration this long after a newer one had an effect.
ROLLBACK_SLACK_S = 0.25
# Requests that may be refused by mistake: a few, and a share of all.
DENIED_REQUESTS, DENIED_SHARE = 5, 1 / 500
# Refusals by gateways in disturbance of what all configurations allow.
DENIED_IN_DISTURBANCE = 10
# Routes added later are served at least this share as often as the first ones, if that many requests came for them.
ADDED_SHARE, ADDED_REQUESTS = 1 / 4, 20
# Statuses that promise that the request hasn't run; a caller may repeat it.
NOT_DENIED = (408, 421, 429)


class Period:
    """The time during which a version of the configuration was the store's."""

    def __init__(self, version, keys, routes):
        self.version, self.keys, self.routes = version, frozenset(keys), frozenset(routes)
        self.begin, self.end = time.monotonic(), None

    def allows(self, outcome):
        return outcome.key in self.keys and outcome.route in self.routes


class Outcome:
    """One request; `process` is the label of the gateway process at its start, `started_at` that process's start."""

    def __init__(self, attempt, process, started_at, route, key):
        self.attempt, self.process, self.started_at, self.route, self.key = attempt, process, started_at, route, key
        self.sent_at, self.ended_at, self.status, self.is_sealed = time.monotonic(), None, 0, False


class Record:
    def __init__(self):
        self.lock = threading.Lock()
        self.periods, self.outcomes, self.runs, self.disturbances = [], [], set(), []

    def begin_period(self, version, keys, routes):
        """Call before the store takes the version over, and end_previous_periods() once it has."""
        with self.lock:
            self.periods.append(Period(version, keys, routes))

    def end_previous_periods(self):
        with self.lock:
            for period in self.periods[:-1]:
                period.end = period.end or time.monotonic()

    def add_disturbance(self, begin, end, process=None):
        """Without `process`, all gateways are disturbed."""
        with self.lock:
            self.disturbances.append((begin, end, process))

    def add_run(self, attempt):
        with self.lock:
            self.runs.add(attempt)

    def add_outcome(self, outcome):
        with self.lock:
            self.outcomes.append(outcome)

    def is_in_touch(self, outcome):
        if outcome.started_at is None or outcome.sent_at - outcome.started_at < STABLE_S:
            return False
        return not any(process in (None, outcome.process) and begin <= outcome.ended_at
                       and outcome.sent_at < end + STABLE_S for begin, end, process in self.disturbances)

    def periods_in_force(self, outcome):
        """The periods whose version a gateway may apply to the request."""
        return [period for period in self.periods if period.begin <= outcome.ended_at
                and (period.end is None or outcome.sent_at <= period.end + APPLY_S)]


def is_refused_by_configuration(outcome):
    return 300 <= outcome.status < 500 and outcome.status not in NOT_DENIED and not outcome.is_sealed


def proper_requests_are_not_denied(record):
    proper = [outcome for outcome in record.outcomes if record.is_in_touch(outcome)
              and all(period.allows(outcome) for period in record.periods_in_force(outcome))]
    denied = [outcome for outcome in proper if is_refused_by_configuration(outcome)]
    allowed = DENIED_REQUESTS + DENIED_SHARE * len(record.outcomes)
    if len(denied) <= allowed:
        return []
    statuses = dict(collections.Counter(outcome.status for outcome in denied))
    return [f"{len(denied)} proper requests of {len(proper)} were answered with {statuses} at "
            f"{len({outcome.process for outcome in denied})} gateways; {allowed:.0f} are allowed"]


def disturbed_gateways_do_not_deny(record):
    denied = [outcome for outcome in record.outcomes if is_refused_by_configuration(outcome)
              and all(period.allows(outcome) for period in record.periods)]
    if len(denied) <= DENIED_IN_DISTURBANCE:
        return []
    return [f"{len(denied)} requests that all configurations allow were denied"]


def configurations_are_applied_in_time(record):
    late = [outcome for outcome in record.outcomes if outcome.attempt in record.runs and record.is_in_touch(outcome)
            and not any(period.allows(outcome) for period in record.periods_in_force(outcome))]
    return [f"{len(late)} requests ran although no configuration in force allows them"] if late else []


def gateways_never_go_back(record):
    """A process that has applied a version doesn't run what only older ones allow."""
    violations = 0
    for process in {outcome.process for outcome in record.outcomes}:
        newest, effects = 0, []
        for outcome in (item for item in record.outcomes if item.process == process and item.attempt in record.runs):
            versions = [period.version for period in record.periods if period.allows(outcome)]
            if versions:
                effects.append((outcome.ended_at, outcome.sent_at, min(versions), max(versions)))
        applied = sorted((ended_at, oldest) for ended_at, _, oldest, _ in effects)
        index = 0
        for _, sent_at, _, latest in sorted(effects, key=lambda item: item[1]):
            while index < len(applied) and applied[index][0] + ROLLBACK_SLACK_S < sent_at:
                newest = max(newest, applied[index][1])
                index += 1
            violations += latest < newest
    return [f"{violations} requests ran by a version older than one applied before"] if violations else []


def added_routes_are_served(record):
    counts = collections.Counter()
    first = record.periods[0].routes
    for outcome in record.outcomes:
        if record.is_in_touch(outcome) and all(item.allows(outcome) for item in record.periods_in_force(outcome)):
            kind = "first" if outcome.route in first else "added"
            counts[kind] += 1
            counts[kind, 200] += outcome.status == 200
    shares = {kind: counts[kind, 200] / max(1, counts[kind]) for kind in ("first", "added")}
    print(f"proper requests in touch: {counts['first']} for first routes, {shares['first']:.4f} served; "
          f"{counts['added']} for added ones, {shares['added']:.4f} served")
    if counts["added"] >= ADDED_REQUESTS and shares["added"] < ADDED_SHARE * shares["first"]:
        return [f"{shares['added']:.2f} of the requests for added routes were served, of others {shares['first']:.2f}"]
    return [] if counts["first", 200] else ["no proper request was served"]


CHECKS = (proper_requests_are_not_denied, disturbed_gateways_do_not_deny, configurations_are_applied_in_time,
          gateways_never_go_back, added_routes_are_served)


def violations_of(record):
    return [f"{check.__name__}: {text}" for check in CHECKS for text in check(record)]
