#!/usr/bin/env python3
"""Soak test of the gateway: real gateway processes, simulated store and endpoints, and randomly injected faults.

    python3 test/soak/soak.py BUILD --seeds 1-50 --jobs 4      fifty seeds, four in parallel
    python3 test/soak/soak.py BUILD --seeds 7 --seconds 12     one seed
    python3 test/soak/soak.py BUILD --fresh 240                new random seeds for 240 seconds

The seed determines the kinds and times of the faults; scheduling on the machine still differs from run to run. The
logs of a failed seed are kept.
"""
import argparse
import concurrent.futures
import http.client
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "error"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from faultylink import FaultyLink  # noqa: E402
from gatewayfleet import PORTS_PER_GATEWAY, Endpoint, Gateway, Store, chunk, route, sealed_response, stream_head  # noqa: E402
from portlease import lease_ports  # noqa: E402
from invariants import Outcome, Record, Run, invariant_violations  # noqa: E402

GATEWAYS, CALLERS, GRACE_S = 3, 12, 4
TEAMS = ("north", "south")
EVENTS_PER_STREAM, EVENT_PAUSE_S = 12, 0.02
# After an outage of the store or a link, pending calls may still wait for their timeout.
OUTAGE_SETTLING_S = 2.5
ROUTES = [route("plain", "desk"), route("once", "desk", "non_idempotent", max_attempts=1),
          route("stream", "model", "streaming", sticky=True, can_resume=True, gap_target_ms=200)]


def configuration(version):
    limits = {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    services = [{"name": name, "health_path": "/h", "max_connections": 64} for name in ("desk", "model")]
    tenants = [{"name": team, "api_keys": [f"{team}-{version}"]} for team in TEAMS]
    return {"version": version, "routes": ROUTES, "services": services, "limits": limits, "tenants": tenants}


class FaultyStore(Store):
    """The simulated store, which can also respond slowly, respond with 503, or execute a call and drop the response."""

    def __init__(self):
        super().__init__()
        self.mode = None

    def respond(self, request):
        if self.mode == "refuse":
            return 503, {}
        if self.mode == "slow":
            time.sleep(0.2)
        status, body = super().respond(request)
        if self.mode == "lose_answer":
            raise ConnectionError("the response of the store is dropped")
        return status, body


class RestartableGateway(Gateway):
    """A gateway that is restarted during the run; `label` identifies the current process."""

    def __init__(self, build, store_port, name, ports):
        self.process_number, self.seen_start_lines, self.lock = 1, 0, threading.Lock()
        super().__init__(build, type("At", (), {"server": type("S", (), {"port": store_port})}), name, GRACE_S, ports)
        self.name = name

    @property
    def label(self):
        return f"{self.name}#{self.process_number}"

    def has_started(self):
        return len(self.log_lines("started")) > self.seen_start_lines

    def restart(self):
        self.seen_start_lines = len(self.log_lines("started"))
        self.start()
        self.process_number += 1


class Fleet:
    """The gateways, the store, the endpoints, and the faulty links to the store and to each endpoint."""

    def __init__(self, build, record):
        self.record, self.version, self.endpoints = record, 1, {}
        self.store = FaultyStore()
        self.store.put("op/config", configuration(1))
        self.store_link = FaultyLink(self.store.server.port)
        self.links = []
        for service, count in (("desk", 3), ("model", 3)):
            for _ in range(count):
                self.add_endpoint(service)
        ports = lease_ports(PORTS_PER_GATEWAY * GATEWAYS)
        self.gateways = [RestartableGateway(build, self.store_link.port, f"g{i}", ports) for i in range(GATEWAYS)]

    def add_endpoint(self, service):
        name = f"{service}-{len(self.endpoints)}"
        endpoint = Endpoint(lambda connection, request: self.serve(name, connection, request))
        link = FaultyLink(endpoint.server.port)
        self.links.append(link)
        self.endpoints[name] = (service, endpoint, link)
        self.put_registration(name, "ready")

    def put_registration(self, name, state):
        service, endpoint, link = self.endpoints[name]
        self.store.put(f"servers/{name}", {**endpoint.registration(service, state), "addr": f"127.0.0.1:{link.port}"})

    def serve(self, name, connection, request):
        attempt, route_name = request.headers["x-attempt-id"], request.target.split("/")[1]
        if request.headers.get("x-expect-instance") != name:
            head = f"HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"
            connection.sendall(head.encode())
            return
        self.record.add_run(Run(attempt, route_name, name))
        if route_name != "stream":
            time.sleep(0.01)
            connection.sendall(sealed_response(request, body=attempt.encode()))
            return
        connection.sendall(stream_head(request))
        for event in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS_PER_STREAM + 1):
            connection.sendall(chunk(f"id: {event}\ndata: {attempt}\n\n"))
            time.sleep(EVENT_PAUSE_S)
        connection.sendall(b"0\r\n\r\n")

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for closable in [self.store.server, self.store_link] + self.links:
            closable.close()
        for _, endpoint, _ in self.endpoints.values():
            endpoint.server.close()


