#!/usr/bin/env python3
"""Tests of gateway processes that take in large configurations with little processor time."""
import sys
import time

from gatewayfleet import Endpoint, Gateway, LittleProcessor, Store, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
# The processor share of the platform's small gateways.
SHARE, PERIOD_S = 0.063, 0.008
# A turn of the event loop must not be longer, since closes of callers wait for its end.
LONGEST_TURN_S = 0.05
# A version must be in force this long after it was written.
APPLY_S = 3.0
ROUTES_MORE, VERSIONS = 1400, 3


def document(version, routes):
    more = [route(f"r{i}", "desk", host=f"h{i % 40}.example", prefix=f"/p{i}/") for i in range(routes)]
    return configuration(version, [route("plain", "desk", max_attempts=1)] + more)


def with_gateway(test):
    store, desk = Store(), Endpoint(lambda connection, request: connection.sendall(sealed_response(request)))
    store.put("servers/desk-0", desk.registration("desk"))
    store.put("op/config", document(1, 50))
    gateway = Gateway(BUILD, store)
    try:
        eventually(gateway.is_ready, "readiness")
        test(gateway, store)
    finally:
        gateway.stop()
        for server in (store.server, desk.server):
            server.close()


def longest_turn_s(gateway, seconds):
    """The longest turn that the gateway reports within that time; it reports those of each second."""
    end, longest = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        longest = max(longest, gateway.metric("cyclamenturn_loop_longest_turn_seconds"))
        time.sleep(0.3)
    return longest


def no_turn_is_long_while_a_version_with_many_routes_more_is_taken_in():
    def test(gateway, store):
        turns = []
        slow = LittleProcessor(gateway.process, SHARE, PERIOD_S)
        for version in range(2, 2 + VERSIONS):
            store.put("op/config", document(version, ROUTES_MORE * (version - 1)))
            turns.append(longest_turn_s(gateway, APPLY_S))
            assert int(gateway.metric("cyclamenturn_configuration_version")) == version, f"version {version} isn't in force"
        slow.end()
        # A stall of the test process lengthens the turn in which it falls, so one of the versions has to do.
        assert min(turns) <= LONGEST_TURN_S, f"longest turns {[round(turn, 3) for turn in turns]} s"
    with_gateway(test)


if __name__ == "__main__":
    sys.exit(run_tests(("document", "with_gateway", "longest_turn_s"), sys.argv[2:]))
