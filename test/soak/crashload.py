#!/usr/bin/env python3
"""Load test with requests that crash the endpoints on which they run, at the size of a site.

    python3 test/soak/crashload.py BUILD --seed 1 --end reset            kovacic-lektura: 12 gateways, 12 engines, 3 desks
    python3 test/soak/crashload.py BUILD --seed 1 --longest-run-ms 120 --down-s 3.2    ends after the response timeout, too
    python3 test/soak/crashload.py BUILD --seed 1 --end cut --gateways 36 --engines 24 --desks 4 --faults

Equal crashing requests arrive at any gateway, several at the same time, beside innocent requests that the crashes
interrupt. `--end` determines what the gateways see of a crash: resets, silence, or either of them behind a cut. With
`--faults`, gateways are killed and cut off from the others, and a share of their datagrams is lost.
"""
import argparse
import http.client
import os
import random
import shutil
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "error"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from crashrecord import CrashRecord, violations_of  # noqa: E402
from datagramrelay import DatagramRelay  # noqa: E402
from faultylink import reset  # noqa: E402
from gatewayfleet import PORTS_PER_GATEWAY, Gateway, Server, Store, answers_report, chunk, configuration  # noqa: E402
from gatewayfleet import eventually, read_request, route, sealed_response, stream_head  # noqa: E402
from portlease import lease_ports  # noqa: E402

GATEWAY_KEY = "cyclamenturn/gateways/"
ROUTES = [route("check", "engine", "streaming", sticky=True, max_attempts=1, slo_ms=500, timeout_ms=4000,
                gap_target_ms=300),
          route("draft", "engine", "streaming", sticky=True, can_resume=True, max_attempts=2, slo_ms=300,
                timeout_ms=12000, gap_target_ms=200),
          route("send", "desk", "non_idempotent", max_attempts=1, slo_ms=100, timeout_ms=1000),
          route("look", "desk", max_attempts=2, slo_ms=100, timeout_ms=1000),
          route("slow", "desk", "non_idempotent", max_attempts=1, slo_ms=100, timeout_ms=1100)]
CALLER_TIMEOUT_S = {"check": 2.4, "draft": 2.0, "send": 1.0, "look": 1.0, "slow": 3.0}
EVENTS = {"check": 9, "draft": 24}
FIRST_EVENT_S, EVENT_PAUSE_S, PLAIN_WORK_S = 0.1, 0.02, 0.015
# Requests to the route "slow" run longer than its timeout, on an endpoint that works.
SLOW_WORK_S = 2.4
# How long an endpoint is down when `--down-s` doesn't say.
DOWN_S = 2.0
# The platform removes the entry of an endpoint after three missed heartbeats.
ENTRY_LAPSE_S = 3.6
INNOCENT_CALLERS = 36
CRASHING_BODY = b"crash"


class EndpointEnded(Exception):
    """The endpoint that runs a request has ended without closing the connection."""


class CrashingEndpoint:
    """An endpoint that ends when it runs a crashing request, and is back with a new id after DOWN_S."""

    def __init__(self, fleet, service, index):
        self.fleet, self.service, self.index = fleet, service, index
        self.incarnation, self.is_up, self.lock = 0, True, threading.Lock()
        self.server = Server(self.serve)
        self.register()

    @property
    def name(self):
        return f"{self.service}-{self.index}" if self.fleet.under_old_ids else \
            f"{self.service}-{self.index}.{self.incarnation}"

    def register(self):
        self.fleet.store.put(f"servers/{self.name}", {
            "service": self.service, "addr": f"127.0.0.1:{self.server.port}", "zone": "z", "version": "v1",
            "slots": 64 if self.service == "engine" else 6, "state": "ready", "cold_left_ms": 0, "sequence": 1,
            "born": 1 + self.incarnation})

    def serve(self, connection, stream):
        try:
            while (request := read_request(stream)):
                name, incarnation = self.name, self.incarnation
                if not self.is_up:
                    raise EndpointEnded
                if answers_report(connection, request, 1 + incarnation):
                    continue
                if request.headers.get("x-expect-instance") != name:
                    connection.sendall(sealed_response(request, 421, b"", "X-Not-Executed: 1\r\n"))
                    continue
                self.run(connection, request, name, incarnation)
        except EndpointEnded:
            if self.fleet.end == "reset":
                reset(connection)
                return
            connection.recv(1)  # returns when the gateway closes the connection

    def run(self, connection, request, name, incarnation):
        route_name = request.target.split("/")[1]
        self.fleet.record.add_arrival(request.headers["x-attempt-id"], request.body, name)
        if request.body.startswith(CRASHING_BODY):
            time.sleep(self.fleet.random.uniform(0.01, self.fleet.longest_run_s))
            self.crash(name, incarnation, request.body)
            raise EndpointEnded
        if route_name not in EVENTS:
            time.sleep(SLOW_WORK_S if route_name == "slow" else PLAIN_WORK_S)
            self.send(connection, name, incarnation, sealed_response(request))
            return
        time.sleep(FIRST_EVENT_S)
        self.send(connection, name, incarnation, stream_head(request))
        for event in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS[route_name] + 1):
            self.send(connection, name, incarnation, chunk(f"id: {event}\ndata: {event}\n\n"))
            time.sleep(EVENT_PAUSE_S)
        self.send(connection, name, incarnation, b"0\r\n\r\n")

    def send(self, connection, name, incarnation, data):
        if not self.is_up or name != self.name or incarnation != self.incarnation:
            raise EndpointEnded
        connection.sendall(data)

    def crash(self, name, incarnation, body):
        with self.lock:
            if not self.is_up or incarnation != self.incarnation:
                return
            self.is_up = False
        self.fleet.record.add_crash(body, name)
        for connection in list(self.server.open_connections):
            # Behind a cut, only the gateways on the endpoint's side see the connections end.
            if self.fleet.end == "reset" or (self.fleet.end == "cut" and self.fleet.random.random() < 0.5):
                reset_by_peer(connection)
        if self.fleet.end == "reset":
            self.server.close()
        if not self.fleet.under_old_ids:
            threading.Timer(ENTRY_LAPSE_S, self.fleet.store.remove, (f"servers/{name}",)).start()
        threading.Timer(self.fleet.down_s, self.restart).start()

    def restart(self):
        with self.lock:
            if self.fleet.end == "reset":
                self.server = Server(self.serve, self.server.port)
            self.incarnation += 1
            self.is_up = True
        if not self.fleet.under_old_ids:
            self.register()