class Caller(threading.Thread):
    """Sends requests and reuses the connection until it is closed, then connects to another gateway."""

    def __init__(self, fleet, seed, stop):
        super().__init__(daemon=True)
        self.fleet, self.random, self.stop, self.connection, self.label = fleet, random.Random(seed), stop, None, None

    def run(self):
        while not self.stop.is_set():
            self.send()
            time.sleep(self.random.uniform(0.005, 0.05))

    def send(self):
        if self.connection is None:
            gateway = self.random.choice(self.fleet.gateways)
            self.connection, self.label = http.client.HTTPConnection(
                "127.0.0.1", gateway.callers_port, timeout=6), gateway.label
        route_name, team = self.random.choice(("plain", "once", "stream")), self.random.choice(TEAMS)
        version = max(1, self.fleet.version - (self.random.random() < 0.2))
        attempt = f"{self.random.getrandbits(64):016x}"
        outcome = Outcome(attempt, route_name, team, self.label, version)
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000",
                  "Authorization": f"Bearer {team}-{version}"}
        body, keep_alive = b"", False
        try:
            self.connection.request("POST", f"/{route_name}/x", b"", fields)
            response = self.connection.getresponse()
            outcome.status = response.status
            keep_alive = not response.will_close
            if response.chunked:
                for part in iter(lambda: response.read1(4096), b""):
                    body += part
            else:
                body = response.read()
            outcome.complete = True
        except http.client.IncompleteRead as error:
            body, keep_alive = body + error.partial, False
        except (http.client.HTTPException, OSError):
            keep_alive = False
        outcome.ended_at = time.monotonic()
        if outcome.status == 200:
            outcome.mismatch = self.mismatch(route_name, attempt, body.decode(), outcome.complete)
        self.fleet.record.add_outcome(outcome)
        if not keep_alive:
            self.connection.close()
            self.connection = None

    @staticmethod
    def mismatch(route_name, attempt, body, complete):
        expected = attempt if route_name != "stream" else "".join(
            f"id: {i}\ndata: {attempt}\n\n" for i in range(1, EVENTS_PER_STREAM + 1))
        if complete and body != expected:
            return f"complete response with a wrong body: {body[:200]!r}"
        return None if expected.startswith(body) else f"partial response with a wrong body: {body[:200]!r}"


class Injector:
    """Injects faults drawn from the seed; several can be active at the same time.

    Each fault method is called with the index of a gateway or endpoint, a duration in seconds, and a random number in
    [0, 1) that selects the variant of the fault.
    """

    def __init__(self, fleet, seed):
        self.fleet, self.random, self.failures = fleet, random.Random(seed), []
        self.faults = (self.stop, self.kill, self.pause, self.reload, self.store_fault, self.store_link_fault,
                       self.endpoint_link_fault, self.endpoint_leaves, self.configuration_changes)

    def run(self, seconds):
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            fault = self.random.choice(self.faults)
            arguments = (self.random.randrange(GATEWAYS), self.random.uniform(0.2, 1.5), self.random.random())
            print(f"{seconds - end + time.monotonic():6.2f} {fault.__name__} {arguments}", flush=True)
            running.append(threading.Thread(target=fault, args=arguments))
            running[-1].start()
            time.sleep(self.random.uniform(0.2, 1.2))
        for thread in running:
            thread.join()

    def record_disturbance(self, scope, begin, extra=0.0):
        self.fleet.record.add_disturbance(scope, begin, time.monotonic() + extra)

    def signal(self, gateway, signal_number):
        if gateway.process.poll() is None:
            gateway.process.send_signal(signal_number)

    def stop(self, index, *_):
        gateway = self.fleet.gateways[index]
        with gateway.lock:
            begin = time.monotonic()
            label = gateway.label
            self.signal(gateway, signal.SIGTERM)
            try:
                code = gateway.process.wait(timeout=GRACE_S + 4)
                # A SIGTERM that arrives before the gateway has installed its handler ends the process, which has not
                # accepted any request by then.
                killed_before_handler = code == -signal.SIGTERM and not gateway.has_started()
                if code != 0 and not killed_before_handler:
                    self.failures.append(f"planned stop: {label} ended with code {code}")
            except subprocess.TimeoutExpired:
                self.failures.append(f"planned stop: {label} was still running {GRACE_S + 4} s after SIGTERM")
                gateway.process.kill()
                gateway.process.wait()
            self.fleet.record.stops.append((label, begin, time.monotonic()))
            gateway.restart()

    def kill(self, index, seconds, _):
        gateway = self.fleet.gateways[index]
        with gateway.lock:
            begin = time.monotonic()
            label = gateway.label
            gateway.process.kill()
            gateway.process.wait()
            time.sleep(seconds / 3)
            gateway.restart()
            # A restarted gateway has to read the endpoint list before it can serve.
            self.record_disturbance(label, begin - OUTAGE_SETTLING_S)

    def pause(self, index, seconds, _):
        # May run during a planned stop of the same gateway, so the process can end at any time.
        gateway, begin = self.fleet.gateways[index], time.monotonic()
        process, label = gateway.process, gateway.label
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        self.record_disturbance(label, begin, OUTAGE_SETTLING_S)
        self.record_disturbance("any_pause", begin, OUTAGE_SETTLING_S)

    def reload(self, index, *_):
        gateway = self.fleet.gateways[index]
        for _ in range(3):
            # Before the gateway has installed its handler, the signal would end the process.
            if gateway.has_started():
                self.signal(gateway, signal.SIGHUP)
            time.sleep(0.05)

    def store_fault(self, _, seconds, draw):
        begin = time.monotonic()
        self.fleet.store.mode = ("refuse", "slow", "lose_answer")[int(draw * 3)]
        time.sleep(2 * seconds)
        self.fleet.store.mode = None
        self.record_disturbance("store", begin, OUTAGE_SETTLING_S)

    def link_fault(self, link, scope, seconds, draw):
        begin = time.monotonic()
        link.set_fault(FaultyLink.FAULTS[int(draw * len(FaultyLink.FAULTS))])
        time.sleep(seconds)
        link.set_fault(None)
        self.record_disturbance(scope, begin, OUTAGE_SETTLING_S)

    def store_link_fault(self, _, seconds, draw):
        self.link_fault(self.fleet.store_link, "store", seconds, draw)

    def endpoint_link_fault(self, index, seconds, draw):
        self.link_fault(self.fleet.links[-1 - index], "link", seconds, draw)

    def endpoint_leaves(self, index, *_):
        names = [name for name in self.fleet.endpoints if name not in self.fleet.record.leaving]
        name = names[index]
        service = self.fleet.endpoints[name][0]
        self.fleet.add_endpoint(service)
        self.fleet.put_registration(name, "draining")
        self.fleet.record.leaving[name] = time.monotonic()
        time.sleep(3)
        self.fleet.store.remove(f"servers/{name}")

    def configuration_changes(self, *_):
        with self.fleet.store.changed:
            version = self.fleet.version + 1
            self.fleet.store.put("op/config", configuration(version))
            self.fleet.version = version


