"""The invariants that the soak test checks on the recorded requests. Each check returns a list of violations."""
import collections
import threading
import time

# Statuses that guarantee that the request was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A leaving endpoint may receive new requests for this long after its registration says "draining". The limit of the
# gateways themselves is below 2 s.
LEAVING_GRACE_S = 4.0
# Teams and routes with fewer requests have too small a sample for a success ratio.
MIN_REQUESTS = 40


class Run:
    """One execution of a request at an endpoint."""

    def __init__(self, attempt, route, endpoint):
        self.attempt, self.route, self.endpoint = attempt, route, endpoint
        self.started_at = time.monotonic()


class Outcome:
    """The result of one request at its caller.

    `status` is None if the connection ended before a status line, `complete` is True if the whole response was
    received, and `mismatch` describes a body that does not belong to the request.
    """

    def __init__(self, attempt, route, team, gateway, key_version):
        self.attempt, self.route, self.team, self.gateway, self.key_version = attempt, route, team, gateway, key_version
        self.sent_at, self.ended_at = time.monotonic(), None
        self.status, self.mismatch, self.complete = None, None, False


class Record:
    """The requests, executions and injected faults of one run of the soak test.

    `leaving` maps the name of each draining endpoint to the time at which its registration changed. `stops` holds the
    gateway label, the begin and the end of each planned stop.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.runs, self.outcomes, self.leaving, self.disturbances, self.stops = [], [], {}, [], []

    def add_run(self, run):
        with self.lock:
            self.runs.append(run)

    def add_outcome(self, outcome):
        with self.lock:
            self.outcomes.append(outcome)

    def add_disturbance(self, scope, begin, end):
        """Records that requests may fail between `begin` and `end` because of a fault other than a planned stop.

        `scope` is the label of a gateway, 'store', 'link', or 'any_pause' for the pause of any gateway.
        """
        with self.lock:
            self.disturbances.append((scope, begin, end))

    def is_disturbed(self, scopes, begin, end):
        return any(scope in scopes and begin <= until and since <= end for scope, since, until in self.disturbances)


def runs_at_most_once(record):
    counts = collections.Counter(run.attempt for run in record.runs if run.route == "once")
    return [f"attempt {attempt} of a request that isn't idempotent ran {count} times"
            for attempt, count in counts.items() if count > 1]


def not_run_statuses_are_true(record):
    ran = {run.attempt: run for run in record.runs}
    return [f"attempt {outcome.attempt} received status {outcome.status} but ran at {ran[outcome.attempt].endpoint}"
            for outcome in record.outcomes if outcome.status in NOT_RUN_STATUSES and outcome.attempt in ran]


def responses_match_their_requests(record):
    return [f"attempt {outcome.attempt}: {outcome.mismatch}" for outcome in record.outcomes if outcome.mismatch]


def leaving_endpoints_receive_no_new_requests(record):
    violations = []
    for run in record.runs:
        since = record.leaving.get(run.endpoint)
        late = since is not None and run.started_at - since > LEAVING_GRACE_S
        # A gateway that was paused or couldn't read the store may not have received the new endpoint list yet.
        if late and not record.is_disturbed({"store", "any_pause"}, since, run.started_at):
            violations.append(
                f"attempt {run.attempt} reached {run.endpoint} {run.started_at - since:.1f} s after it began to drain")
    return violations


def planned_stops_interrupt_no_request(record):
    violations, ran = [], {run.attempt for run in record.runs}
    for gateway, begin, end in record.stops:
        for outcome in record.outcomes:
            # A request can be sent while the gateway closes the idle connection; it then reaches no endpoint.
            never_forwarded = outcome.status is None and outcome.attempt not in ran
            if outcome.gateway != gateway or outcome.complete or never_forwarded:
                continue
            overlaps = outcome.sent_at <= end and outcome.ended_at >= begin
            if overlaps and not record.is_disturbed({gateway, "link", "store"}, outcome.sent_at, outcome.ended_at):
                violations.append(f"attempt {outcome.attempt} failed during the planned stop of {gateway}")
    return violations


def configuration_version_never_decreases(record):
    """Checks the version through the API keys: a key of version n is valid in version n only."""
    violations = []
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
                violations.append(f"{process} accepted a key of version {outcome.key_version} "
                                  f"(attempt {outcome.attempt}) after one of version {newest.key_version}")
    return violations


def success_ratios_are_balanced(record):
    """The success ratio of each team and of each route must be at least a quarter of the overall ratio."""
    violations = []
    for attribute in ("team", "route"):
        sent, served = collections.Counter(), collections.Counter()
        for outcome in record.outcomes:
            sent[getattr(outcome, attribute)] += 1
            served[getattr(outcome, attribute)] += outcome.complete and outcome.status == 200
        overall = sum(served.values()) / max(1, sum(sent.values()))
        violations += [f"{attribute} {group}: {served[group]} of {sent[group]} served, overall ratio {overall:.2f}"
                       for group in sent if sent[group] >= MIN_REQUESTS and served[group] / sent[group] < overall / 4]
    return violations


INVARIANTS = (runs_at_most_once, not_run_statuses_are_true, responses_match_their_requests,
              leaving_endpoints_receive_no_new_requests, planned_stops_interrupt_no_request,
              configuration_version_never_decreases, success_ratios_are_balanced)


def invariant_violations(record):
    return [f"{check.__name__}: {text}" for check in INVARIANTS for text in check(record)]
