#!/usr/bin/env python3
"""Tests of what endpoints state in their responses: that they leave, and that they want no requests for a while."""
import sys
import threading
import time

from gatewayfleet import Endpoint, Gateway, Store, chunk, configuration, eventually, route, run_tests, sealed_response
from gatewayfleet import stream_head

BUILD = sys.argv[1]
# A leaving endpoint must not get requests that callers send later than this after its first statement.
DRAIN_S = 2.0
# Of the requests in a pause, as many may arrive from half a second after its beginning.
PAUSE_GRACE_S, MAX_IN_PAUSE = 0.5, 2
PAUSE_S = 2.5
CALLERS = 6
ROUTES = [route("plain", "model"), route("once", "model", "non_idempotent", max_attempts=1),
          route("stream", "model", "streaming", can_resume=True, gap_target_ms=300)]
LEAVING = "Server-Leaving: 1\r\n"


class Talker(Endpoint):
    """An endpoint that notes arrivals, and responds in the way that a test sets."""

    def __init__(self, store, name):
        self.store, self.name, self.arrivals, self.speak, self.stated_at = store, name, [], None, None
        self.born = 1
        super().__init__(self.respond)
        self.register()

    def register(self):
        self.store.put(f"servers/{self.name}", {**self.registration(), "born": self.born})

    def respond(self, connection, request):
        self.arrivals.append(time.monotonic())
        if self.speak is None:
            self.answer(connection, request)
        else:
            self.speak(connection, request)
            self.stated_at = self.stated_at or time.monotonic()

    @staticmethod
    def answer(connection, request, extra="", status=200):
        if request.target.startswith("/stream/") and status == 200:
            head = stream_head(request).replace(b"\r\n\r\n", b"\r\n" + extra.encode() + b"\r\n")
            connection.sendall(head + chunk("id: 1\ndata: a\n\n") + b"0\r\n\r\n")
        else:
            connection.sendall(sealed_response(request, status=status, extra=extra))

    def arrivals_between(self, begin, end):
        return sum(begin <= arrival <= end for arrival in self.arrivals)