def reset_by_peer(connection):
    """Ends a connection that another thread may be reading."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # it is closed already


class RelayedStore(Store):
    """A store that gives the gateways the addresses of a relay instead of each other's."""

    def __init__(self, relay):
        super().__init__()
        self.relay = relay

    def put(self, key, value):
        if key.startswith(GATEWAY_KEY):
            host, port = value.rsplit(":", 1)
            value = f"{host}:{self.relay.port_for(int(port))}"
        super().put(key, value)


class LoadGateway(Gateway):
    """A gateway that can be killed and restarted; `label` identifies the current process."""

    def __init__(self, build, store, name, ports):
        self.name, self.starts = name, 1
        super().__init__(build, store, name=name, ports=ports)

    @property
    def peer_port(self):
        return self.metrics_port + 1


class Fleet:
    def __init__(self, arguments):
        self.end, self.random, self.record = arguments.end, random.Random(arguments.seed), CrashRecord()
        self.under_old_ids = arguments.under_old_ids
        self.down_s, self.longest_run_s = arguments.down_s, arguments.longest_run_ms / 1000
        self.relay = DatagramRelay(self.random.random)
        self.store = RelayedStore(self.relay)
        self.store.put("op/config", configuration(1, ROUTES))
        self.endpoints = [CrashingEndpoint(self, "engine", i) for i in range(arguments.engines)]
        self.endpoints += [CrashingEndpoint(self, "desk", i) for i in range(arguments.desks)]
        ports = lease_ports(PORTS_PER_GATEWAY * arguments.gateways)
        self.gateways = [LoadGateway(arguments.build, self.store, f"g{i}", ports) for i in range(arguments.gateways)]
        for gateway in self.gateways:
            eventually(gateway.is_ready, f"readiness of {gateway.name}", timeout_s=30)

    def send(self, gateway, route_name, body):
        """Sends one attempt and returns its status and body; the status is 0 without a complete response."""
        attempt = os.urandom(8).hex()
        self.record.add_attempt(attempt, gateway.name)
        try:
            status, text, _ = gateway.call("POST", f"/{route_name}/x", body, timeout=CALLER_TIMEOUT_S[route_name],
                                           X_Attempt_Id=attempt,
                                           X_Deadline_Ms=str(int(CALLER_TIMEOUT_S[route_name] * 1000)))
        except (OSError, http.client.HTTPException):
            return 0, b""
        return (0, b"") if text is None else (status, text)

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()
        self.relay.close()


class InnocentCaller(threading.Thread):
    """Sends requests with a body of their own, each again after a failure, as callers do."""

    def __init__(self, fleet, seed, repeats, stop, pause_s):
        super().__init__(daemon=True)
        self.fleet, self.random, self.repeats, self.stop = fleet, random.Random(seed), repeats, stop
        self.pause_s = pause_s

    def run(self):
        while not self.stop.is_set():
            route_name = self.random.choice(("check", "draft", "draft", "send", "look"))
            body = b"innocent " + os.urandom(8).hex().encode()
            for _ in range(1 + self.repeats):
                status, text = self.fleet.send(self.random.choice(self.fleet.gateways), route_name, body)
                self.fleet.record.add_innocent(status, text)
                may_repeat = status == 503 or (route_name != "send" and status != 200)
                if not may_repeat:
                    break
                time.sleep(0.1)
            time.sleep(self.random.uniform(0.01, self.pause_s))


