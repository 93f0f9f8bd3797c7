#!/usr/bin/env python3
"""Tests of gateway processes before endpoints that name a limit in their responses."""
import sys
import time

from gatewayfleet import Endpoint, Gateway, Store, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
ROUTES = [route("plain", "desk", slo_ms=200)]


class Fleet:
    """`count` gateways and one endpoint of the service desk for each item of `limits`; None is no limit."""

    def __init__(self, limits, count=1):
        self.store, self.limits = Store(), list(limits)
        self.endpoints = [Endpoint(lambda connection, request, i=i: self.answer(connection, request, i))
                          for i in range(len(limits))]
        for i, endpoint in enumerate(self.endpoints):
            self.store.put(f"servers/desk-{i}", endpoint.registration("desk"))
        self.store.put("op/config", configuration(3, ROUTES))
        self.gateways = [Gateway(BUILD, self.store, name=f"g{i}") for i in range(count)]

    def answer(self, connection, request, i):
        extra = "" if self.limits[i] is None else f"Server-Limit: {self.limits[i]}\r\n"
        connection.sendall(sealed_response(request, extra=extra))

    def __enter__(self):
        for gateway in self.gateways:
            eventually(gateway.is_ready, "readiness")
        time.sleep(1.5)  # a gateway that has just started gives no permits
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            gateway.stop()
        for server in [self.store.server] + [endpoint.server for endpoint in self.endpoints]:
            server.close()

    def call_for(self, seconds, pause_s=0.02):
        """Calls the gateways in turn; returns (status, headers) of each response."""
        out, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            status, _, headers = self.gateways[len(out) % len(self.gateways)].call("GET", "/plain/x")
            out.append((status, headers))
            time.sleep(pause_s)
        return out


def requests_beyond_a_limit_get_503_with_a_retry_after_that_is_true():
    with Fleet([2]) as fleet:
        fleet.call_for(1)
        before = len(fleet.endpoints[0].requests)
        responses = fleet.call_for(4)
        sent = len(fleet.endpoints[0].requests) - before
        assert 6 <= sent <= 10, sent
        refused = [headers for status, headers in responses if status == 503]
        assert refused and len(responses) - len(refused) == sent
        wait = float(refused[-1]["Retry-After"])
        assert wait <= 1.5, f"told to come back after {wait} s, though nobody else is waiting"
        time.sleep(wait)
        assert fleet.gateways[0].call("GET", "/plain/x")[0] == 200, f"not served after {wait} s"


def gateways_keep_one_limit_together():
    with Fleet([5], count=4) as fleet:
        fleet.call_for(1)
        before = len(fleet.endpoints[0].requests)
        fleet.call_for(4, pause_s=0)
        sent = len(fleet.endpoints[0].requests) - before
        assert 14 <= sent <= 25, sent


def requests_beyond_a_limit_go_to_another_endpoint_at_once():
    with Fleet([1, None]) as fleet:
        responses = fleet.call_for(3)
        assert all(status == 200 for status, _ in responses), [status for status, _ in responses]
        assert len(fleet.endpoints[0].requests) <= 8, len(fleet.endpoints[0].requests)


def limit_that_is_no_longer_named_has_ended():
    with Fleet([1], count=2) as fleet:
        fleet.call_for(2)
        fleet.limits[0] = None
        eventually(lambda: fleet.call_for(0.1, pause_s=0)[-1][0] == 200 and
                   all(status == 200 for status, _ in fleet.call_for(0.5)), "service without a limit")


def unreadable_limit_is_logged_and_ignored():
    for text in ("-3", "many", "1e999", "nan", ""):
        with Fleet([text]) as fleet:
            assert all(status == 200 for status, _ in fleet.call_for(0.3)), text
            eventually(lambda: fleet.gateways[0].log_lines("endpoint_limit_unreadable"), f"log line for {text!r}")


def limit_is_kept_while_its_owner_restarts_and_the_others_take_over():
    with Fleet([10], count=3) as fleet:
        fleet.call_for(1)
        for gateway in fleet.gateways:
            gateway.process.kill()
            gateway.process.wait()
            others = [item for item in fleet.gateways if item is not gateway]
            before, end, i = len(fleet.endpoints[0].requests), time.monotonic() + 4, 0
            while time.monotonic() < end:
                others[i % 2].call("GET", "/plain/x")
                i += 1
            sent = len(fleet.endpoints[0].requests) - before
            assert 24 <= sent <= 65, sent
            gateway.start()
            eventually(gateway.is_ready, "readiness")


if __name__ == "__main__":
    sys.exit(run_tests(("Fleet",), sys.argv[2:]))
