#!/usr/bin/env python3
"""Tests of requests that a gateway gets while it stops as planned, at each moment of its grace time."""
import itertools
import os
import socket
import sys
import threading
import time

from gatewayfleet import Endpoint, Gateway, Store, chunk, configuration, eventually, route, run_tests, sealed_response, stream_head

BUILD = sys.argv[1]
GRACE_S, LONGEST_S = 8, 7
# Requests are sent from before SIGTERM until the end of the grace time, one of each kind at these intervals.
FIRST_S, INTERVAL_S = -0.4, 0.25
RUNS_S = (0.05, 4.0, 6.0)
EVENT_PAUSE_S = 0.25
REPEATABLE = ("read", "draft")
ROUTES = [route("read", "desk", timeout_ms=1000 * LONGEST_S, slo_ms=60000), route("send", "desk", "non_idempotent", timeout_ms=1000 * LONGEST_S),
          route("draft", "model", "streaming", can_resume=True, max_attempts=2, timeout_ms=1000 * LONGEST_S, gap_target_ms=600),
          route("once", "model", "streaming", max_attempts=1, timeout_ms=1000 * LONGEST_S, gap_target_ms=600)]


class Outcome:
    def __init__(self, name, run_s, is_kept, sent_at):
        self.name, self.run_s, self.is_kept, self.sent_at = name, run_s, is_kept, sent_at
        self.attempt, self.status, self.is_complete, self.events = os.urandom(8).hex(), 0, False, 0
        self.other = None  # the outcome at the other gateway, if this one has refused the request

    @property
    def is_served(self):
        return self.status == 200 and self.is_complete or self.other is not None and self.other.is_served

    def __repr__(self):
        return (f"{self.name} of {self.run_s} s {'kept' if self.is_kept else 'new'} at {self.sent_at:.2f}: {self.status} "
                f"{'complete' if self.is_complete else 'cut'} {self.events} events")


class Fleet:
    def __init__(self, grace_s):
        self.store, self.runs = Store(), {}
        document = configuration(1, ROUTES)
        for service in document["services"]:
            service["max_connections"] = 4000
        self.store.put("op/config", document)
        self.endpoints = [Endpoint(self.respond) for _ in range(4)]
        for i, endpoint in enumerate(self.endpoints):
            entry = {**endpoint.registration("model" if i < 2 else "desk"), "slots": 500}
            self.store.put(f"servers/i-{i}", entry)
        self.gateway, self.other = (Gateway(BUILD, self.store, name, grace_s) for name in ("g1", "g2"))
        eventually(lambda: self.gateway.is_ready() and self.other.is_ready(), "readiness")
        time.sleep(0.5)

    def respond(self, connection, request):
        run_s = float(request.target.rsplit("/", 1)[1])
        self.runs[request.headers["x-attempt-id"]] = time.monotonic()
        if request.target.startswith(("/read", "/send")):
            time.sleep(run_s)
            connection.sendall(sealed_response(request))
            return True
        connection.sendall(stream_head(request))
        last = max(1, round(run_s / EVENT_PAUSE_S))
        for number in range(int(request.headers.get("last-event-id") or 0) + 1, last + 1):
            time.sleep(min(run_s, EVENT_PAUSE_S))
            connection.sendall(chunk(f"id: {number}\ndata: e{number}\n\n"))
        connection.sendall(b"0\r\n\r\n")
        return True

    def send(self, out, caller):
        """Sends the request and notes what comes back."""
        data = b""
        try:
            caller.sendall(f"POST /{out.name}/{out.run_s} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {out.attempt}\r\n"
                           f"X-Deadline-Ms: {1000 * LONGEST_S}\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\n{{}}".encode())
            while not out.is_complete and (part := caller.recv(65536)):
                data += part
                head, end, body = data.partition(b"\r\n\r\n")
                if end:
                    out.status = int(head.split()[1])
                    size = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
                    out.is_complete = len(body) >= int(size[0].split(b":")[1]) if size else body.endswith(b"0\r\n\r\n")
        except OSError:
            pass  # cut or refused
        out.events = data.count(b"data: ")

    def connect(self, gateway=None):
        return socket.create_connection(("127.0.0.1", (gateway or self.gateway).callers_port), timeout=12)

    def close(self):
        self.gateway.stop()
        self.other.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()


