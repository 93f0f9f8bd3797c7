#!/usr/bin/env python3
"""Tests of the gateway process with requests that crash the endpoints on which they run, beside other faults."""
import sys
import time

from gatewayfleet import Endpoint, Gateway, Store, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
DESKS = 5
ROUTES = [route("once", "desk", "non_idempotent", max_attempts=1), route("slow", "desk", timeout_ms=400, max_attempts=1)]


def crash_or_stay_silent(connection, request):
    """Closes the connection of a crashing request, and never responds to a slow one."""
    if "/slow/" in request.target:
        connection.recv(1)  # returns when the gateway gives the request up
        return False
    if "/boom" in request.target:
        return False
    connection.sendall(sealed_response(request))
    return True


def crash_counts_at_an_endpoint_where_a_slow_request_was_given_up():
    store, desks = Store(), [Endpoint(crash_or_stay_silent) for _ in range(DESKS)]
    for i, desk in enumerate(desks):
        store.put(f"servers/desk-{i}", desk.registration("desk"))
    store.put("op/config", configuration(3, ROUTES))
    gateway = Gateway(BUILD, store)
    try:
        eventually(gateway.is_ready, "readiness")
        sent = 0
        while not all(desk.requests for desk in desks):
            assert gateway.call("GET", f"/slow/{sent}")[0] == 504
            sent += 1
        time.sleep(0.6)  # by now the silence counts as a crash
        statuses = [gateway.call("POST", "/once/boom", b"the same")[0] for _ in range(5)]
        assert statuses == [502, 502, 502, 503, 503], statuses
    finally:
        gateway.stop()
        for server in [store.server] + [desk.server for desk in desks]:
            server.close()


if __name__ == "__main__":
    sys.exit(run_tests(("crash_or_stay_silent",), sys.argv[2:]))
