#!/usr/bin/env python3
"""Tests of responses that end early, and of what follows them: heads that stop, and streams that were broken off and are
answered with something else by the next endpoint."""
import itertools
import json
import os
import socket
import struct
import sys
import time

from gatewayfleet import Endpoint, Gateway, Store, chunk, configuration, eventually, route, run_tests, stream_head

BUILD = sys.argv[1]
EVENTS, BROKEN_AFTER = 4, 2
BODY = b'{"error":"overloaded"}'
ROUTES = [route("draft", "model", "streaming", can_resume=True, max_attempts=2, slo_ms=300, gap_target_ms=300),
          route("once", "model", "streaming", max_attempts=1, slo_ms=300, gap_target_ms=300),
          route("read", "desk"), route("send", "desk", "non_idempotent")]


def end(connection, is_reset):
    """Ends the connection, with a TCP reset or in order. The reset is sent once the connection's stream is closed, too."""
    if is_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        raise ConnectionResetError
    return False


def head(request, status=200, *lines, seal=True):
    seals = [f"X-Attempt-Id: {request.headers['x-attempt-id']}"] + (["X-Server-Seal: s"] if seal else [])
    return "\r\n".join([f"HTTP/1.1 {status} X", *seals, *lines, "", ""]).encode()


EVENT_STREAM, CHUNKED, TEXT = "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Content-Type: text/plain"


def length(body):
    return f"Content-Length: {len(body)}"


def event(number):
    return f"id: {number}\ndata: e{number}\n\n".encode()


# What the next endpoint answers, instead of the events that are left.
ANSWERS = {
    "500": lambda r: head(r, 500, TEXT, length(BODY)) + BODY,
    "500 event stream": lambda r: head(r, 500, EVENT_STREAM, length(BODY)) + BODY,
    "500 chunked": lambda r: head(r, 500, TEXT, CHUNKED) + chunk(BODY.decode()) + b"0\r\n\r\n",
    "500 unsealed": lambda r: head(r, 500, TEXT, length(BODY), seal=False) + BODY,
    "500 unframed": lambda r: head(r, 500, TEXT) + BODY,
    "500 without id": lambda r: b"HTTP/1.1 500 X\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nbad",
    "503 full": lambda r: head(r, 503, "X-Not-Executed: 1", length(BODY)) + BODY,
    "503 run": lambda r: head(r, 503, length(BODY)) + BODY,
    "429": lambda r: head(r, 429, "X-Not-Executed: 1", length(BODY)) + BODY,
    "421": lambda r: head(r, 421, "X-Not-Executed: 1", length(BODY)) + BODY,
    "404": lambda r: head(r, 404, length(BODY)) + BODY,
    "301": lambda r: head(r, 301, "Location: /x", length(BODY)) + BODY,
    "204": lambda r: head(r, 204),
    "200 text": lambda r: head(r, 200, TEXT, length(BODY)) + BODY,
    "200 unsealed events": lambda r: head(r, 200, EVENT_STREAM, length(event(3)), seal=False) + event(3),
    "200 no events": lambda r: head(r, 200, EVENT_STREAM, "Content-Length: 0"),
    "200 no events, chunked": lambda r: head(r, 200, EVENT_STREAM, CHUNKED) + b"0\r\n\r\n",
    "200 error as an event": lambda r: head(r, 200, EVENT_STREAM, CHUNKED) + chunk("data: overloaded\n\n") + b"0\r\n\r\n",
    "200 error as a comment": lambda r: head(r, 200, EVENT_STREAM, CHUNKED) + chunk(": overloaded\n\n") + b"0\r\n\r\n",
    "200 error text": lambda r: head(r, 200, EVENT_STREAM, CHUNKED) + chunk(BODY.decode()) + b"0\r\n\r\n",
    "200 from the beginning": lambda r: head(r, 200, EVENT_STREAM, CHUNKED) + b"".join(
        chunk(event(i).decode()) for i in range(1, EVENTS + 1)) + b"0\r\n\r\n",
    "200 half an event": lambda r: head(r, 200, EVENT_STREAM) + event(3)[:-1],
    "not HTTP": lambda r: b"overloaded\r\n\r\n",
    "half a head": lambda r: head(r, 500, length(BODY))[:40],
    "interim, then 500": lambda r: b"HTTP/1.1 103 X\r\n\r\n" + head(r, 500, length(BODY)) + BODY,
    "nothing": lambda r: b"",
}


