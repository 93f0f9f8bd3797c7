#!/usr/bin/env python3
"""Load test with parts of prompts that crash each endpoint which begins to answer a prompt with them.

    python3 test/soak/partload.py BUILD --seed 1                               12 gateways, 12 engines, one such part
    python3 test/soak/partload.py BUILD --seed 1 --gateways 94 --engines 50    the size of a grown site
    python3 test/soak/partload.py BUILD --seed 1 --parts 2 --share 0.2 --faults

Prompts have a first part of a few, a subject, possibly a part that crashes endpoints, and a last part of their own. No two
are alike, and they arrive at any gateway. Counted are the prompts with such a part that reach an endpoint after the fleet
has had the time to learn of five crashes, and the sound prompts that are answered at the first attempt.
"""
import argparse
import collections
import http.client
import os
import random
import sys
import threading
import time
import types

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from crashload import CrashingEndpoint, EndpointEnded, LoadGateway, RelayedStore, inject_gateway_faults, keep_logs
from crashload import Fleet as CrashFleet
from crashrecord import CrashRecord
from datagramrelay import DatagramRelay
from gatewayfleet import PORTS_PER_GATEWAY, chunk, configuration, eventually, route, stream_head
from portlease import lease_ports

ROUTES = [route("check", "engine", "streaming", sticky=True, max_attempts=1, slo_ms=500, timeout_ms=4000,
                gap_target_ms=300),
          route("draft", "engine", "streaming", sticky=True, can_resume=True, max_attempts=2, slo_ms=300,
                timeout_ms=12000, gap_target_ms=200)]
CALLER_TIMEOUT_S, EVENTS, EVENT_PAUSE_S = 2.4, 12, 0.02
# An engine answers after reading the prompt, which takes a varying time.
READ_S = (0.02, 0.15)
ROOTS, SUBJECTS, TEAMS = 4, 200, 3
# The platform's rule: prompts with the part that may be sent when STABLE_S have passed after the fifth crash.
STABLE_S, CRASHES_UNTIL_KNOWN, MAX_LATE = 3.0, 5, 3
# From twice that time on, sound prompts must begin at the first attempt at least half as often as before.
LEAST_SOUND_SHARE = 0.5
WARM_UP_S = 4.0


class Engine(CrashingEndpoint):
    """An endpoint that ends when it begins to answer a prompt with a part that crashes endpoints."""

    def run(self, connection, request, name, incarnation):
        parts = [part.split(":")[0] for part in request.headers["x-prompt-prefix"].split(",")]
        crashing = [part for part in parts[:-1] if part in self.fleet.crashing_parts]
        if crashing:
            self.fleet.record.add_arrival(request.headers["x-attempt-id"], crashing[0].encode(), name)
        time.sleep(self.fleet.random.uniform(*READ_S))
        if crashing:
            self.crash(name, incarnation, crashing[0].encode())
            raise EndpointEnded
        self.send(connection, name, incarnation, stream_head(request))
        for event in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            self.send(connection, name, incarnation, chunk(f"id: {event}\ndata: {event}\n\n"))
            time.sleep(EVENT_PAUSE_S)
        self.send(connection, name, incarnation, b"0\r\n\r\n")


class Fleet(CrashFleet):
    def __init__(self, arguments):
        self.end, self.random, self.record = arguments.end, random.Random(arguments.seed), CrashRecord()
        self.under_old_ids, self.down_s = False, arguments.down_s
        self.crashing_parts = [f"bad-{i}" for i in range(arguments.parts)]
        self.relay = DatagramRelay(self.random.random)
        self.store = RelayedStore(self.relay)
        keys = [f"key-{i}" for i in range(TEAMS)]
        document = configuration(1, ROUTES, keys)
        document["tenants"] = [{"name": f"team-{i}", "api_keys": [key]} for i, key in enumerate(keys)]
        document["services"][0]["max_connections"] = 2000
        self.store.put("op/config", document)
        self.endpoints = [Engine(self, "engine", i) for i in range(arguments.engines)]
        ports = lease_ports(PORTS_PER_GATEWAY * arguments.gateways)
        self.gateways = [LoadGateway(arguments.build, self.store, f"g{i}", ports) for i in range(arguments.gateways)]
        for gateway in self.gateways:
            eventually(gateway.is_ready, f"readiness of {gateway.name}", timeout_s=60)

    def send(self, gateway, route_name, parts, body, team):
        """Sends one attempt and returns its status; 0 without a complete response."""
        attempt = os.urandom(8).hex()
        self.record.add_attempt(attempt, gateway.name)
        prefix = ",".join(f"{part}:{400 * (i + 1)}" for i, part in enumerate(parts))
        try:
            status, text, _ = gateway.call(
                "POST", f"/{route_name}/x", body, timeout=CALLER_TIMEOUT_S, X_Attempt_Id=attempt, X_Model="m",
                X_Deadline_Ms=str(int(CALLER_TIMEOUT_S * 1000)), X_Token_Count="2000,80", X_Prompt_Prefix=prefix,
                Authorization=f"Bearer key-{team}")
        except (OSError, http.client.HTTPException):
            return 0
        return 0 if text is None else status


