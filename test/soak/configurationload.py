#!/usr/bin/env python3
"""Load test of the configuration in force, at the size of a site: the store is restored, away, silent or loses answers.

    python3 test/soak/configurationload.py BUILD --seed 1                    kovacic-lektura: 12 gateways, 3 endpoints
    python3 test/soak/configurationload.py BUILD --seed 1 --faults restore silence --seconds 60

The operator adds and removes routes and replaces keys all the while, endpoints write heartbeats, and gateways are killed
and restarted. Callers use what all configurations allow, what was added, and what was removed. The requests are judged by
the platform's rules from what callers and endpoints see.
"""
import argparse
import http.client
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "error"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from configurationrecord import Outcome, Record, violations_of  # noqa: E402
from gatewayfleet import PORTS_PER_GATEWAY, Endpoint, Gateway, Store, configuration, eventually, route, sealed_response  # noqa: E402
from portlease import lease_ports  # noqa: E402

FIRST_ROUTES, ADDED_ROUTES, KEYS = ("look", "send"), 3, 3
CALLERS, ENDPOINTS, HEARTBEAT_S = 36, 3, 0.2
# The operator notices a restored store, and writes its configuration again, within this time.
WRITTEN_AGAIN_S = 1.0
# Heartbeats of all endpoints that a copy lacks, besides those written in its age.
LOST_HEARTBEATS = (0, 10, 2000)
FAULTS = ("restore", "away", "silence", "lose_answers", "kill", "stop")


class LossyStore(Store):
    """A store that can execute calls without responding to them."""

    def __init__(self):
        super().__init__()
        self.loses_answers = False

    def respond(self, request):
        result = super().respond(request)
        if self.loses_answers:
            raise ConnectionError("the response is lost")
        return result


class LoadGateway(Gateway):
    def __init__(self, build, store, name, ports):
        self.name, self.starts, self.started_at, self.lock = name, 0, None, threading.Lock()
        super().__init__(build, store, name=name, ports=ports, grace_s=2)

    def start(self):
        self.starts += 1
        super().start()
        self.started_at = time.monotonic()

    @property
    def label(self):
        return f"{self.name}#{self.starts}"


class Operator:
    """Changes the configuration, and writes it again after the store was restored."""

    def __init__(self, fleet):
        self.fleet, self.random, self.version, self.lock = fleet, fleet.random, 1, threading.Lock()
        self.routes, self.keys, self.removed = list(FIRST_ROUTES), ["lasting", "key-0"], []
        self.history = {}
        self.write()

    def write(self):
        record = self.fleet.record
        record.begin_period(self.version, self.keys, self.routes)
        self.history[self.version] = (list(self.keys), list(self.routes))
        routes = [route(name, "desk", "idempotent" if name != "send" else "non_idempotent") for name in self.routes]
        self.fleet.store.put("op/config", configuration(self.version, routes, self.keys))
        record.end_previous_periods()

    def change(self):
        with self.lock:
            self.version += self.random.randint(1, 4)
            if self.random.random() < 0.5:
                self.keys.append(f"key-{self.version}")
                if len(self.keys) > KEYS:
                    self.removed.append((self.keys.pop(1), "look"))
            else:
                self.routes.append(f"added-{self.version}")
                if len(self.routes) > len(FIRST_ROUTES) + ADDED_ROUTES:
                    self.removed.append(("lasting", self.routes.pop(len(FIRST_ROUTES))))
            self.write()

    def restore(self, copy, copied_version, away_s):
        """Restores the store from a copy of an earlier version, and writes the present one again."""
        store, record = self.fleet.store, self.fleet.record
        with self.lock:
            begin = time.monotonic()
            store.is_down = True
            store.server.close_connections()
            time.sleep(away_s)
            record.begin_period(copied_version, *self.history[copied_version])
            store.restore(copy)
            record.end_previous_periods()
            store.is_down = False
            record.add_disturbance(begin, time.monotonic())
            time.sleep(self.random.uniform(0, WRITTEN_AGAIN_S))
            self.write()


