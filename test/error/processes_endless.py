#!/usr/bin/env python3
"""Tests of the gateway process before an endpoint that sends bytes without end, in a head, in a body or unasked."""
import http.client
import itertools
import json
import os
import sys
import threading
import time

from gatewayfleet import (Endpoint, Gateway, Store, chunk, configuration, eventually, read_request, route, run_tests,
                          sealed_response)

BUILD = sys.argv[1]
ROUTES = [route("once", "desk", "non_idempotent", max_attempts=1, timeout_ms=4000),
          route("plain", "desk", slo_ms=4000, timeout_ms=4000),
          route("stream", "desk", "streaming", max_attempts=1, timeout_ms=4000, gap_target_ms=2000, slo_ms=2000)]
# Far more than a gateway reads of any response, and far less than it would read until the route's timeout.
MAX_SENT_BYTES = 64 << 20
# A quarter of the smallest VM's memory for responses, as much again to send one on, and what the process needs itself.
MAX_RESIDENT_MB = 64
PIECE = b"x" * 65536
MANY_ENDPOINTS = 24


class Flood:
    """Sends `first` and then `piece` over and over, until the gateway closes the connection."""

    def __init__(self, first=b"", piece=PIECE):
        self.first, self.piece, self.sent, self.closed = first, piece, 0, threading.Event()

    def __call__(self, connection, request):
        head = self.first.replace(b"ATTEMPT", request.headers["x-attempt-id"].encode())
        try:
            connection.sendall(head)
            while self.sent < MAX_SENT_BYTES:
                connection.sendall(self.piece)
                self.sent += len(self.piece)
        except OSError:
            self.closed.set()
        return False


