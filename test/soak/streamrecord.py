"""What callers got of streams, and how the platform's rules judge it."""
import os
import threading

# More streams than these must not hold events of two versions.
MAX_MIXED = 2
# Of so many streams that are taken up again, the share that goes on must be this part of that of new streams that begin.
MIN_TAKEN_UP, GOES_ON_PART = 12, 0.5
# A gateway counts as in touch again this long after a disturbance.
STABLE_S = 3.0


class Try:
    def __init__(self, attempt, at, gateway, is_resumption):
        self.attempt, self.at, self.gateway, self.is_resumption = attempt, at, gateway, is_resumption
        self.status, self.reason, self.events = 0, "", 0


class Stream:
    """One stream over all tries of its caller."""

    def __init__(self, began_at):
        self.began_at, self.tries, self.versions = began_at, [], set()
        self.events, self.first_attempt, self.is_out_of_order = 0, None, False
        self.body = os.urandom(8).hex()

    def begin_try(self, attempt, at, gateway):
        self.tries.append(Try(attempt, at, gateway, self.events > 0))
        return self.tries[-1]

    def add_event(self, version, event, attempt):
        self.first_attempt = self.first_attempt or attempt
        self.versions.add(version)
        self.is_out_of_order = self.is_out_of_order or event != self.events + 1
        self.events = event


class StreamRecord:
    def __init__(self):
        self.lock, self.streams, self.disturbances = threading.Lock(), [], []

    def add(self, stream):
        with self.lock:
            self.streams.append(stream)

    def add_disturbance(self, gateway, begin, end):
        with self.lock:
            self.disturbances.append((gateway, begin, end))

    def is_in_touch(self, gateway, at):
        return not any(name == gateway and begin - 1.0 <= at <= end + STABLE_S for name, begin, end in self.disturbances)


def share(tries):
    return sum(item.events > 0 for item in tries) / len(tries) if tries else 1.0


def judge(record, is_version_kept):
    """Returns the violations and a summary. `is_version_kept` tells whether each version has endpoints all the time."""
    mixed = sum(len(stream.versions) > 1 for stream in record.streams)
    out_of_order = sum(stream.is_out_of_order for stream in record.streams)
    tries = [item for stream in record.streams for item in stream.tries if record.is_in_touch(item.gateway, item.at)]
    new = [item for item in tries if not item.is_resumption]
    resumed = [item for item in tries if item.is_resumption]
    served = sum(stream.events > 0 for stream in record.streams)
    reasons = {}
    for item in resumed:
        if not item.events:
            key = item.reason or f"status {item.status}"
            reasons[key] = reasons.get(key, 0) + 1
    violations = []
    if mixed > MAX_MIXED:
        violations.append(f"ORDER: {mixed} streams hold events of two versions")
    if out_of_order:
        violations.append(f"ORDER: events of {out_of_order} streams are missing, repeated or joined")
    if is_version_kept and len(resumed) >= MIN_TAKEN_UP and share(resumed) < GOES_ON_PART * share(new):
        violations.append(f"LOST: {share(resumed):.2f} of the streams taken up go on, {share(new):.2f} of new ones begin")
    summary = (f"{len(record.streams)} streams, {served} begun, {mixed} of two versions; of {len(resumed)} taken up again "
               f"{share(resumed):.3f} go on, of {len(new)} new ones {share(new):.3f} begin; not gone on: "
               f"{dict(sorted(reasons.items()))}")
    return violations, summary