def play(fleet, grace_s):
    """Stops the gateway under requests of all kinds; returns their outcomes."""
    outcomes, threads, begins, begin = [], [], threading.Event(), 0.0

    def request(out, connection):
        begins.wait()
        time.sleep(max(0.0, begin + out.sent_at - time.monotonic()))
        try:
            caller = connection or fleet.connect()
        except OSError:
            return  # the process has ended
        with caller:
            fleet.send(out, caller)
        if out.status == 503:
            out.other = Outcome(out.name, out.run_s, False, out.sent_at)
            with fleet.connect(fleet.other) as caller:
                fleet.send(out.other, caller)

    moments = [FIRST_S + i * INTERVAL_S for i in range(int((grace_s - FIRST_S) / INTERVAL_S))]
    kinds = list(itertools.product(moments, [item["name"] for item in ROUTES], RUNS_S, (False, True)))
    kept = {}
    for moment, name, run_s, is_kept in kinds:
        if is_kept:
            kept[moment, name, run_s] = fleet.connect()
            fleet.send(Outcome(name, 0.0, True, 0), kept[moment, name, run_s])
    for moment, name, run_s, is_kept in kinds:
        outcomes.append(Outcome(name, run_s, is_kept, moment))
        threads.append(threading.Thread(target=request, args=(outcomes[-1], kept.get((moment, name, run_s)) if is_kept else None),
                                        daemon=True))
        threads[-1].start()
    begin = time.monotonic() + 1.0
    begins.set()
    time.sleep(max(0.0, begin - time.monotonic()))
    terminated_at = time.monotonic()
    fleet.gateway.process.terminate()
    code = fleet.gateway.process.wait(timeout=grace_s + 2)
    took_s = time.monotonic() - terminated_at
    for thread in threads:
        thread.join(timeout=15)
    assert code == 0 and took_s < grace_s, (code, took_s)
    return outcomes


def summary(fleet, outcomes):
    out = []
    for name, run_s in itertools.product([item["name"] for item in ROUTES], RUNS_S):
        these = [item for item in outcomes if item.name == name and item.run_s == run_s and item.sent_at >= 0]
        served = sum(item.status == 200 and item.is_complete for item in these)
        refused = [item for item in these if item.status == 503]
        out.append(f"{name} {run_s} s: {served} served, {len(refused)} refused, of which {sum(item.is_served for item in refused)} "
                   "served by the other gateway, "
                   f"{sum(item.status in (502, 504) for item in these)} failed, "
                   f"{sum(item.attempt in fleet.runs and not item.is_complete for item in these)} cut of {len(these)}")
    return "\n".join(out)


def check(grace_s):
    fleet = Fleet(grace_s)
    try:
        outcomes = play(fleet, grace_s)
        print(f"grace time {grace_s} s\n{summary(fleet, outcomes)}", flush=True)
        run = [item for item in outcomes if item.attempt in fleet.runs]
        # A stream is cut after an event if it may go on elsewhere, or began before the stop.
        cut = [item for item in run if not item.is_complete
               and not (item.events > 0 and (item.name == "draft" or item.name == "once" and item.sent_at < 0))]
        assert not cut, (len(cut), cut[:3])
        lost = [item for item in run if item.sent_at > 0 and item.name not in REPEATABLE and item.status != 200]
        assert not lost, (len(lost), lost[:3])
        false_promises = [item for item in run if item.status == 503]
        assert not false_promises, (len(false_promises), false_promises[:3])
        unserved = [item for item in outcomes if item.status == 503 and not item.is_served]
        assert not unserved, (len(unserved), unserved[:3])
        early = [item for item in outcomes if item.name in REPEATABLE and 0 < item.sent_at < min(2.4, grace_s - 1.0) and item.status == 503]
        assert not early, (len(early), early[:3])
    finally:
        fleet.close()


# Requests were taken that lasted longer than the grace time, and ended without an answer.
def requests_that_come_during_a_planned_stop_are_answered():
    check(GRACE_S)


def requests_that_come_during_a_short_grace_time_are_answered():
    check(3)


if __name__ == "__main__":
    sys.exit(run_tests(("Outcome", "Fleet", "play", "summary", "check"), sys.argv[2:]))