def run_seed(build, seed, seconds):
    record, stop = Record(), threading.Event()
    fleet = Fleet(build, record)
    injector = Injector(fleet, seed)
    try:
        callers = [Caller(fleet, seed * 1000 + i, stop) for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        injector.run(seconds)
        time.sleep(1.0)
        stop.set()
        for caller in callers:
            caller.join(timeout=10)
        violations = injector.failures + invariant_violations(record)
        served = sum(outcome.status == 200 and outcome.complete for outcome in record.outcomes)
        print(f"seed {seed}: {len(record.outcomes)} requests, {served} served, {len(record.runs)} runs")
        if served == 0:
            violations.append("no request was served")
        if violations:
            save_logs(fleet, seed, violations)
        return violations
    finally:
        fleet.close()


def save_logs(fleet, seed, violations):
    directory = tempfile.mkdtemp(prefix=f"soak-seed-{seed}-")
    for gateway in fleet.gateways:
        shutil.copy(gateway.log_file, os.path.join(directory, f"{gateway.name}.log"))
    with open(os.path.join(directory, "broken.txt"), "w", encoding="utf-8") as out:
        out.write("\n".join(violations) + "\n")
    print(f"logs of the failed seed: {directory}")


def run_in_subprocess(arguments, seed):
    """Runs one seed in a process of its own and returns whether it passed."""
    command = [sys.executable, os.path.abspath(__file__), arguments.build, "--seeds", str(seed),
               "--seconds", str(arguments.seconds)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    print(done.stdout[-2000:] + done.stderr[-2000:] if done.returncode else done.stdout.splitlines()[-1], flush=True)
    return done.returncode == 0


def chosen_seeds(arguments):
    if arguments.fresh:
        end = time.monotonic() + arguments.fresh
        while time.monotonic() < end:
            yield int.from_bytes(os.urandom(4), "big")
        return
    first, _, last = arguments.seeds.partition("-")
    yield from range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description="soak test of the gateway with injected faults")
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1", help="a seed, or FIRST-LAST")
    parser.add_argument("--fresh", type=float, default=0, help="start new random seeds for this many seconds")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--jobs", type=int, default=1)
    arguments = parser.parse_args()
    seeds = chosen_seeds(arguments)
    if not arguments.fresh and "-" not in arguments.seeds:
        seed = next(seeds)
        violations = run_seed(arguments.build, seed, arguments.seconds)
        for text in violations:
            print("VIOLATION", text)
        if violations:
            print(f"repeat: python3 test/soak/soak.py {arguments.build} --seeds {seed} --seconds {arguments.seconds:g}")
        return 1 if violations else 0
    failed, count = [], 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        def run_one(seed):
            return seed, run_in_subprocess(arguments, seed)
        pending = set()
        for seed in seeds:
            pending.add(pool.submit(run_one, seed))
            if len(pending) >= arguments.jobs:
                done, pending = concurrent.futures.wait(pending, return_when=concurrent.futures.FIRST_COMPLETED)
                failed += [item.result()[0] for item in done if not item.result()[1]]
                count += len(done)
        results = [item.result() for item in pending]
        failed += [seed for seed, passed in results if not passed]
        count += len(results)
    print(f"{count} seeds, {len(failed)} failed {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
