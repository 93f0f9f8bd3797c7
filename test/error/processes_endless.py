#!/usr/bin/env python3
"""Tests of the gateway process before an endpoint that sends bytes without end, in a head, in a body or unasked."""
import socket
import sys
import threading
import time

from gatewayfleet import Endpoint, Gateway, Store, chunk, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
ROUTES = [route("once", "desk", "non_idempotent", max_attempts=1, timeout_ms=4000),
          route("plain", "desk", slo_ms=4000, timeout_ms=4000),
          route("stream", "desk", "streaming", max_attempts=1, timeout_ms=4000, gap_target_ms=2000, slo_ms=2000)]
# Far more than a gateway reads of any response, and far less than it would read until the route's timeout.
MAX_SENT_BYTES = 64 << 20
# A quarter of the smallest VM's memory for responses, as much again to send one on, and what the process needs itself.
MAX_RESIDENT_MB = 64
PIECE = b"x" * 65536


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
    def __init__(self, script, others=0):
        self.store, self.bad = Store(), Endpoint(script)
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
        peak, stop = [before], threading.Event()

        def watch():
            while not stop.wait(0.02):
                peak.append(fleet.resident_mb())

        def call():
            try:
                fleet.gateway.call("POST", "/once/x", b"", timeout=9)
            except (OSError, socket.timeout):
                pass  # the caller's own timeout; the memory is what counts

        watcher = threading.Thread(target=watch)
        watcher.start()
        for _ in range(3):
            callers = [threading.Thread(target=call) for _ in range(48)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
        stop.set()
        watcher.join()
        assert max(peak) <= MAX_RESIDENT_MB, f"{before} MB before, {max(peak)} MB at the peak"


if __name__ == "__main__":
    sys.exit(run_tests(("Fleet", "Flood"), sys.argv[2:]))