SEALED_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nX-Server-Seal: s\r\n"
STREAM_HEAD = SEALED_HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"
FLOODS = {
    "no line ends": ("once", b"", PIECE),
    "a head that is no response": ("once", b"", b"y: z\r\n" * 10000),
    "header fields": ("once", SEALED_HEAD, b"Field: value\r\n" * 4000),
    "one header field": ("once", SEALED_HEAD + b"Field: ", PIECE),
    "interim responses": ("once", b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000),
    "responses to other requests": ("once", b"", OTHER_RESPONSE * 500),
    "a body of another request": ("once", b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
                                  chunk("x" * 65536)),
    "a body until the end of the connection": ("once", SEALED_HEAD + b"\r\n", PIECE),
    "a body in chunks": ("once", SEALED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunk("x" * 65536)),
    "one chunk extension": ("once", SEALED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", PIECE),
    "one event": ("stream", STREAM_HEAD, chunk("data: " + "x" * 65536)),
    "an event without a line end": ("stream", STREAM_HEAD, chunk("x" * 65536)),
}


class Fleet:
    def __init__(self, script, others=0, store=None):
        self.store, self.bad = store or Store(), Endpoint(script)
        self.good = [Endpoint(lambda connection, request: connection.sendall(sealed_response(request)))
                     for _ in range(others)]
        for i, endpoint in enumerate([self.bad] + self.good):
            self.store.put(f"servers/desk-{i}", endpoint.registration("desk"))
        self.store.put("op/config", configuration(3, ROUTES))
        self.gateway = Gateway(BUILD, self.store)

    def __enter__(self):
        eventually(self.gateway.is_ready, "readiness")
        return self

    def __exit__(self, *_):
        self.gateway.stop()
        for server in [self.store.server, self.bad.server] + [endpoint.server for endpoint in self.good]:
            server.close()

    def call_at_once(self, route_names, count, rounds):
        """Sends `count` requests at the same time, to the routes in turn, and that `rounds` times."""
        def call(route_name):
            try:
                self.gateway.call("POST", f"/{route_name}/x", os.urandom(16).hex(), timeout=9)
            except (OSError, http.client.HTTPException):
                pass  # the caller's own timeout; the memory is what counts

        for _ in range(rounds):
            callers = [threading.Thread(target=call, args=(route_names[i % len(route_names)],)) for i in range(count)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()

    def peak_mb_during(self, action):
        """The largest resident memory of the gateway during the action."""
        peak, stop = [self.resident_mb()], threading.Event()

        def watch():
            while not stop.wait(0.02):
                peak.append(self.resident_mb())

        watcher = threading.Thread(target=watch)
        watcher.start()
        action()
        stop.set()
        watcher.join()
        return max(peak)

    def resident_mb(self):
        with open(f"/proc/{self.gateway.process.pid}/status", encoding="utf-8") as status:
            return next(int(line.split()[1]) // 1024 for line in status if line.startswith("VmRSS"))


def bytes_without_end_are_cut_off_and_the_caller_is_answered():
    for what, (route_name, first, piece) in FLOODS.items():
        flood = Flood(first, piece)
        with Fleet(flood) as fleet:
            began = time.monotonic()
            status, body, _ = fleet.gateway.call("POST", f"/{route_name}/x", b"")
            took_s = time.monotonic() - began
            assert status == 502 or (route_name == "stream" and body is None), (what, status)
            assert took_s < 3, (what, took_s)
            assert flood.closed.wait(3), f"{what}: {flood.sent} bytes were read"
            assert fleet.gateway.call("POST", "/once/x", b"", timeout=9)[0] in (502, 503), what
            assert fleet.gateway.process.poll() is None, what


def endpoint_that_sends_without_end_is_passed_over():
    flood = Flood(SEALED_HEAD + b"\r\n")
    with Fleet(flood, others=2) as fleet:
        statuses = [fleet.gateway.call("GET", "/plain/x")[0] for _ in range(20)]
        assert statuses == [200] * 20, statuses
        assert len(fleet.bad.requests) <= 2, len(fleet.bad.requests)


def bytes_without_end_on_an_idle_connection_close_it_at_once():
    closed, sent = threading.Event(), []

    def answer_and_go_on(connection, request):
        connection.sendall(sealed_response(request))
        time.sleep(0.3)  # by now the connection is idle
        try:
            for _ in range(MAX_SENT_BYTES // len(PIECE)):
                connection.sendall(PIECE)
                sent.append(len(PIECE))
        except OSError:
            closed.set()
        return False

    with Fleet(answer_and_go_on) as fleet:
        assert fleet.gateway.call("POST", "/once/x", b"")[0] == 200
        assert closed.wait(3), f"{sum(sent)} bytes were read"
        assert sum(sent) < 8 << 20, sum(sent)
        eventually(lambda: fleet.gateway.log_lines("unexpected_data"), "the log line")


def memory_is_bounded_under_many_responses_without_end():
    slow = Flood(SEALED_HEAD + b"\r\n")
    with Fleet(slow) as fleet:
        before = fleet.resident_mb()
        peak = fleet.peak_mb_during(lambda: fleet.call_at_once(("once",), 48, rounds=3))
        assert peak <= MAX_RESIDENT_MB, f"{before} MB before, {peak} MB at the peak"


def memory_is_bounded_while_all_endpoints_send_without_end():
    floods = itertools.cycle([Flood(first, piece) for _, first, piece in FLOODS.values()])
    is_sound = threading.Event()

    def respond(connection, request):
        if is_sound.is_set():
            return connection.sendall(sealed_response(request))
        return next(floods)(connection, request)

    with Fleet(respond) as fleet:
        for i in range(MANY_ENDPOINTS):
            fleet.good.append(Endpoint(respond))
            fleet.store.put(f"servers/flooding-{i}", fleet.good[-1].registration("desk"))
        time.sleep(1)  # for the list to arrive
        peak = fleet.peak_mb_during(lambda: fleet.call_at_once(("once", "plain", "stream"), 60, rounds=3))
        assert peak <= MAX_RESIDENT_MB, f"{peak} MB at the peak"
        assert len([endpoint for endpoint in fleet.good if endpoint.requests]) > MANY_ENDPOINTS / 2
        is_sound.set()
        eventually(lambda: fleet.gateway.call("GET", "/plain/x")[0] == 200, "an answer afterwards", timeout_s=20)


class FloodingStore(Store):
    """A store that responds to all requests with the bytes of `flood`, while there is one."""

    def __init__(self):
        super().__init__()
        self.flood, self.floods = None, 0

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            if self.flood is not None:
                self.floods += 1
                request.headers.setdefault("x-attempt-id", "")
                self.flood(connection, request)
                return
            status, body = self.respond(request)
            text = json.dumps(body).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)


def memory_is_bounded_while_the_store_sends_without_end():
    store = FloodingStore()
    with Fleet(lambda connection, request: connection.sendall(sealed_response(request)), store=store) as fleet:
        for what, (_, first, piece) in FLOODS.items():
            store.floods, store.flood = 0, Flood(first, piece)
            store.server.close_connections()
            peak = fleet.peak_mb_during(lambda: eventually(lambda: store.floods > 3, f"calls of the store, {what}"))
            assert peak <= MAX_RESIDENT_MB, f"{what}: {peak} MB at the peak"
            assert fleet.gateway.call("GET", "/plain/x")[0] == 200, what
        store.flood = None
        desk = Endpoint(lambda connection, request: connection.sendall(sealed_response(request)))
        fleet.good.append(desk)
        store.put("servers/late", desk.registration("desk"))
        eventually(lambda: fleet.gateway.call("GET", "/plain/x")[0] == 200 and desk.requests, "the list of the store")


if __name__ == "__main__":
    sys.exit(run_tests(("Fleet", "Flood", "FloodingStore"), sys.argv[2:]))
