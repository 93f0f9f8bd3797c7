"""What the soak checks, from what callers and endpoints see. Each check returns a list of broken promises."""
import collections
import threading
import time

# Statuses that promise that the request hasn't run.
NOT_RUN = (408, 421, 429, 503)
# A leaving endpoint gets no new work this long after its entry says so; the gateways' own bound is below 2 s.
LEAVING_LIMIT_S = 4.0
# A team or class with fewer requests tells nothing about its share.
LEAST_REQUESTS = 40


class Run:
    """One request as an endpoint saw it."""

    def __init__(self, attempt, route, endpoint):
        self.attempt, self.route, self.endpoint = attempt, route, endpoint
        self.at = time.monotonic()


class Outcome:
    """One request as its caller saw it. `status` is None when the connection ended without an answer."""

    def __init__(self, attempt, route, team, gateway, key_version):
        self.attempt, self.route, self.team, self.gateway, self.key_version = attempt, route, team, gateway, key_version
        self.sent_at, self.ended_at = time.monotonic(), None
        self.status, self.problem, self.whole = None, None, False


class Record:
    """All that callers, endpoints and the fault injector saw."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs, self.outcomes, self.leaving, self.disturbed, self.stops = [], [], {}, [], []

    def add_run(self, run):
        with self.lock:
            self.runs.append(run)

    def add_outcome(self, outcome):
        with self.lock:
            self.outcomes.append(outcome)

    def note_disturbed(self, what, begin, end):
        """`what` is a gateway's name, 'store' or 'link': something beside a planned stop may fail requests there."""
        with self.lock:
            self.disturbed.append((what, begin, end))

    def is_disturbed(self, names, begin, end):
        return any(what in names and begin <= until and since <= end for what, since, until in self.disturbed)


def runs_at_most_once(record):
    counts = collections.Counter(run.attempt for run in record.runs if run.route == "once")
    return [f"attempt {attempt} of a request that isn't idempotent ran {count} times"
            for attempt, count in counts.items() if count > 1]


def not_run_is_true(record):
    ran = {run.attempt: run for run in record.runs}
    return [f"attempt {outcome.attempt} was answered {outcome.status}, yet it ran at {ran[outcome.attempt].endpoint}"
            for outcome in record.outcomes if outcome.status in NOT_RUN and outcome.attempt in ran]


def answers_are_whole_and_own(record):
    return [f"attempt {outcome.attempt}: {outcome.problem}" for outcome in record.outcomes if outcome.problem]


def leaving_endpoints_get_no_work(record):
    broken = []
    for run in record.runs:
        since = record.leaving.get(run.endpoint)
        late = since is not None and run.at - since > LEAVING_LIMIT_S
        # Whoever slept or couldn't read the list doesn't know yet.
        if late and not record.is_disturbed({"store", "any_pause"}, since, run.at):
            broken.append(f"attempt {run.attempt} reached {run.endpoint} {run.at - since:.1f} s after it began to leave")
    return broken


def planned_stops_cut_nothing(record):
    broken, ran = [], {run.attempt for run in record.runs}
    for gateway, begin, end in record.stops:
        for outcome in record.outcomes:
            # A request may meet the close of an idle connection, but then it never went on to an endpoint.
            untaken = outcome.status is None and outcome.attempt not in ran
            if outcome.gateway != gateway or outcome.whole or untaken:
                continue
            within = outcome.sent_at <= end and outcome.ended_at >= begin
            if within and not record.is_disturbed({gateway, "link", "store"}, outcome.sent_at, outcome.ended_at):
                broken.append(f"attempt {outcome.attempt} was cut while {gateway} stopped in an orderly way")
    return broken


def configuration_never_goes_back(record):
    """A key of version n holds in version n alone, so an accepted key tells the version in force."""
    broken = []
    by_process = collections.defaultdict(list)
    for outcome in record.outcomes:
        if outcome.status == 200:
            by_process[outcome.gateway].append(outcome)
    for process, outcomes in by_process.items():
        ended = sorted(outcomes, key=lambda item: item.ended_at)
        newest, index = None, 0
        for outcome in sorted(outcomes, key=lambda item: item.sent_at):
            while index < len(ended) and ended[index].ended_at < outcome.sent_at:
                if newest is None or ended[index].key_version > newest.key_version:
                    newest = ended[index]
                index += 1
            if newest and outcome.key_version < newest.key_version:
                broken.append(f"{process} took a key of version {outcome.key_version} (attempt {outcome.attempt}) after "
                              f"one of version {newest.key_version}")
    return broken


def least_shares_hold(record):
    broken = []
    for kind in ("team", "route"):
        asked, served = collections.Counter(), collections.Counter()
        for outcome in record.outcomes:
            asked[getattr(outcome, kind)] += 1
            served[getattr(outcome, kind)] += outcome.whole and outcome.status == 200
        overall = sum(served.values()) / max(1, sum(asked.values()))
        broken += [f"{kind} {name} had {served[name]} of {asked[name]} served, {overall:.2f} of all were"
                   for name in asked if asked[name] >= LEAST_REQUESTS and served[name] / asked[name] < overall / 4]
    return broken


ALL = (runs_at_most_once, not_run_is_true, answers_are_whole_and_own, leaving_endpoints_get_no_work,
       planned_stops_cut_nothing, configuration_never_goes_back, least_shares_hold)


def broken_promises(record):
    return [f"{check.__name__}: {text}" for check in ALL for text in check(record)]
