#!/usr/bin/env python3
"""Tests of gateway processes whose lists hold an odd entry of another writer among those of endpoints and gateways."""
import itertools
import json
import sys
import time

from gatewayfleet import Endpoint, Gateway, Store, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
PLAIN = route("plain", "desk", max_attempts=2)
DEPTH = 200000


def entry(**changes):
    return json.dumps({"service": "desk", "addr": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 4, "state": "ready",
                       "cold_left_ms": 0, "sequence": 1, "born": 1, **changes})


def with_number(name, digits):
    return entry(**{name: "DIGITS"}).replace('"DIGITS"', digits)


def nested(name, depth=DEPTH):
    return entry(**{name: "NESTED"}).replace('"NESTED"', "[" * depth + "]" * depth)


ODD_ENTRIES = {
    "nested root": "[" * DEPTH, "nested objects": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    **{f"nested {name}": nested(name) for name in ("service", "slots", "addr", "born", "more")},
    **{f"number {name} {digits[:24]}": with_number(name, digits)
       for name in ("slots", "born", "sequence", "cold_left_ms")
       for digits in ("1e400", "1e300", "-1e300", "9" * 400, str(2**63), str(2**64), str(2**31), str(2**32 + 1), "0", "-1", "1.5",
                      "4294967297.0", "9223372036854775807", "-9223372036854775808", "NaN", "Infinity")},
    **{f"address {address[:24]}": entry(addr=address)
       for address in ("127.0.0.1:65536", "127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "127.0.0.1:",
                       ":80", "", "localhost:80", "::1:80", "[::1]:80", "255.255.255.255:80", "0.0.0.0:80", "224.0.0.1:80",
                       "127.0.0.1:0x50", "127.0.0.1:80:80", "1" * 4000 + ":80")},
    "empty": "", "null": "null", "not JSON": "{", "control characters": entry(zone="\n\x00\x1b event=stopped"),
    "long texts": entry(zone="z" * 200000, version="v" * 200000),
    "no service": entry(service=None), "unknown state": entry(state="asleep"), "unknown service": entry(service="kitchen"),
}


class Fleet:
    """Two gateways and two endpoints; a third one joins after an odd entry was written."""

    def __init__(self):
        self.store, self.numbers = Store(), itertools.count()
        self.store.put("op/config", configuration(1, [PLAIN]))
        self.endpoints = [self.add(f"e-{i}") for i in range(2)]
        self.gateways = [Gateway(BUILD, self.store, f"g{i}") for i in range(2)]
        for gateway in self.gateways:
            eventually(gateway.is_ready, "readiness")
        time.sleep(0.7)

    def add(self, name):
        endpoint = Endpoint(lambda connection, request: connection.sendall(sealed_response(request)))
        self.store.put(f"servers/{name}", endpoint.registration("desk"))
        return endpoint

    def check(self, what):
        """Checks that the gateways live, serve, and follow the list."""
        name = f"joined-{next(self.numbers)}"
        joined = self.add(name)
        for gateway in self.gateways:
            assert gateway.process.poll() is None, f"{gateway.process.returncode} after {what}"
            eventually(lambda gateway=gateway: gateway.call("GET", "/plain/x")[0] == 200 and joined.requests, f"requests after {what}")
            joined.requests.clear()
        self.store.remove(f"servers/{name}")
        joined.server.close()

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for endpoint in self.endpoints:
            endpoint.server.close()
        self.store.server.close()


# A machine that read such an entry ended, or stopped following the list.
def an_odd_entry_names_no_endpoint_and_the_others_hold():
    fleet = Fleet()
    try:
        for what, text in ODD_ENTRIES.items():
            fleet.store.put("servers/odd", text)
            fleet.check(what)
        for key in ("servers/", "servers/" + "k" * 190, "servers/a b\n", "servers/\u20ac"):
            fleet.store.put(key, entry())
            fleet.check(repr(key))
    finally:
        fleet.close()


# The rest of the list was left out, so that a gateway that started then didn't know the others.
def an_odd_entry_among_those_of_gateways_hides_no_gateway():
    fleet = Fleet()
    try:
        for i, text in enumerate(("127.0.0.1:70000", "", "[" * DEPTH, "localhost:80")):
            fleet.store.put(f"cyclamenturn/gateways/a-{i}", text)
        fleet.gateways.append(Gateway(BUILD, fleet.store, "g2"))
        eventually(fleet.gateways[2].is_ready, "readiness")
        eventually(lambda: fleet.gateways[2].metric("cyclamenturn_live_peers") == 2, "the other gateways")
        assert len(fleet.gateways[2].log_lines("gateway_entry_unreadable")) == 4
    finally:
        fleet.close()


# The count was cut to 32 bits, and an address that nobody listens at was used as an endpoint.
def a_count_of_slots_that_is_too_large_names_no_endpoint():
    fleet = Fleet()
    try:
        for i, digits in enumerate((str(2**32 + 1), str(2**31), "9223372036854775807", "4294967297.0")):
            fleet.store.put(f"servers/odd-{i}", with_number("slots", digits))
            for gateway in fleet.gateways:
                eventually(lambda gateway=gateway, digits=digits: [
                    line for line in gateway.log_lines("endpoint_unreadable") if "slots" in line and digits[:10] in line], digits)
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(run_tests(("Fleet", "entry", "with_number", "nested"), sys.argv[2:]))