class Fleet:
    def __init__(self, arguments):
        self.random, self.record, self.stop = random.Random(arguments.seed), Record(), threading.Event()
        self.store = LossyStore()
        self.endpoints = [Endpoint(self.serve) for _ in range(ENDPOINTS)]
        self.heartbeat(0)
        self.operator = Operator(self)
        ports = lease_ports(PORTS_PER_GATEWAY * arguments.gateways)
        self.gateways = [LoadGateway(arguments.build, self.store, f"g{i}", ports) for i in range(arguments.gateways)]
        for gateway in self.gateways:
            eventually(gateway.is_ready, f"readiness of {gateway.name}", 30)

    def serve(self, connection, request):
        self.record.add_run(request.headers["x-attempt-id"])
        connection.sendall(sealed_response(request))

    def heartbeat(self, sequence):
        for i, endpoint in enumerate(self.endpoints):
            self.store.put(f"servers/desk-{i}", {**endpoint.registration("desk"), "sequence": sequence})

    def heartbeats(self):
        sequence = 0
        while not self.stop.wait(HEARTBEAT_S):
            sequence += 1
            if not self.store.is_down:
                self.heartbeat(sequence)

    def draw_request(self):
        operator = self.operator
        with operator.lock:
            if operator.removed and self.random.random() < 0.2:
                return self.random.choice(operator.removed[-3:])
            return self.random.choice(operator.keys), self.random.choice(operator.routes)

    def call(self):
        while not self.stop.is_set():
            gateway = self.random.choice(self.gateways)
            key, route_name = self.draw_request()
            outcome = Outcome(os.urandom(8).hex(), gateway.label, gateway.started_at, route_name, key)
            try:
                outcome.status, _, headers = gateway.call(
                    "GET" if route_name != "send" else "POST", f"/{route_name}/x", timeout=4,
                    X_Attempt_Id=outcome.attempt, Authorization=f"Bearer {key}")
                outcome.is_sealed = "X-Server-Seal" in headers
            except (OSError, http.client.HTTPException):
                pass
            outcome.ended_at = time.monotonic()
            self.record.add_outcome(outcome)
            time.sleep(self.random.uniform(0.02, 0.08))

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()


class Injector:
    """Injects faults at random, with calm spells between them in which the rules bind."""

    def __init__(self, fleet, faults, seed):
        # A generator of its own, so that the faults don't depend on how many requests the callers have drawn.
        self.fleet, self.random, self.faults = fleet, random.Random(seed), faults
        self.copies = []

    def run(self, seconds):
        end = time.monotonic() + seconds
        next_fault = time.monotonic() + 1
        while time.monotonic() < end:
            with self.fleet.operator.lock:
                self.copies = self.copies[-20:] + [(self.fleet.store.copy(), self.fleet.operator.version)]
            self.fleet.operator.change()
            if time.monotonic() > next_fault:
                for fault in self.random.sample(self.faults, min(len(self.faults), self.random.choice((1, 1, 2)))):
                    print(f"{seconds - end + time.monotonic():6.2f} {fault}", flush=True)
                    getattr(self, fault)()
                next_fault = time.monotonic() + self.random.uniform(4.5, 7)
            time.sleep(self.random.uniform(0.1, 0.7))

    def restore(self):
        copy, version = self.random.choice(self.copies)
        for sequence in range(self.random.choice(LOST_HEARTBEATS)):
            self.fleet.heartbeat(sequence)
        self.fleet.operator.restore(copy, version, self.random.uniform(0, 1))

    def away(self):
        begin = time.monotonic()
        self.fleet.store.is_down = True
        self.fleet.store.server.close_connections()
        time.sleep(self.random.uniform(0.5, 2.5))
        self.fleet.store.is_down = False
        self.fleet.record.add_disturbance(begin, time.monotonic())

    def silence(self):
        self.fleet.store.silence_open_connections()
        self.fleet.record.add_disturbance(time.monotonic(), time.monotonic())

    def lose_answers(self):
        begin = time.monotonic()
        self.fleet.store.loses_answers = True
        time.sleep(self.random.uniform(0.5, 2))
        self.fleet.operator.change()
        self.fleet.store.loses_answers = False
        self.fleet.record.add_disturbance(begin, time.monotonic())

    def kill(self):
        for gateway in self.random.sample(self.fleet.gateways, self.random.choice((1, 2, len(self.fleet.gateways) // 2))):
            gateway.process.kill()
            gateway.process.wait()
            gateway.start()

    def stop(self):
        gateway = self.random.choice(self.fleet.gateways)
        begin, label = time.monotonic(), gateway.label
        gateway.process.send_signal(signal.SIGTERM)
        gateway.process.wait()
        self.fleet.record.add_disturbance(begin, time.monotonic(), label)
        gateway.start()


def save_logs(fleet, seed, violations):
    directory = tempfile.mkdtemp(prefix=f"configurationload-seed-{seed}-")
    for gateway in fleet.gateways:
        shutil.copy(gateway.log_file, os.path.join(directory, f"{gateway.name}.log"))
    with open(os.path.join(directory, "violations.txt"), "w", encoding="utf-8") as out:
        out.write("\n".join(violations) + "\n")
    print(f"logs of the failed seed: {directory}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=FAULTS)
    arguments = parser.parse_args()
    fleet = Fleet(arguments)
    threads = [threading.Thread(target=fleet.call) for _ in range(CALLERS)]
    threads.append(threading.Thread(target=fleet.heartbeats))
    try:
        for thread in threads:
            thread.start()
        Injector(fleet, arguments.faults, arguments.seed).run(arguments.seconds)
        fleet.stop.set()
        for thread in threads:
            thread.join()
        violations = violations_of(fleet.record)
        print(f"seed {arguments.seed}: {len(fleet.record.outcomes)} requests, {len(fleet.record.periods)} configurations, "
              f"era {fleet.store.era}")
        for text in violations:
            print("VIOLATION", text)
        if violations:
            save_logs(fleet, arguments.seed, violations)
        return 1 if violations else 0
    finally:
        fleet.stop.set()
        fleet.close()


if __name__ == "__main__":
    sys.exit(main())
