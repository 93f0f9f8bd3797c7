#!/usr/bin/env python3
"""Load test of streams that are taken up again, while endpoints of several software versions serve.

    python3 test/soak/streamload.py BUILD --seed 1                          12 gateways, two versions, streams broken off
    python3 test/soak/streamload.py BUILD --seed 1 --gateways 94 --faults   gateways are killed, frozen, stopped and cut off
                                                                            from each other, and datagrams are lost
    python3 test/soak/streamload.py BUILD --seed 1 --releases               versions come and go
    python3 test/soak/streamload.py BUILD --seed 1 --rolls 1.3 --pause-s 6  gateways are stopped and started in turn, and
                                                                            callers take streams up after some of the stops
    python3 test/soak/streamload.py BUILD --seed 1 --replaced 4 --outages   endpoints start again under their ids with other
                                                                            versions, and their entries come late or never;
                                                                            the store is away at times, or all gateways are
                                                                            killed at once

Callers take a stream that was broken off up again at any gateway. Judged by what callers got: a stream never holds events
of two versions, and streams that are taken up again go on at least half as often as new ones begin.
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
from crashload import LoadGateway, RelayedStore  # noqa: E402
from datagramrelay import DatagramRelay  # noqa: E402
from gatewayfleet import PORTS_PER_GATEWAY, Server, answers_report, chunk, configuration, eventually, read_request  # noqa: E402
from gatewayfleet import route, stream_head  # noqa: E402
from portlease import lease_ports  # noqa: E402
from streamrecord import Stream, StreamRecord, judge  # noqa: E402

ROUTES = [route("draft", "model", "streaming", can_resume=True, max_attempts=2, slo_ms=300, gap_target_ms=300,
                timeout_ms=12000)]
EVENTS, EVENT_PAUSE_S = 12, 0.03
# Of the runs at endpoints, so many are broken off: with the end of a connection, which the gateway resumes itself, and of
# the connections of callers.
ENDPOINT_BREAKS, CALLER_BREAKS = 0.15, 0.35
# A caller tries so often, at intervals up to this one.
TRIES = 4
RELEASE_STEP_S = 1.0
SETTLING_S = 2.0
# How long an endpoint that is replaced is down, serves, and is listed late. Some end before they are listed, and the entry
# of some comes again after that of the next incarnation.
DOWN_S, SERVES_S, LATE_S = (0.05, 0.6), (0.8, 4.0), (0.0, 3.0)
LATE_ENTRIES = 0.3
DATAGRAM_LOSS = 0.02


class Engine:
    """An endpoint of one software version, which begins a stream or goes on after an event."""

    def __init__(self, fleet, name, version):
        self.fleet, self.name, self.version, self.random = fleet, name, version, random.Random(name)
        self.server, self.state, self.born = Server(self.serve), "ready", 1
        self.register()

    def entry(self):
        return {"service": "model", "addr": f"127.0.0.1:{self.server.port}", "zone": "z", "version": self.version, "slots": 64,
                "state": self.state, "cold_left_ms": 0, "sequence": 1, "born": self.born}

    def register(self):
        self.fleet.store.put(f"servers/{self.name}", self.entry())

    def replace(self, versions, stop):
        """Starts again and again under its id and address, each time with one of the versions."""
        while not stop.wait(self.random.uniform(*SERVES_S)):
            port, former = self.server.port, self.entry()
            self.server.close()
            self.server.close_connections()
            stop.wait(self.random.uniform(*DOWN_S))
            self.version, self.born = self.random.choice(versions), self.born + 1
            self.server = Server(self.serve, port)
            if stop.wait(self.random.uniform(*LATE_S)):
                return
            if self.random.random() < LATE_ENTRIES:
                continue
            self.register()
            if self.random.random() < LATE_ENTRIES:
                stop.wait(0.5)
                self.fleet.store.put(f"servers/{self.name}", former)

    def leave(self):
        self.state = "draining"
        self.register()

    def end(self):
        self.fleet.store.remove(f"servers/{self.name}")
        self.server.close()
        self.server.close_connections()

    def serve(self, connection, stream):
        version, born = self.version, self.born
        while (request := read_request(stream)):
            if answers_report(connection, request, born):
                continue
            first = int(request.headers.get("last-event-id") or 0) + 1
            last = first + self.random.randrange(1, 6) if self.random.random() < ENDPOINT_BREAKS else EVENTS
            connection.sendall(stream_head(request))
            for event in range(first, EVENTS + 1):
                time.sleep(EVENT_PAUSE_S)
                if event > last:
                    return  # breaks off
                connection.sendall(chunk(f"id: {event}\ndata: {version} {event}\n\n"))
            connection.sendall(b"0\r\n\r\n")


class Fleet:
    def __init__(self, arguments):
        self.random, self.record, self.arguments = random.Random(arguments.seed), StreamRecord(), arguments
        self.relay = DatagramRelay(self.random.random)
        self.store, self.stop = RelayedStore(self.relay), threading.Event()
        self.store.put("op/config", configuration(1, ROUTES))
        self.engines = [Engine(self, f"{version}-{i}", version) for version in arguments.versions for i in range(2)]
        self.replaced = [Engine(self, f"replaced-{i}", arguments.versions[0]) for i in range(arguments.replaced)]
        ports = lease_ports(PORTS_PER_GATEWAY * arguments.gateways)
        self.gateways = [LoadGateway(arguments.build, self.store, f"g{i}", ports) for i in range(arguments.gateways)]
        try:
            for gateway in self.gateways:
                eventually(gateway.is_ready, f"readiness of {gateway.name}", timeout_s=60)
        except AssertionError:
            self.close()
            raise
        # The gateways learn of each other.
        time.sleep(SETTLING_S)

    def call(self, seed):
        """Begins one stream after the other, each at some gateway, and takes up again those that are broken off."""
        draw = random.Random(seed)
        while not self.stop.is_set():
            stream = Stream(time.monotonic())
            for number in range(TRIES):
                gateway = draw.choice(self.gateways)
                breaks_off = draw.random() < CALLER_BREAKS and number + 1 < TRIES
                if self.read(stream, gateway, draw.randrange(1, EVENTS) if breaks_off else None):
                    break
                time.sleep(draw.uniform(0, self.arguments.pause_s))
            self.record.add(stream)
            self.stop.wait(draw.expovariate(self.arguments.rate / self.arguments.callers))

    def read(self, stream, gateway, breaks_after):
        """Reads the stream, or the rest of it, from a gateway. Returns whether the caller is done with it."""
        attempt = os.urandom(8).hex()
        headers = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "8000", "Authorization": "Bearer key-1"}
        if stream.events:
            headers.update({"Last-Event-Id": str(stream.events), "Resumes": stream.first_attempt})
        begun = stream.begin_try(attempt, time.monotonic(), gateway.name)
        connection = http.client.HTTPConnection("127.0.0.1", gateway.callers_port, timeout=4)
        try:
            connection.request("POST", "/draft/x", stream.body, headers)
            response = connection.getresponse()
            begun.status = response.status
            if response.status != 200:
                begun.reason = response.read().decode().strip()
                return False
            # A caller that has all events but not the end of the stream has nothing to take up.
            while (line := response.readline().decode()):
                if line.startswith("data: "):
                    version, event = line.split()[1:]
                    stream.add_event(version, int(event), attempt)
                    begun.events += 1
                    if breaks_after is not None and begun.events >= breaks_after:
                        break
            return stream.events >= EVENTS
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def inject_faults(self):
        """Kills, stops, freezes and cuts off gateways, some of them at the same moment, while datagrams are lost."""
        self.relay.loss = DATAGRAM_LOSS

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

        def cut(gateway):
            self.relay.cut(gateway.peer_port, True)
            time.sleep(2.5)
            self.relay.cut(gateway.peer_port, False)

        def disturb(fault, gateway):
            begin = time.monotonic()
            fault(gateway)
            self.record.add_disturbance(gateway.name, begin, time.monotonic())

        running = []
        while not self.stop.wait(self.random.uniform(1.0, 3.0)):
            fault = self.random.choice((kill, kill, stop, freeze, cut))
            count = self.random.choice((1, 1, max(1, len(self.gateways) // 3)))
            for gateway in self.random.sample(self.gateways, count):
                if gateway.process.poll() is None and not any(t.name == gateway.name and t.is_alive() for t in running):
                    running.append(threading.Thread(target=disturb, args=(fault, gateway), name=gateway.name, daemon=True))
                    running[-1].start()
        for thread in running:
            thread.join(timeout=20)

    def inject_outages(self):
        """Takes the store away for some seconds, or kills all gateways at the same moment."""
        while not self.stop.wait(self.random.uniform(1.5, 4.0)):
            begin = time.monotonic()
            if self.random.random() < 0.5:
                self.store.is_down = True
                self.store.server.close_connections()
                self.stop.wait(self.random.uniform(1.0, 6.0))
                self.store.is_down = False
                continue
            for gateway in self.gateways:
                gateway.process.kill()
                gateway.process.wait()
            for gateway in self.gateways:
                gateway.start()
            for gateway in self.gateways:
                eventually(gateway.is_ready, f"readiness of {gateway.name}", timeout_s=60)
                self.record.add_disturbance(gateway.name, begin, time.monotonic())

    def roll(self):
        """Stops and starts the gateways in turn; a stop may last longer than the time until the next one."""
        def stop(gateway):
            begin = time.monotonic()
            gateway.process.terminate()
            gateway.process.wait()
            gateway.start()
            eventually(gateway.is_ready, f"readiness of {gateway.name}", timeout_s=60)
            self.record.add_disturbance(gateway.name, begin, time.monotonic())

        threads = []
        while not self.stop.is_set():
            for gateway in self.gateways:
                threads.append(threading.Thread(target=stop, args=(gateway,), daemon=True))
                threads[-1].start()
                if self.stop.wait(self.arguments.rolls):
                    break
            for thread in threads:
                thread.join(timeout=60)

    def release(self):
        """Replaces one version after the other, each endpoint by one of the next version that starts first."""
        number = 0
        while not self.stop.wait(self.random.uniform(1.0, 4.0)):
            number += 1
            old = [engine for engine in self.engines if engine.state == "ready"]
            for i, engine in enumerate(old[:max(1, len(old) - self.random.choice((0, 2)))]):
                self.engines.append(Engine(self, f"r{number}-{i}", f"r{number}"))
                if self.stop.wait(RELEASE_STEP_S):
                    return
                engine.leave()
                threading.Timer(2.5, engine.end).start()

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for engine in self.engines + self.replaced:
            engine.server.close()
        self.store.server.close()
        self.relay.close()


def cpu_seconds(fleet):
    """Processor time of all gateways that run, in seconds."""
    ticks = 0
    for gateway in fleet.gateways:
        with open(f"/proc/{gateway.process.pid}/stat", encoding="utf-8") as stat:
            ticks += sum(int(value) for value in stat.read().rsplit(")", 1)[1].split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def mean(fleet, name):
    """The mean of a metric over the gateways."""
    for gateway in fleet.gateways:
        eventually(gateway.is_ready, f"readiness of {gateway.name}")
    return sum(gateway.metric(name) for gateway in fleet.gateways) / len(fleet.gateways)


def print_handover(fleet):
    """Prints what the gateways have kept and sent, by their metrics: since their last start, the mean and the largest."""
    def values(name):
        found = [gateway.metric(name) for gateway in fleet.gateways]
        return f"{sum(found) / len(found):.0f} (at most {max(found):.0f})"

    resident = []
    for gateway in fleet.gateways:
        with open(f"/proc/{gateway.process.pid}/status", encoding="utf-8") as status:
            resident += [int(line.split()[1]) for line in status if line.startswith("VmHWM")]
    print(f"a gateway: origins kept {values('cyclamenturn_stream_origins')}, questions sent "
          f"{values('cyclamenturn_stream_origins_questions')}, origins received {values('cyclamenturn_stream_origins_received')}, "
          f"origins sent {values('cyclamenturn_stream_origins_sent')} in "
          f"{values('cyclamenturn_stream_origins_bytes_sent')} bytes, peak memory {max(resident)} KB at most")


def run(arguments):
    fleet = Fleet(arguments)
    threads = [threading.Thread(target=fleet.call, args=(arguments.seed * 1000 + i,), daemon=True)
               for i in range(arguments.callers)]
    if arguments.faults:
        threads.append(threading.Thread(target=fleet.inject_faults, daemon=True))
    if arguments.outages:
        threads.append(threading.Thread(target=fleet.inject_outages, daemon=True))
    if arguments.rolls:
        threads.append(threading.Thread(target=fleet.roll, daemon=True))
    for engine in fleet.replaced:
        threads.append(threading.Thread(target=engine.replace, args=(arguments.versions, fleet.stop), daemon=True))
    if arguments.releases:
        threads.append(threading.Thread(target=fleet.release, daemon=True))
    try:
        began = cpu_seconds(fleet)
        for thread in threads:
            thread.start()
        time.sleep(arguments.seconds)
        fleet.stop.set()
        for thread in threads:
            thread.join(timeout=60 if arguments.rolls else 20)
        used = "" if arguments.faults or arguments.rolls else \
            f"; {100 * (cpu_seconds(fleet) - began) / arguments.seconds / arguments.gateways:.2f} % of a core a gateway"
        violations, summary = judge(fleet.record, is_version_kept=not arguments.releases)
        print(f"seed {arguments.seed}, {arguments.gateways} gateways{', faults' if arguments.faults else ''}"
              f"{', releases' if arguments.releases else ''}"
              f"{', outages' if arguments.outages else ''}{f', {arguments.replaced} replaced' if arguments.replaced else ''}{f', rolls {arguments.rolls} s' if arguments.rolls else ''}: "
              f"{summary}{used}")
        print(f"since its last start, a gateway has opened {mean(fleet, 'cyclamenturn_endpoint_connections_opened'):.0f} "
              f"connections to endpoints and asked {mean(fleet, 'cyclamenturn_incarnation_checks'):.0f} for their incarnation")
        if arguments.rolls:
            print_handover(fleet)
        if violations:
            directory = tempfile.mkdtemp(prefix="streamload-")
            for gateway in fleet.gateways:
                shutil.copy(gateway.log_file, os.path.join(directory, f"{gateway.name}.log"))
            print(f"logs of the failed run: {directory}")
        return violations
    finally:
        fleet.stop.set()
        fleet.close()


def main():
    parser = argparse.ArgumentParser(description="load test of streams that are taken up again")
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--versions", nargs="+", default=["v1", "v1.1"])
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--rate", type=float, default=40, help="new streams a second")
    parser.add_argument("--faults", action="store_true", help="kill, stop, freeze and cut off gateways meanwhile")
    parser.add_argument("--outages", action="store_true", help="take the store away, and kill all gateways at once")
    parser.add_argument("--rolls", type=float, default=0, help="stop and start gateways in turn, one each so many seconds")
    parser.add_argument("--pause-s", type=float, default=1.0, help="the longest time until a caller takes a stream up")
    parser.add_argument("--releases", action="store_true", help="replace versions meanwhile")
    parser.add_argument("--replaced", type=int, default=0, help="endpoints that start again under their ids with other versions")
    parser.add_argument("--seconds", type=float, default=20)
    violations = run(parser.parse_args())
    for text in violations:
        print("VIOLATION", text)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
