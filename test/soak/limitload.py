#!/usr/bin/env python3
"""Load test of the limits that endpoints name in their responses, with more callers than the limits allow.

    python3 test/soak/limitload.py BUILD --seed 1                          12 gateways, limits that come, change and go
    python3 test/soak/limitload.py BUILD --seed 1 --gateways 24 --faults   gateways are killed, stopped and frozen meanwhile

Each endpoint names its limit in all responses while it has one. Judged by what endpoints saw: never more than the rule
allows, and a share of the limits used while callers ask for more than they allow.
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
from gatewayfleet import PORTS_PER_GATEWAY, Gateway, Server, Store, configuration, eventually, read_request, route  # noqa: E402
from gatewayfleet import sealed_response  # noqa: E402
from portlease import lease_ports  # noqa: E402
from limitrecord import LimitRecord, Phase, judge  # noqa: E402

SLO_MS, TIMEOUT_MS = 200, 1500
ROUTES = [route("look", "desk", max_attempts=2, slo_ms=SLO_MS, timeout_ms=TIMEOUT_MS),
          route("send", "desk", "non_idempotent", max_attempts=1, slo_ms=SLO_MS, timeout_ms=TIMEOUT_MS)]
LIMITS = (None, 1, 1.9, 2, 5, 20, 60, 200)
# At most one endpoint has a limit above this one, so that the callers can ask for more than all limits allow.
HIGH_LIMIT = 5
WORK_S = 0.003
PHASE_S = (7.0, 11.0)
# Callers ask for this many times what all limits allow, at least for MIN_RATE requests a second.
DEMAND, MIN_RATE, MAX_RATE = 1.6, 20.0, 330.0
CALLERS = 48


class LimitedEndpoint:
    """An endpoint whose limit comes, changes and goes."""

    def __init__(self, fleet, index):
        self.fleet, self.name, self.phase = fleet, f"desk-{index}", None
        self.server = Server(self.serve)
        fleet.store.put(f"servers/{self.name}", {
            "service": "desk", "addr": f"127.0.0.1:{self.server.port}", "zone": "z", "version": "v1", "slots": 64,
            "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1})

    def begin_phase(self, limit):
        now = time.monotonic()
        if self.phase is not None:
            self.fleet.record.phases[self.name].append(Phase(*self.phase[:1], now, self.phase[1], self.fleet.is_wanted))
        self.phase = (now, limit)

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            gateway = self.fleet.gateway_of.get(request.headers["x-attempt-id"], "none")
            self.fleet.record.add_arrival(self.name, gateway)
            time.sleep(WORK_S)
            begin, limit = self.phase
            extra = "" if limit is None else f"Server-Limit: {limit}\r\n"
            connection.sendall(sealed_response(request, extra=extra))
            if limit is not None:
                self.fleet.record.note_told(self.name, gateway, begin)


class Fleet:
    def __init__(self, arguments):
        self.random, self.record, self.gateway_of = random.Random(arguments.seed), LimitRecord(), {}
        self.store, self.stop, self.rate = Store(), threading.Event(), arguments.rate or MIN_RATE
        self.limits, self.fixed_rate, self.is_wanted = arguments.limits, arguments.rate, False
        self.store.put("op/config", configuration(1, ROUTES))
        self.endpoints = [LimitedEndpoint(self, i) for i in range(arguments.endpoints)]
        for endpoint in self.endpoints:
            endpoint.begin_phase(None)
        ports = lease_ports(PORTS_PER_GATEWAY * arguments.gateways)
        self.gateways = [Gateway(arguments.build, self.store, f"g{i}", ports=ports) for i in range(arguments.gateways)]
        for i, gateway in enumerate(self.gateways):
            gateway.name = f"g{i}"
            eventually(gateway.is_ready, f"readiness of {gateway.name}", timeout_s=30)

    def call(self, seed):
        """Sends requests on a connection to one gateway after the other, at this caller's share of the rate."""
        draw = random.Random(seed)
        gateway, connection, left = None, None, 0
        while not self.stop.is_set():
            if left == 0:
                gateway, left = draw.choice(self.gateways), draw.randint(3, 30)
                connection = http.client.HTTPConnection("127.0.0.1", gateway.callers_port, timeout=3)
            left -= 1
            began = time.monotonic()
            attempt, status = os.urandom(8).hex(), 0
            self.gateway_of[attempt] = gateway.name
            method = draw.choice(("GET", "POST"))
            try:
                connection.request(method, "/look/x" if method == "GET" else "/send/x", headers={
                    "Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "1500",
                    "Authorization": "Bearer key-1"})
                response = connection.getresponse()
                response.read()
                status = response.status
            except (OSError, http.client.HTTPException):
                connection.close()
                left = 0
            self.record.add_outcome(status, time.monotonic() - began)
            self.stop.wait(draw.expovariate(self.rate / CALLERS))

    def change_limits(self):
        """Gives each endpoint a new limit, or none, at intervals; at most one endpoint has a high one."""
        while not self.stop.wait(self.random.uniform(*PHASE_S)):
            has_high = False
            limits = []
            for endpoint in self.endpoints:
                low = [limit for limit in self.limits if limit is None or limit <= HIGH_LIMIT]
                limit = self.random.choice(low if has_high and low else self.limits)
                has_high = has_high or (limit or 0) > HIGH_LIMIT
                limits.append(limit)
            for endpoint, limit in zip(self.endpoints, limits):
                endpoint.begin_phase(limit)
            self.is_wanted = None not in limits and not self.fixed_rate
            wanted = DEMAND * sum(limits) if self.is_wanted else MIN_RATE
            self.rate = self.fixed_rate or min(MAX_RATE, max(MIN_RATE, wanted))

    def inject_faults(self):
        def kill(gateway):
            gateway.process.kill()
            gateway.process.wait()
            time.sleep(0.3)
            gateway.start()

        def stop(gateway):
            gateway.process.terminate()
            gateway.process.wait()
            gateway.start()

        def freeze(gateway):
            gateway.process.send_signal(signal.SIGSTOP)
            time.sleep(2.5)
            gateway.process.send_signal(signal.SIGCONT)

        def disturb(fault, gateway):
            begin = time.monotonic()
            fault(gateway)
            self.record.add_disturbance(gateway.name, begin, time.monotonic())

        running = []
        while not self.stop.wait(self.random.uniform(1.5, 3.0)):
            gateway = self.random.choice(self.gateways)
            running.append(threading.Thread(
                target=disturb, args=(self.random.choice((kill, stop, freeze)), gateway), daemon=True))
            running[-1].start()
            running[-1].join(timeout=self.random.choice((0, 6)))
        for thread in running:
            thread.join(timeout=15)

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()


