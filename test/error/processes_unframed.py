#!/usr/bin/env python3
"""Tests of gateway processes with responses that have neither a length nor chunks and end with their connection."""
import signal
import socket
import struct
import sys
import threading
import time
from io import BytesIO

from gatewayfleet import (Endpoint, Gateway, Store, answers_report, configuration, eventually, read_request, route,
                          run_tests)

BUILD = sys.argv[1]
EVENT = "id: {0}\ndata: {0}\n\n"
# Takes a gateway longer to send than an endpoint that reads nothing makes room for.
UPLOAD_BYTES = 8 << 20


def head(request, content_type):
    return (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.headers['x-attempt-id']}\r\nX-Server-Seal: s\r\n"
            f"Content-Type: {content_type}\r\n\r\n").encode()


def reset(connection):
    """Ends the connection with a reset: it is closed without an orderly shutdown."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()
    raise ConnectionResetError


class EarlyEndpoint(Endpoint):
    """An endpoint that calls its script once it has the head of a request, and reads nothing of the body."""

    def serve(self, connection, stream):
        head_only = BytesIO(b"".join(iter(stream.readline, b"\r\n")).replace(b"Content-Length", b"Length") + b"\r\n")
        request = read_request(head_only)
        if not answers_report(connection, request, self.born):
            self.script(connection, request)


def response_of(route_item, script, gateways=(), endpoint_type=Endpoint, body="text"):
    """Returns what a caller gets if the only endpoint of the route responds by `script(connection, request)`.

    The gateway is appended to the list `gateways`, if there is one.
    """
    store, endpoint = Store(), endpoint_type(script)
    store.put("servers/e-0", endpoint.registration(route_item["service"]))
    document = configuration(1, [route_item])
    document["limits"]["max_body_bytes"] = 2 * UPLOAD_BYTES
    store.put("op/config", document)
    gateway = Gateway(BUILD, store)
    gateways += [gateway] if isinstance(gateways, list) else ()
    try:
        eventually(gateway.is_ready, "readiness")
        status, body, _ = gateway.call("POST", f"/{route_item['name']}/x", body)
        return status, body
    finally:
        gateway.stop()
        for server in (store.server, endpoint.server):
            server.close()


def stream_route(**more):
    return route("stream", "model", "streaming", sticky=True, gap_target_ms=200, max_attempts=1, **more)


def stream_script(events, ending, rest="", pause_s=0.0):
    def script(connection, request):
        connection.sendall(head(request, "text/event-stream"))
        for number in range(events):
            connection.sendall(EVENT.format(number).encode())
        connection.sendall(rest.encode())
        time.sleep(pause_s)
        if ending == "reset":
            reset(connection)
        return False
    return script


def whole_stream_is_delivered():
    status, body = response_of(stream_route(), stream_script(3, "close"))
    assert (status, body) == (200, "".join(EVENT.format(i) for i in range(3)).encode()), (status, body)


def stream_that_is_reset_after_a_whole_event_isnt_complete():
    for pause_s in (0.0, 0.05, 0.2):
        status, body = response_of(stream_route(), stream_script(3, "reset", pause_s=pause_s))
        assert body is None, (pause_s, status, body)


def stream_that_is_closed_and_reset_before_the_gateway_reads_its_end_isnt_complete():
    gateways = []

    def script(connection, request):
        connection.sendall(head(request, "text/event-stream") + EVENT.format(0).encode())
        time.sleep(0.1)
        gateways[0].process.send_signal(signal.SIGSTOP)
        connection.shutdown(socket.SHUT_WR)
        threading.Timer(0.3, gateways[0].process.send_signal, (signal.SIGCONT,)).start()
        reset(connection)
    status, body = response_of(stream_route(), script, gateways)
    assert body is None, (status, body)


def stream_that_ends_inside_an_event_isnt_complete():
    for rest in ("i", "id: 3\n", "id: 3\ndata: 3\n"):
        status, body = response_of(stream_route(), stream_script(3, "close", rest=rest))
        assert body is None, (rest, status, body)


def plain_responses_are_whole_or_failures():
    plain = route("plain", "desk", max_attempts=1)
    for body in (b"", b"short", b"x" * 3000000):
        def script(connection, request, body=body):
            connection.sendall(head(request, "text/plain") + body)
            return False
        assert response_of(plain, script) == (200, body), len(body)

    def cut(connection, request):
        connection.sendall(head(request, "text/plain") + b"cut")
        time.sleep(0.05)
        reset(connection)
    assert response_of(plain, cut)[0] == 502


def response_that_ends_while_the_request_is_being_sent_isnt_complete():
    # The end of the response arrives before the reset that follows, and was taken for that of a whole response.
    def end_early(connection, request):
        connection.sendall(head(request, "text/plain") + b"a part")
        connection.shutdown(socket.SHUT_WR)
        time.sleep(0.5)

    for kind in ("non_idempotent", "idempotent"):
        upload = route("upload", "model", kind, max_attempts=1, timeout_ms=4000, slo_ms=4000)
        status, body = response_of(upload, end_early, endpoint_type=EarlyEndpoint, body="u" * UPLOAD_BYTES)
        assert status == 502, (kind, status, body)


if __name__ == "__main__":
    sys.exit(run_tests(("EarlyEndpoint", "head", "reset", "response_of", "stream_route", "stream_script"), sys.argv[2:]))