class Fleet:
    def __init__(self, endpoints=3):
        self.store = Store()
        self.endpoints = [Talker(self.store, f"i-{i}") for i in range(endpoints)]
        self.store.put("op/config", configuration(1, ROUTES))
        self.gateway, self.statuses = Gateway(BUILD, self.store), []
        eventually(self.gateway.is_ready, "readiness")

    def call_for(self, seconds):
        """Sends requests of all kinds from several callers; returns how many weren't served."""
        end, failed = time.monotonic() + seconds, []

        def call(caller):
            count = caller
            while time.monotonic() < end:
                count += 1
                method, target = (("GET", "/plain/x"), ("POST", "/once/x"), ("POST", "/stream/x"))[count % 3]
                status, body, _ = self.gateway.call(method, target)
                if status != 200 or body is None:
                    failed.append(status)
                time.sleep(0.01)

        threads = [threading.Thread(target=call, args=(i,)) for i in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return failed

    def close(self):
        self.gateway.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()


def with_fleet(test, endpoints=3):
    fleet = Fleet(endpoints)
    try:
        test(fleet)
    finally:
        fleet.close()


def check_leaving(speak):
    """All requests are served, and none reaches an endpoint late that speaks in this way."""
    def test(fleet):
        leaving = fleet.endpoints[0]
        fleet.call_for(0.3)
        leaving.speak = speak
        failed = fleet.call_for(DRAIN_S + 1.5)
        assert leaving.stated_at, "no request reached the endpoint"
        late = leaving.arrivals_between(leaving.stated_at + DRAIN_S, time.monotonic())
        assert not late, f"{late} requests reached the endpoint more than {DRAIN_S} s after it said that it leaves"
        assert not failed, f"not served: {failed}"
    with_fleet(test)


def an_endpoint_that_says_it_leaves_gets_no_requests():
    check_leaving(lambda connection, request: Talker.answer(connection, request, LEAVING))


def an_endpoint_that_says_it_leaves_in_an_interim_response_gets_no_requests():
    def speak(connection, request):
        connection.sendall(f"HTTP/1.1 103 Early Hints\r\n{LEAVING}\r\n".encode())
        Talker.answer(connection, request)
    check_leaving(speak)


def an_endpoint_that_says_it_leaves_as_it_rejects_a_request_gets_no_requests():
    """Its rejections are repeated at other endpoints where the route allows that."""
    def test(fleet):
        leaving = fleet.endpoints[0]
        leaving.speak = lambda connection, request: Talker.answer(
            connection, request, LEAVING + "X-Not-Executed: 1\r\n", status=503)
        fleet.call_for(DRAIN_S + 1.5)
        late = leaving.arrivals_between(leaving.stated_at + DRAIN_S, time.monotonic())
        assert not late, f"{late} requests reached the endpoint more than {DRAIN_S} s after it said that it leaves"
    with_fleet(test)


def an_endpoint_that_left_and_started_again_is_used_again():
    def test(fleet):
        leaving = fleet.endpoints[0]
        leaving.speak = lambda connection, request: Talker.answer(connection, request, LEAVING)
        fleet.call_for(0.5)
        began, leaving.speak, leaving.born = time.monotonic(), None, 2
        leaving.register()
        failed = fleet.call_for(1.5)
        assert leaving.arrivals_between(began + 0.5, time.monotonic()), "the restarted endpoint gets no requests"
        assert not failed, f"not served: {failed}"
    with_fleet(test)


def requests_are_refused_as_not_run_when_all_endpoints_leave():
    def test(fleet):
        for endpoint in fleet.endpoints:
            endpoint.speak = lambda connection, request: Talker.answer(connection, request, LEAVING)
        fleet.call_for(0.5)
        begin = time.monotonic()
        for method, target in (("GET", "/plain/x"), ("POST", "/once/x"), ("POST", "/stream/x")):
            status, _, headers = fleet.gateway.call(method, target)
            assert status == 503 and float(headers["Retry-After"]) > 0, (status, headers)
        assert time.monotonic() - begin < 0.5, "refusals are held back"
    with_fleet(test)


def pause(connection, request):
    Talker.answer(connection, request, f"X-Not-Executed: 1\r\nRetry-After: {PAUSE_S}\r\n", status=503)


def an_endpoint_that_wants_no_requests_for_a_while_gets_none():
    def test(fleet):
        paused = fleet.endpoints[0]
        fleet.call_for(0.3)
        paused.speak = pause
        failed = fleet.call_for(0.5)
        paused.speak = None
        failed += fleet.call_for(PAUSE_S + 1)
        begin = paused.stated_at
        late = paused.arrivals_between(begin + PAUSE_GRACE_S, begin + PAUSE_S)
        assert late <= MAX_IN_PAUSE, f"{late} requests reached the endpoint in its pause"
        assert paused.arrivals_between(begin + PAUSE_S, time.monotonic()), "it isn't used after its pause"
        # Requests that it had received before it was known, and that may not be repeated.
        assert len(failed) <= CALLERS, f"not served: {failed}"
    with_fleet(test)


def the_refusal_says_when_an_endpoint_wants_requests_again():
    def test(fleet):
        fleet.endpoints[0].speak = pause
        fleet.call_for(0.3)
        stated_at = fleet.endpoints[0].stated_at
        status, _, headers = fleet.gateway.call("GET", "/plain/x")
        left = stated_at + PAUSE_S - time.monotonic()
        assert status == 503 and abs(float(headers["Retry-After"]) - left) < 0.3, (status, headers, left)
        fleet.endpoints[0].speak = None
        time.sleep(float(headers["Retry-After"]))
        assert fleet.gateway.call("GET", "/plain/x")[0] == 200
    with_fleet(test, endpoints=1)


if __name__ == "__main__":
    sys.exit(run_tests(("Talker", "Fleet", "with_fleet", "check_leaving", "pause"), sys.argv[2:]))
