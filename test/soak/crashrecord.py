"""What endpoints and callers saw in a load test with crashing requests, and the rules that it must have kept."""
import collections
import threading
import time

# Gateways must know of a crash this long after it, and count as in touch this long after a disturbance.
STABLE_S = 3.0
MAX_LATE_RETRIES = 3
CRASHES_UNTIL_KNOWN = 3

Arrival = collections.namedtuple("Arrival", "at attempt body endpoint")
Crash = collections.namedtuple("Crash", "at body endpoint")


class CrashRecord:
    def __init__(self):
        self.arrivals, self.crashes, self.gateways = [], [], {}
        self.disturbances, self.innocents, self.lock = collections.defaultdict(list), collections.Counter(), \
            threading.Lock()
        self.quarantined_innocents = 0

    def add_attempt(self, attempt, gateway):
        self.gateways[attempt] = gateway

    def add_arrival(self, attempt, body, endpoint):
        self.arrivals.append(Arrival(time.monotonic(), attempt, body, endpoint))

    def add_crash(self, body, endpoint):
        self.crashes.append(Crash(time.monotonic(), body, endpoint))

    def add_innocent(self, status, text):
        with self.lock:
            self.innocents[status] += 1
            self.quarantined_innocents += text == b"quarantined\n"

    def add_disturbance(self, gateway, begin, end):
        self.disturbances[gateway].append((begin, end))

    def is_in_touch(self, gateway, at):
        return not any(begin <= at <= end + STABLE_S for begin, end in self.disturbances[gateway])

    def summary(self):
        crashes = collections.Counter(crash.body.decode().split(" ", 1)[1] for crash in self.crashes)
        return (f"ends {dict(crashes)}, innocent responses by status {dict(sorted(self.innocents.items()))}, "
                f"{self.quarantined_innocents} of them quarantined")

    def lines(self):
        crashing = {crash.body for crash in self.crashes}
        events = [(item.at, f"arrival {item.body.decode()} at {item.endpoint} by {self.gateways.get(item.attempt)} "
                            f"attempt {item.attempt}") for item in self.arrivals if item.body in crashing]
        events += [(item.at, f"crash {item.body.decode()} of {item.endpoint}") for item in self.crashes]
        events += [(begin, f"disturbance of {gateway} until {end:.3f}")
                   for gateway, spans in self.disturbances.items() for begin, end in spans]
        return [f"{at:.3f} {text}" for at, text in sorted(events)]


def violations_of(record):
    out = []
    for body in sorted({crash.body for crash in record.crashes}):
        crashes = sorted(crash.at for crash in record.crashes if crash.body == body)
        if len(crashes) < CRASHES_UNTIL_KNOWN:
            continue
        known_at = crashes[CRASHES_UNTIL_KNOWN - 1] + STABLE_S
        late = [item for item in record.arrivals if item.body == body and item.at > known_at
                and record.is_in_touch(record.gateways.get(item.attempt), item.at)]
        if len(late) > MAX_LATE_RETRIES:
            out.append(f"BUDGET: {body.decode()}: a request under which three endpoints had ended was sent to "
                       f"endpoints {len(late)} times more; {len(crashes)} ended in all")
    if record.quarantined_innocents:
        out.append(f"innocent requests were refused as quarantined {record.quarantined_innocents} times")
    if record.innocents[200] == 0:
        out.append("no innocent request was served")
    return out