class SlowCaller(threading.Thread):
    """Sends requests that run longer than their route's timeout, so that gateways give them up in silence."""

    def __init__(self, fleet, seed, per_second, stop):
        super().__init__(daemon=True)
        self.fleet, self.random, self.per_second, self.stop = fleet, random.Random(seed), per_second, stop

    def run(self):
        while not self.stop.wait(self.random.expovariate(self.per_second)):
            arguments = (self.random.choice(self.fleet.gateways), "slow", b"slow " + os.urandom(8).hex().encode())
            threading.Thread(target=self.fleet.send, args=arguments, daemon=True).start()


class CrashingCaller(threading.Thread):
    """Sends one crashing request over and over: first several at the same time, then one or two at intervals."""

    def __init__(self, fleet, seed, number, stop):
        super().__init__(daemon=True)
        self.fleet, self.random, self.stop = fleet, random.Random(seed), stop
        self.route_name, self.delay_s = ("draft", "send", "check", "look")[number % 4], 1.0 + 1.5 * (number % 4)
        self.body = f"{CRASHING_BODY.decode()} {self.route_name} {number // 4}".encode()

    def run(self):
        self.stop.wait(self.delay_s)
        count = 4
        while not self.stop.is_set():
            for gateway in self.random.sample(self.fleet.gateways, count):
                threading.Thread(target=self.fleet.send, args=(gateway, self.route_name, self.body),
                                 daemon=True).start()
            self.stop.wait(self.random.uniform(0.4, 0.9))
            count = self.random.choice((1, 1, 2))


def inject_gateway_faults(fleet, stop):
    """Kills gateways and cuts them off from the others, in series that overlap, until `stop` is set."""
    def kill(gateway):
        begin = time.monotonic()
        gateway.process.kill()
        gateway.process.wait()
        time.sleep(0.5)
        gateway.start()
        fleet.record.add_disturbance(gateway.name, begin, time.monotonic())

    def cut(gateway):
        begin = time.monotonic()
        fleet.relay.cut(gateway.peer_port, True)
        time.sleep(4.5)
        fleet.relay.cut(gateway.peer_port, False)
        fleet.record.add_disturbance(gateway.name, begin, time.monotonic())

    running = []
    while not stop.wait(1.5):
        for fault, gateway in zip((kill, cut), fleet.random.sample(fleet.gateways, 2)):
            running.append(threading.Thread(target=fault, args=(gateway,)))
            running[-1].start()
    for thread in running:
        thread.join()


def run(arguments):
    fleet, stop = Fleet(arguments), threading.Event()
    try:
        seed = arguments.seed * 1000
        threads = [InnocentCaller(fleet, seed + i, arguments.repeats, stop, arguments.pause_s)
                   for i in range(INNOCENT_CALLERS)]
        if arguments.slow_per_s:
            threads.append(SlowCaller(fleet, seed + 400, arguments.slow_per_s, stop))
        threads += [CrashingCaller(fleet, seed + 500 + i, i, stop) for i in range(arguments.crashing)]
        if arguments.faults:
            fleet.relay.loss = 0.2
            threads.append(threading.Thread(target=inject_gateway_faults, args=(fleet, stop)))
        for thread in threads:
            thread.start()
        time.sleep(arguments.seconds)
        stop.set()
        for thread in threads:
            thread.join(timeout=10)
        violations = violations_of(fleet.record)
        print(f"seed {arguments.seed}, ends by {arguments.end}{', faults' if arguments.faults else ''}: "
              f"{fleet.record.summary()}")
        if violations:
            keep_logs(fleet)
        return violations
    finally:
        stop.set()
        fleet.close()


def keep_logs(fleet):
    directory = tempfile.mkdtemp(prefix="crashload-")
    for gateway in fleet.gateways:
        shutil.copy(gateway.log_file, os.path.join(directory, f"{gateway.name}.log"))
    with open(os.path.join(directory, "arrivals.txt"), "w", encoding="utf-8") as out:
        out.write("\n".join(fleet.record.lines()) + "\n")
    print(f"logs of the failed run: {directory}")


def main():
    parser = argparse.ArgumentParser(description="load test with requests that crash endpoints")
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--end", choices=("reset", "silence", "cut"), default="reset")
    parser.add_argument("--faults", action="store_true", help="kill gateways and lose datagrams meanwhile")
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--desks", type=int, default=3)
    parser.add_argument("--crashing", type=int, default=4, help="number of different crashing requests")
    parser.add_argument("--longest-run-ms", type=float, default=10,
                        help="a crashing request ends its endpoint 10 ms to this long after it began to run")
    parser.add_argument("--down-s", type=float, default=DOWN_S, help="how long an endpoint is down")
    parser.add_argument("--under-old-ids", action="store_true",
                        help="endpoints restart under their ids, and the list never shows it")
    parser.add_argument("--pause-s", type=float, default=0.1, help="longest pause of an innocent caller")
    parser.add_argument("--slow-per-s", type=float, default=0, help="requests a second that outlast their timeout")
    parser.add_argument("--repeats", type=int, default=1, help="how often callers repeat an innocent request")
    parser.add_argument("--seconds", type=float, default=18)
    violations = run(parser.parse_args())
    for text in violations:
        print("VIOLATION", text)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