def frame(data, framing):
    return chunk(data.decode()) if framing == "chunked" else data


def first_part(request, framing, place):
    """A stream that is broken off: after an event, or within one."""
    whole = b"".join(event(i) for i in range(1, EVENTS + 1))
    kind = {"chunked": [CHUNKED], "length": [length(whole)], "unframed": []}[framing]
    out = head(request, 200, EVENT_STREAM, *kind) + b"".join(frame(event(i), framing) for i in range(1, BROKEN_AFTER + 1))
    within = event(BROKEN_AFTER + 1)[:7]
    return out + {"between": b"", "within": frame(within, framing), "within chunk": b"11\r\n" + within}[place]


class Fleet:
    """Two endpoints of a service, of which the first one that is asked for a request responds by `first`, the other one
    by `second`."""

    def __init__(self):
        self.store, self.first, self.second = Store(), None, None
        self.store.put("op/config", configuration(1, ROUTES))
        self.seen = set()
        self.endpoints = [Endpoint(self.respond) for _ in range(4)]
        for i, endpoint in enumerate(self.endpoints):
            service = "model" if i < 2 else "desk"
            self.store.put(f"servers/i-{i}", endpoint.registration(service))
        self.gateway = Gateway(BUILD, self.store)
        eventually(self.gateway.is_ready, "readiness")
        time.sleep(0.5)

    def respond(self, connection, request):
        identifier = request.headers["x-attempt-id"]
        is_first = identifier not in self.seen
        self.seen.add(identifier)
        return (self.first if is_first else self.second)(connection, request)

    def call(self, target, **headers):
        status, body, fields = self.gateway.call("POST", target, json.dumps({"n": os.urandom(6).hex()}), **headers)
        return status, body, fields

    def read_events(self, target):
        """Returns the bytes of a stream's body as far as they came, and whether it ended as complete."""
        attempt = os.urandom(8).hex()
        with socket.create_connection(("127.0.0.1", self.gateway.callers_port), timeout=5) as caller:
            caller.sendall(f"POST {target} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n"
                           "Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}".encode())
            data = b""
            try:
                while (part := caller.recv(65536)):
                    data += part
            except ConnectionError:
                pass  # how the gateway cuts a stream
        fields, _, rest = data.partition(b"\r\n\r\n")
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            count = int(size or b"0", 16)
            if count == 0:
                return fields, body, bool(size)
            body, rest = body + rest[:count], rest[count + 2:]
        return fields, body, False

    def close(self):
        self.gateway.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()


def with_fleet(test):
    fleet = Fleet()
    try:
        test(fleet)
    finally:
        fleet.close()


# The error of the next endpoint reached the caller within the stream, or the stream ended as complete.
def a_stream_that_was_broken_off_never_takes_up_what_is_no_part_of_it():
    def test(fleet):
        whole = b"".join(event(i) for i in range(1, EVENTS + 1))
        begun = b"".join(event(i) for i in range(1, BROKEN_AFTER + 1))
        failures = []
        breaks = [(framing, place, is_reset) for framing, place, is_reset in itertools.product(
            ("chunked", "length", "unframed"), ("between", "within", "within chunk"), (False, True))
            # Without a length, an end between two events is the end of the stream.
            if (framing == "chunked" or place != "within chunk") and (framing, place, is_reset) != ("unframed", "between", False)]
        for (name, answer), (framing, place, is_reset) in itertools.product(ANSWERS.items(), breaks):
            def begin(connection, request):
                connection.sendall(first_part(request, framing, place))
                time.sleep(0.01)
                return end(connection, is_reset)

            def go_on(connection, request):
                connection.sendall(answer(request))
                return "unframed" not in name and name not in ("204", "half a head", "nothing", "not HTTP", "200 half an event")

            fleet.first, fleet.second = begin, go_on
            for target in ("/draft/x", "/once/x"):
                fields, body, is_whole = fleet.read_events(target)
                is_prefix = whole.startswith(body) and b"200" in fields.split(b"\r\n")[0]
                # Events may get lost behind a reset.
                is_right = is_prefix and (body == whole if is_whole else body in (begun, b"", event(1)) or is_reset)
                refused = b" 50" in fields.split(b"\r\n")[0]
                if not is_right and not refused:
                    failures.append((name, framing, place, is_reset, target, body, is_whole))
        assert not failures, (len(failures), sorted({item[0] for item in failures}), failures[:3])
    with_fleet(test)


