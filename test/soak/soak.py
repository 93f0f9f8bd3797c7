#!/usr/bin/env python3
"""Soak of the gateway: real processes, stand-ins of store and endpoints behind faulty links, faults from outside.

    python3 test/soak/soak.py BUILD --seeds 1-50 --jobs 4      fifty seeds, four at a time
    python3 test/soak/soak.py BUILD --seeds 7 --seconds 12     one seed again
    python3 test/soak/soak.py BUILD --fresh 240                fresh seeds for that many seconds

A seed decides which faults come when; the machine decides the rest. The logs of a failed seed are kept.
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
from gatewayfleet import Endpoint, Gateway, Store, chunk, route, sealed_response, stream_head  # noqa: E402
from promises import Outcome, Record, Run, broken_promises  # noqa: E402

GATEWAYS, CALLERS, GRACE_S = 3, 12, 4
TEAMS = ("north", "south")
EVENTS, EVENT_PAUSE_S = 12, 0.02
# Ports of gateways, below those that the system hands out; each job has its own part.
FIRST_PORT, PORTS_PER_JOB = 20000, 400
# After an outage of the store or a link, calls to it may still be waiting for their time-out.
AFTER_OUTAGE_S = 2.5
ROUTES = [route("plain", "desk"), route("once", "desk", "non_idempotent", max_attempts=1),
          route("stream", "model", "streaming", sticky=True, can_resume=True, gap_target_ms=200)]


def configuration(version):
    limits = {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    services = [{"name": name, "health_path": "/h", "max_connections": 64} for name in ("desk", "model")]
    tenants = [{"name": team, "api_keys": [f"{team}-{version}"]} for team in TEAMS]
    return {"version": version, "routes": ROUTES, "services": services, "limits": limits, "tenants": tenants}


class FaultyStore(Store):
    """The stand-in of the store, which also answers slowly, refuses, or carries a call out and loses the answer."""

    def __init__(self):
        super().__init__()
        self.mode = None

    def answer(self, request):
        if self.mode == "refuse":
            return 503, {}
        if self.mode == "slow":
            time.sleep(0.2)
        status, body = super().answer(request)
        if self.mode == "lose_answer":
            raise ConnectionError("the answer is lost")
        return status, body


class Process(Gateway):
    """One gateway with all its processes over time; `label` names the present one."""

    def __init__(self, build, store_port, name, ports):
        self.number, self.starts, self.lock = 1, 0, threading.Lock()
        super().__init__(build, type("At", (), {"server": type("S", (), {"port": store_port})}), name, GRACE_S, ports)
        self.name = name

    @property
    def label(self):
        return f"{self.name}#{self.number}"

    def has_started(self):
        return len(self.log_lines("started")) > self.starts

    def restart(self):
        self.starts = len(self.log_lines("started"))
        self.start()
        self.number += 1


class Fleet:
    def __init__(self, build, job, record):
        self.record, self.version, self.endpoints = record, 1, {}
        self.store = FaultyStore()
        self.store.put("op/config", configuration(1))
        self.store_link = FaultyLink(self.store.server.port)
        self.links = []
        for service, count in (("desk", 3), ("model", 3)):
            for _ in range(count):
                self.add_endpoint(service)
        ports = iter(range(FIRST_PORT + job * PORTS_PER_JOB, FIRST_PORT + (job + 1) * PORTS_PER_JOB))
        self.gateways = [Process(build, self.store_link.port, f"g{i}", ports) for i in range(GATEWAYS)]

    def add_endpoint(self, service):
        name = f"{service}-{len(self.endpoints)}"
        endpoint = Endpoint(lambda connection, request: self.serve(name, connection, request))
        link = FaultyLink(endpoint.server.port)
        self.links.append(link)
        self.endpoints[name] = (service, endpoint, link)
        self.put_entry(name, "ready")

    def put_entry(self, name, state):
        service, endpoint, link = self.endpoints[name]
        self.store.put(f"servers/{name}", {**endpoint.registration(service, state), "addr": f"127.0.0.1:{link.port}"})

    def serve(self, name, connection, request):
        attempt, kind = request.headers["x-attempt-id"], request.target.split("/")[1]
        if request.headers.get("x-expect-instance") != name:
            head = f"HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"
            connection.sendall(head.encode())
            return
        self.record.add_run(Run(attempt, kind, name))
        if kind != "stream":
            time.sleep(0.01)
            connection.sendall(sealed_response(request, body=attempt.encode()))
            return
        connection.sendall(stream_head(request))
        for event in range(int(request.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
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
    """Sends requests on one connection for as long as it holds, then opens another."""

    def __init__(self, fleet, seed, over):
        super().__init__(daemon=True)
        self.fleet, self.random, self.over, self.connection, self.at = fleet, random.Random(seed), over, None, None

    def run(self):
        while not self.over.is_set():
            self.send()
            time.sleep(self.random.uniform(0.005, 0.05))

    def send(self):
        if self.connection is None:
            gateway = self.random.choice(self.fleet.gateways)
            self.connection, self.at = http.client.HTTPConnection(
                "127.0.0.1", gateway.callers_port, timeout=6), gateway.label
        kind, team = self.random.choice(("plain", "once", "stream")), self.random.choice(TEAMS)
        version = max(1, self.fleet.version - (self.random.random() < 0.2))
        attempt = f"{self.random.getrandbits(64):016x}"
        outcome = Outcome(attempt, kind, team, self.at, version)
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000",
                  "Authorization": f"Bearer {team}-{version}"}
        body, keeps = b"", False
        try:
            self.connection.request("POST", f"/{kind}/x", b"", fields)
            answer = self.connection.getresponse()
            outcome.status = answer.status
            keeps = not answer.will_close
            if answer.chunked:
                for part in iter(lambda: answer.read1(4096), b""):
                    body += part
            else:
                body = answer.read()
            outcome.whole = True
        except http.client.IncompleteRead as error:
            body, keeps = body + error.partial, False
        except (http.client.HTTPException, OSError):
            keeps = False
        outcome.ended_at = time.monotonic()
        if outcome.status == 200:
            outcome.problem = self.problem(kind, attempt, body.decode(), outcome.whole)
        self.fleet.record.add_outcome(outcome)
        if not keeps:
            self.connection.close()
            self.connection = None

    @staticmethod
    def problem(kind, attempt, body, whole):
        expected = attempt if kind != "stream" else "".join(f"id: {i}\ndata: {attempt}\n\n" for i in range(1, EVENTS + 1))
        if whole and body != expected:
            return f"a whole answer that isn't its own: {body[:200]!r}"
        return None if expected.startswith(body) else f"the part of an answer isn't its own: {body[:200]!r}"


class Injector:
    """Draws faults from the seed, several at a time."""

    def __init__(self, fleet, seed):
        self.fleet, self.random, self.findings = fleet, random.Random(seed), []
        self.kinds = (self.stop, self.kill, self.pause, self.reload, self.store_fault, self.store_link_fault,
                      self.endpoint_link_fault, self.endpoint_leaves, self.configuration_changes)

    def run(self, seconds):
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            kind = self.random.choice(self.kinds)
            arguments = (self.random.randrange(GATEWAYS), self.random.uniform(0.2, 1.5), self.random.random())
            print(f"{seconds - end + time.monotonic():6.2f} {kind.__name__} {arguments}", flush=True)
            running.append(threading.Thread(target=kind, args=arguments))
            running[-1].start()
            time.sleep(self.random.uniform(0.2, 1.2))
        for thread in running:
            thread.join()

    def note(self, what, since, extra=0.0):
        self.fleet.record.note_disturbed(what, since, time.monotonic() + extra)

    def signal(self, gateway, number):
        if gateway.process.poll() is None:
            gateway.process.send_signal(number)

    def stop(self, which, *_):
        gateway = self.fleet.gateways[which]
        with gateway.lock:
            since = time.monotonic()
            label = gateway.label
            self.signal(gateway, signal.SIGTERM)
            try:
                code = gateway.process.wait(timeout=GRACE_S + 4)
                # A signal that comes before main() has no handler yet; such a process served nobody.
                unborn = code == -signal.SIGTERM and not gateway.has_started()
                if code != 0 and not unborn:
                    self.findings.append(f"planned stop: {label} ended with code {code}")
            except subprocess.TimeoutExpired:
                self.findings.append(f"planned stop: {label} was still there {GRACE_S + 4} s after SIGTERM")
                gateway.process.kill()
                gateway.process.wait()
            self.fleet.record.stops.append((label, since, time.monotonic()))
            gateway.restart()

    def kill(self, which, seconds, _):
        gateway = self.fleet.gateways[which]
        with gateway.lock:
            since = time.monotonic()
            label = gateway.label
            gateway.process.kill()
            gateway.process.wait()
            time.sleep(seconds / 3)
            gateway.restart()
            # Whoever restarts has to read the list first.
            self.note(label, since - AFTER_OUTAGE_S)

    def pause(self, which, seconds, _):
        # May come while the same gateway stops.
        gateway, since = self.fleet.gateways[which], time.monotonic()
        process, label = gateway.process, gateway.label
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        self.note(label, since, AFTER_OUTAGE_S)
        self.note("any_pause", since, AFTER_OUTAGE_S)

    def reload(self, which, *_):
        gateway = self.fleet.gateways[which]
        for _ in range(3):
            # Before main() the signal has no handler and would end the process.
            if gateway.has_started():
                self.signal(gateway, signal.SIGHUP)
            time.sleep(0.05)

    def store_fault(self, _, seconds, draw):
        since = time.monotonic()
        self.fleet.store.mode = ("refuse", "slow", "lose_answer")[int(draw * 3)]
        time.sleep(2 * seconds)
        self.fleet.store.mode = None
        self.note("store", since, AFTER_OUTAGE_S)

    def link_fault(self, link, what, seconds, draw):
        since = time.monotonic()
        link.set_fault(FaultyLink.FAULTS[int(draw * len(FaultyLink.FAULTS))])
        time.sleep(seconds)
        link.set_fault(None)
        self.note(what, since, AFTER_OUTAGE_S)

    def store_link_fault(self, _, seconds, draw):
        self.link_fault(self.fleet.store_link, "store", seconds, draw)

    def endpoint_link_fault(self, which, seconds, draw):
        self.link_fault(self.fleet.links[-1 - which], "link", seconds, draw)

    def endpoint_leaves(self, which, *_):
        names = [name for name in self.fleet.endpoints if name not in self.fleet.record.leaving]
        name = names[which]
        service = self.fleet.endpoints[name][0]
        self.fleet.add_endpoint(service)
        self.fleet.put_entry(name, "draining")
        self.fleet.record.leaving[name] = time.monotonic()
        time.sleep(3)
        self.fleet.store.remove(f"servers/{name}")

    def configuration_changes(self, *_):
        with self.fleet.store.changed:
            version = self.fleet.version + 1
            self.fleet.store.put("op/config", configuration(version))
            self.fleet.version = version


def run_seed(build, seed, seconds, job):
    record, over = Record(), threading.Event()
    fleet = Fleet(build, job, record)
    injector = Injector(fleet, seed)
    try:
        callers = [Caller(fleet, seed * 1000 + i, over) for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        injector.run(seconds)
        time.sleep(1.0)
        over.set()
        for caller in callers:
            caller.join(timeout=10)
        broken = injector.findings + broken_promises(record)
        served = sum(outcome.status == 200 and outcome.whole for outcome in record.outcomes)
        print(f"seed {seed}: {len(record.outcomes)} requests, {served} served, {len(record.runs)} runs")
        if served == 0:
            broken.append("nothing was served")
        if broken:
            keep(fleet, seed, broken)
        return broken
    finally:
        fleet.close()


def keep(fleet, seed, broken):
    directory = tempfile.mkdtemp(prefix=f"soak-seed-{seed}-")
    for gateway in fleet.gateways:
        shutil.copy(gateway.log_file, os.path.join(directory, f"{gateway.name}.log"))
    with open(os.path.join(directory, "broken.txt"), "w", encoding="utf-8") as out:
        out.write("\n".join(broken) + "\n")
    print(f"logs of the failed seed: {directory}")


def run_apart(arguments, seed, job):
    """Runs one seed in a process of its own and returns whether it held."""
    command = [sys.executable, os.path.abspath(__file__), arguments.build, "--seeds", str(seed),
               "--seconds", str(arguments.seconds), "--job", str(job)]
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
    parser = argparse.ArgumentParser(description="soak of the gateway with faults from outside")
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1", help="a seed, or FIRST-LAST")
    parser.add_argument("--fresh", type=float, default=0, help="seconds during which fresh seeds are started")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--job", type=int, default=0, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    seeds = chosen_seeds(arguments)
    if not arguments.fresh and "-" not in arguments.seeds:
        seed = next(seeds)
        broken = run_seed(arguments.build, seed, arguments.seconds, arguments.job)
        for text in broken:
            print("BROKEN", text)
        if broken:
            print(f"again: python3 test/soak/soak.py {arguments.build} --seeds {seed} --seconds {arguments.seconds:g}")
        return 1 if broken else 0
    failed, count, free = [], 0, list(range(arguments.jobs))
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        def one(seed):
            job = free.pop()
            try:
                return seed, run_apart(arguments, seed, job)
            finally:
                free.append(job)
        pending = set()
        for seed in seeds:
            pending.add(pool.submit(one, seed))
            if len(pending) >= arguments.jobs:
                done, pending = concurrent.futures.wait(pending, return_when=concurrent.futures.FIRST_COMPLETED)
                failed += [item.result()[0] for item in done if not item.result()[1]]
                count += len(done)
        results = [item.result() for item in pending]
        failed += [seed for seed, held in results if not held]
        count += len(results)
    print(f"{count} seeds, {len(failed)} failed {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