def cpu_seconds(fleet):
    """Processor time of all gateways that run, in seconds."""
    ticks = 0
    for gateway in fleet.gateways:
        with open(f"/proc/{gateway.process.pid}/stat", encoding="utf-8") as stat:
            ticks += sum(int(value) for value in stat.read().rsplit(")", 1)[1].split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def run(arguments):
    fleet = Fleet(arguments)
    threads = [threading.Thread(target=fleet.call, args=(arguments.seed * 1000 + i,), daemon=True) for i in range(CALLERS)]
    threads.append(threading.Thread(target=fleet.change_limits, daemon=True))
    if arguments.faults:
        threads.append(threading.Thread(target=fleet.inject_faults, daemon=True))
    try:
        began = cpu_seconds(fleet)
        for thread in threads:
            thread.start()
        time.sleep(arguments.seconds)
        fleet.stop.set()
        for thread in threads:
            thread.join(timeout=20)
        used_cpu = cpu_seconds(fleet) - began
        for endpoint in fleet.endpoints:
            endpoint.begin_phase(None)
        violations, rows, used, small_used = judge(fleet.record)
        for endpoint, limit, excess, share, steady_s in rows:
            print(f"  {endpoint}: limit {limit}, worst window {excess:.2f} of the allowance, {share:.2f} used in {steady_s:.1f} s")
        waits = sorted(fleet.record.waits_ms)
        print(f"seed {arguments.seed}, {arguments.gateways} gateways{', faults' if arguments.faults else ''}: "
              f"worst window {max((row[2] for row in rows), default=0):.2f} of the allowance, {used:.2f} of the limits used, "
              f"{small_used:.2f} of the small ones; responses {dict(sorted(fleet.record.statuses.items()))}, middle "
              f"{waits[len(waits) // 2]:.1f} ms, 99 in 100 within {waits[len(waits) * 99 // 100]:.1f} ms"
              + ("" if arguments.faults else f"; {100 * used_cpu / arguments.seconds / arguments.gateways:.2f} % of a core a gateway"))
        if violations:
            directory = tempfile.mkdtemp(prefix="limitload-")
            for gateway in fleet.gateways:
                shutil.copy(gateway.log_file, os.path.join(directory, f"{gateway.name}.log"))
            print(f"logs of the failed run: {directory}")
        return violations
    finally:
        fleet.stop.set()
        fleet.close()


def main():
    parser = argparse.ArgumentParser(description="load test of limits that endpoints name")
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--endpoints", type=int, default=3)
    parser.add_argument("--limits", nargs="+", default=LIMITS,
                        type=lambda text: None if text == "none" else float(text), help="limits to draw from, or none")
    parser.add_argument("--rate", type=float, help="requests a second; otherwise more than the limits allow")
    parser.add_argument("--faults", action="store_true", help="kill, stop and freeze gateways meanwhile")
    parser.add_argument("--seconds", type=float, default=40)
    violations = run(parser.parse_args())
    for text in violations:
        print("VIOLATION", text)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