def a_stream_that_was_broken_off_goes_on_at_the_next_endpoint():
    def test(fleet):
        def begin(connection, request):
            connection.sendall(first_part(request, "chunked", "within"))
            return False

        def go_on(connection, request):
            connection.sendall(stream_head(request))
            for i in range(int(request.headers["last-event-id"]) + 1, EVENTS + 1):
                connection.sendall(chunk(event(i).decode()))
            connection.sendall(b"0\r\n\r\n")
            return True

        fleet.first, fleet.second = begin, go_on
        for _ in range(20):
            _, body, is_whole = fleet.read_events("/draft/x")
            assert is_whole and body == b"".join(event(i) for i in range(1, EVENTS + 1)), body
    with_fleet(test)


# It was sent again from its beginning, as no id told where to go on.
def a_stream_whose_events_have_no_ids_is_not_sent_again():
    def test(fleet):
        def begin(connection, request):
            connection.sendall(stream_head(request) + chunk("data: a\n\n"))
            time.sleep(0.01)
            return False

        fleet.first = fleet.second = begin
        for _ in range(5):
            _, body, is_whole = fleet.read_events("/draft/x")
            assert not is_whole and body == b"data: a\n\n", body
    with_fleet(test)


# A response whose head stopped was passed on with an empty body.
def a_response_that_stops_within_its_head_is_never_passed_on():
    def test(fleet):
        framings = {"length": [length(b"whole body")], "chunked": [CHUNKED], "unframed": [], "empty": ["Content-Length: 0"],
                    "events": [EVENT_STREAM, CHUNKED], "folded": ["Keep-Alive: timeout=5", "Connection: keep-alive", length(b"x")]}
        failures, cuts = [], 0
        for (name, lines), is_reset in itertools.product(framings.items(), (False, True)):
            size = len(head(type("R", (), {"headers": {"x-attempt-id": "0" * 16}}), 200, *lines))
            for place in range(1, size):
                def stop(connection, request):
                    connection.sendall(head(request, 200, *lines)[:place])
                    return end(connection, is_reset)

                fleet.first = fleet.second = stop
                target = ("/read/x", "/send/x", "/draft/x", "/once/x")[place % 4]
                status, body, _ = fleet.call(target)
                cuts += 1
                if status < 500 or status == 503:
                    failures.append((name, place, is_reset, target, status, body))
        assert not failures, (len(failures), cuts, failures[:3])
        print(f"{cuts} cuts")
    with_fleet(test)


# A status below 100 was taken for that of an interim response, and callers waited for their deadline.
def a_status_that_is_none_fails_the_attempt_at_once():
    def test(fleet):
        failures = []
        for status, is_followed in itertools.product(("000", "007", "099", "20", "1000", "2x0", "-20", "600", "999"), (False, True)):
            def answer(connection, request):
                response = head(request, status, length(BODY)) + BODY
                connection.sendall(response + (head(request, 200, length(b"ok")) + b"ok" if is_followed else b""))
                return True

            fleet.first = fleet.second = answer
            for target in ("/read/x", "/send/x", "/draft/x", "/once/x"):
                result = fleet.call(target)[0]
                if result != 502:
                    failures.append((status, is_followed, target, result))
        assert not failures, (len(failures), failures)
        unreadable = fleet.gateway.log_lines("response_unreadable")
        assert any("status" in line for line in unreadable), unreadable[:3]
    with_fleet(test)


if __name__ == "__main__":
    sys.exit(run_tests(("Fleet", "with_fleet", "end", "head", "length", "event", "frame", "first_part"), sys.argv[2:]))