class Caller(threading.Thread):
    """Sends prompts of all kinds, each once more after a failure."""

    def __init__(self, fleet, seed, arguments, stop, first_statuses):
        super().__init__(daemon=True)
        self.fleet, self.random, self.arguments, self.stop = fleet, random.Random(seed), arguments, stop
        self.first_statuses, self.started_at = first_statuses, time.monotonic()

    def run(self):
        while not self.stop.is_set():
            route_name, team = self.random.choice(("check", "draft")), self.random.randrange(TEAMS)
            root, own = f"root-{route_name}-{self.random.randrange(ROOTS)}", os.urandom(6).hex()
            parts = [root, f"subject-{self.random.randrange(SUBJECTS)}"]
            is_warm = time.monotonic() > self.started_at + WARM_UP_S
            is_crashing = is_warm and self.random.random() < self.arguments.share
            if is_crashing:
                parts.append(self.random.choice(self.fleet.crashing_parts))
            parts.append(own)
            for attempt in range(2):
                gateway, began_at = self.random.choice(self.fleet.gateways), time.monotonic()
                status = self.fleet.send(gateway, route_name, parts, own.encode(), team)
                if not is_crashing and attempt == 0 and self.fleet.record.is_in_touch(gateway.name, began_at):
                    self.first_statuses.append((began_at, status))
                if status == 200:
                    break
                time.sleep(0.3)
            time.sleep(self.random.uniform(0.05, self.arguments.pause_s))


def served_share(first_statuses, begin, end):
    statuses = [status for at, status in first_statuses if begin <= at < end]
    return (sum(status == 200 for status in statuses) / len(statuses) if statuses else 0), len(statuses)


def violations_of(fleet, first_statuses, started_at):
    out, known_at = [], []
    for part in {crash.body for crash in fleet.record.crashes}:
        crashes = sorted(crash.at for crash in fleet.record.crashes if crash.body == part)
        if len(crashes) < CRASHES_UNTIL_KNOWN:
            known_at.append(crashes[-1])
            continue
        known_at.append(crashes[CRASHES_UNTIL_KNOWN - 1])
        late = [item for item in fleet.record.arrivals
                if item.body == part and item.at > known_at[-1] + STABLE_S
                and fleet.record.is_in_touch(fleet.record.gateways[item.attempt], item.at)]
        print(f"{part.decode()}: {len(crashes)} ended, {len(late)} sent late")
        if len(late) > MAX_LATE:
            out.append(f"prompts with {part.decode()} reached endpoints {len(late)} times after the fifth crash was known; "
                       f"{len(crashes)} ended in all")
    before, before_count = served_share(first_statuses, started_at, started_at + WARM_UP_S)
    after, after_count = served_share(first_statuses, max(known_at, default=started_at) + 2 * STABLE_S, float("inf"))
    print(f"sound prompts answered at the first attempt: {before:.3f} of {before_count} before, {after:.3f} of "
          f"{after_count} from {2 * STABLE_S:g} s after the crashes were known")
    if not known_at:
        out.append("no endpoint crashed")
    if after_count < 20 or after < LEAST_SOUND_SHARE * before:
        out.append(f"sound prompts were answered {after:.3f} times at the first attempt, {before:.3f} times before")
    return out


def run(arguments):
    fleet, stop, first_statuses = Fleet(arguments), threading.Event(), []
    try:
        started_at = time.monotonic()
        threads = [Caller(fleet, arguments.seed * 1000 + i, arguments, stop, first_statuses)
                   for i in range(arguments.callers)]
        if arguments.faults:
            fleet.relay.loss = 0.2
            threads.append(threading.Thread(target=inject_gateway_faults, args=(fleet, stop)))
        for thread in threads:
            thread.start()
        time.sleep(arguments.seconds)
        stop.set()
        for thread in threads:
            thread.join(timeout=10)
        violations = violations_of(fleet, first_statuses, started_at)
        crashes = collections.Counter(crash.body.decode() for crash in fleet.record.crashes)
        print(f"seed {arguments.seed}, {arguments.gateways} gateways: ends {dict(crashes)}")
        if violations:
            keep_logs(fleet)
        return violations
    finally:
        stop.set()
        fleet.close()


def main():
    parser = argparse.ArgumentParser(description="load test with parts of prompts that crash endpoints")
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--end", choices=("reset", "silence", "cut"), default="reset")
    parser.add_argument("--faults", action="store_true", help="kill and cut off gateways and lose datagrams meanwhile")
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--pause-s", type=float, default=0.6, help="longest pause of a caller between two prompts")
    parser.add_argument("--parts", type=int, default=1, help="number of parts that crash endpoints")
    parser.add_argument("--share", type=float, default=0.05, help="share of the prompts that have such a part")
    parser.add_argument("--down-s", type=float, default=2.0, help="how long an endpoint is down")
    parser.add_argument("--seconds", type=float, default=24)
    violations = run(parser.parse_args(namespace=types.SimpleNamespace()))
    for text in violations:
        print("VIOLATION", text)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
