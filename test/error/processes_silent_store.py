#!/usr/bin/env python3
"""Tests of gateway processes whose store accepts calls for a while and never answers them."""
import sys
import threading
import time

from gatewayfleet import Endpoint, Gateway, Store, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
GATEWAYS, ROUNDS = 4, 2
# Long enough for the time-outs of reads to have grown, and ending just after reads have begun.
SILENCE_S = 10.95
# A store counts as stable this long after its return, and changes must be in force from then on.
STABLE_S = 3.0


class SilentStore(Store):
    """While `is_silent` is set, calls are accepted and never answered, also not later."""

    is_silent = False

    def respond(self, request):
        if self.is_silent:
            threading.Event().wait()
        return super().respond(request)


def configuration_is_in_force_soon_after_a_silent_store_returned():
    store, desk = SilentStore(), Endpoint(lambda connection, request: connection.sendall(sealed_response(request)))
    store.put("servers/desk-0", desk.registration("desk"))
    store.put("op/config", configuration(1, [route("plain", "desk")], keys=("key-1",)))
    gateways = [Gateway(BUILD, store, name=f"g{i}") for i in range(GATEWAYS)]
    try:
        for gateway in gateways:
            eventually(gateway.is_ready, "readiness")
        for number in range(2, 2 + ROUNDS):
            store.is_silent = True
            time.sleep(SILENCE_S)
            store.is_silent = False
            returned_at = time.monotonic()
            key = f"key-{number}"
            store.put("op/config", configuration(number, [route("plain", "desk")], keys=("key-1", key)))
            for gateway in gateways:
                eventually(lambda: gateway.call("GET", "/plain/x", Authorization=f"Bearer {key}")[0] == 200, key)
            took_s = time.monotonic() - returned_at
            assert took_s <= STABLE_S, f"version {number} was in force {took_s:.2f} s after the store's return"
    finally:
        for gateway in gateways:
            gateway.stop()
        for server in (store.server, desk.server):
            server.close()


if __name__ == "__main__":
    sys.exit(run_tests(("SilentStore",), sys.argv[2:]))
