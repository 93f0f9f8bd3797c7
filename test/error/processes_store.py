#!/usr/bin/env python3
"""Tests of gateway processes whose copy of the configuration may be outdated, because of what the store does."""
import signal
import socket
import sys
import time

from gatewayfleet import Endpoint, Gateway, Store, configuration, eventually, route, run_tests, sealed_response

BUILD = sys.argv[1]
# From the platform's bounds: a gateway applies a configuration this long after the store has acknowledged it ...
APPLY_S = 2.0
# ... unless a disturbance ended less than this time ago.
STABLE_S = 3.0
# An endpoint gets no more requests this long after it has begun to drain.
DRAIN_S = 2.0
OLD = [route("plain", "desk")]
NEW = OLD + [route("added", "desk")]
# How long a slow store takes for each answer; far more than its usual few milliseconds.
LATE_S = 1.2
# Writes that the copy of the store lacks, besides that of the configuration.
LOST_WRITES = 40


def answer_ok(connection, request):
    connection.sendall(sealed_response(request))


class Fleet:
    """Gateways with one endpoint and a store that holds version 3 with the routes OLD and the key key-1."""

    def __init__(self, gateways=1):
        self.store, self.endpoint = Store(), Endpoint(answer_ok)
        self.store.put("servers/desk-0", self.endpoint.registration("desk"))
        self.store.put("op/config", configuration(3, OLD))
        self.gateways = [Gateway(BUILD, self.store, name=f"g{i}") for i in range(gateways)]

    def __enter__(self):
        for gateway in self.gateways:
            eventually(gateway.is_ready, "readiness")
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            gateway.stop()
        for server in (self.store.server, self.endpoint.server):
            server.close()

    def change(self, version, routes, key):
        self.store.put("op/config", configuration(version, routes, keys=(key,)))

    def heartbeats(self, count):
        for i in range(count):
            self.store.put("servers/desk-0", {**self.endpoint.registration("desk"), "sequence": i})

    def statuses(self, target, key):
        return [gateway.call("GET", target, Authorization=f"Bearer {key}")[0] for gateway in self.gateways]

    def serves(self, target, key):
        return set(self.statuses(target, key)) == {200}

    def expect_in_force(self, served, refused):
        """Expects that requests for `served` are served and those for `refused` aren't, both (target, key)."""
        eventually(lambda: self.serves(*served), f"service of {served}", APPLY_S)
        assert set(self.statuses(*refused)) <= {401, 404}, self.statuses(*refused)


def configuration_written_after_the_store_was_restored_comes_into_force():
    with Fleet(gateways=3) as fleet:
        copy = fleet.store.copy()
        fleet.heartbeats(LOST_WRITES)
        fleet.change(5, OLD, "key-2")
        fleet.expect_in_force(("/plain/x", "key-2"), ("/plain/x", "key-1"))
        fleet.store.restore(copy)
        fleet.change(5, OLD, "key-2")
        fleet.change(9, NEW, "key-3")
        fleet.expect_in_force(("/added/x", "key-3"), ("/plain/x", "key-2"))


def key_that_was_removed_stays_removed_when_the_store_is_restored():
    with Fleet(gateways=3) as fleet:
        copy = fleet.store.copy()
        fleet.heartbeats(LOST_WRITES)
        fleet.change(5, NEW, "key-2")
        fleet.expect_in_force(("/added/x", "key-2"), ("/plain/x", "key-1"))
        fleet.store.restore(copy)
        written_again_at = time.monotonic() + 1.5
        while time.monotonic() < written_again_at:
            assert fleet.serves("/added/x", "key-2")
            assert 200 not in fleet.statuses("/plain/x", "key-1")
        fleet.change(5, NEW, "key-2")
        fleet.change(6, OLD, "key-3")
        fleet.expect_in_force(("/plain/x", "key-3"), ("/plain/x", "key-2"))


def gateway_that_starts_with_the_older_version_of_a_restored_store_waits_for_the_newer_one():
    with Fleet(gateways=3) as fleet:
        copy = fleet.store.copy()
        fleet.heartbeats(LOST_WRITES)
        fleet.change(5, NEW, "key-2")
        fleet.expect_in_force(("/added/x", "key-2"), ("/plain/x", "key-1"))
        fleet.store.restore(copy)
        started = fleet.gateways[0]
        started.process.kill()
        started.process.wait()
        known_peers = len(started.log_lines("peer_found"))
        started.start()
        eventually(lambda: len(started.log_lines("peer_found")) == known_peers + 2, "contact with the other gateways")
        assert fleet.statuses("/plain/x", "key-1")[0] == 503 and not started.is_ready()
        fleet.change(5, NEW, "key-2")
        fleet.expect_in_force(("/added/x", "key-2"), ("/plain/x", "key-1"))
        assert started.is_ready()


def older_version_that_stays_in_a_restored_store_comes_into_force():
    with Fleet() as fleet:
        copy = fleet.store.copy()
        fleet.heartbeats(LOST_WRITES)
        fleet.change(5, NEW, "key-2")
        fleet.expect_in_force(("/added/x", "key-2"), ("/plain/x", "key-1"))
        fleet.store.restore(copy)
        eventually(lambda: fleet.serves("/plain/x", "key-1"), "the store's version", 15)


def silent_store_connections_delay_no_configuration():
    with Fleet(gateways=4) as fleet:
        for gateway in fleet.gateways:
            eventually(lambda gateway=gateway: len(gateway.log_lines("peer_found")) == 3, "contact between gateways")
        fleet.change(5, OLD, "key-2")
        fleet.expect_in_force(("/plain/x", "key-2"), ("/plain/x", "key-1"))
        fleet.store.silence_open_connections()
        silent_since = time.monotonic()
        time.sleep(0.1)
        fleet.change(9, NEW, "key-3")
        time.sleep(STABLE_S - (time.monotonic() - silent_since))
        statuses = fleet.statuses("/added/x", "key-3")
        assert not {401, 404} & set(statuses), statuses
        assert 200 not in fleet.statuses("/plain/x", "key-2")
        eventually(lambda: fleet.serves("/added/x", "key-3"), "the new configuration", APPLY_S)


def store_that_answers_late_does_not_keep_a_configuration_from_a_gateway():
    with Fleet() as fleet:
        respond = fleet.store.respond

        def respond_late(request):
            time.sleep(LATE_S)
            return respond(request)
        fleet.store.respond = respond_late
        fleet.change(5, NEW, "key-2")
        eventually(lambda: fleet.serves("/added/x", "key-2"), "the configuration of a slow store", 10)
        assert 200 not in fleet.statuses("/plain/x", "key-1")
        fleet.gateways[0].stop()
        fleet.gateways[0] = Gateway(BUILD, fleet.store)
        eventually(fleet.gateways[0].is_ready, "readiness with a slow store")


def unknown_key_and_route_are_refused_with_503_while_the_configuration_may_be_outdated():
    with Fleet() as fleet:
        assert fleet.statuses("/plain/x", "key-2") == [401] and fleet.statuses("/added/x", "key-1") == [404]
        fleet.store.is_down = True
        fleet.store.server.close_connections()
        time.sleep(STABLE_S)
        assert fleet.statuses("/plain/x", "key-2") == [503] and fleet.statuses("/added/x", "key-1") == [503]
        assert fleet.serves("/plain/x", "key-1")
        fleet.store.is_down = False
        eventually(lambda: fleet.statuses("/plain/x", "key-2") == [401], "the confirmed configuration", APPLY_S)


def large_request_is_rejected_with_503_while_its_limit_is_unknown():
    def status(gateway, body_bytes):
        """Sends the head of a request only, since the gateway answers without reading a body that is too large."""
        with socket.create_connection(("127.0.0.1", gateway.callers_port)) as caller:
            caller.sendall(b"POST /plain/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n"
                           b"Content-Length: %d\r\n\r\n" % body_bytes)
            return int(caller.recv(4096).split()[1])

    with Fleet() as fleet:
        assert status(fleet.gateways[0], 70000) == 413
        fleet.store.is_down = True
        fleet.store.server.close_connections()
        time.sleep(STABLE_S)
        assert status(fleet.gateways[0], 70000) == 503
        fleet.gateways[0].stop()
        fleet.gateways[0] = Gateway(BUILD, fleet.store)
        eventually(lambda: fleet.gateways[0].log_lines("started"), "the start of the gateway")
        assert status(fleet.gateways[0], 5000000) == 503


def configuration_that_cannot_be_decoded_counts_as_outdated():
    with Fleet() as fleet:
        fleet.store.put("op/config", {"version": 5, "routes": "none"})
        eventually(lambda: fleet.gateways[0].log_lines("configuration_unreadable"), "the unreadable configuration")
        assert fleet.statuses("/plain/x", "key-2") == [503] and fleet.serves("/plain/x", "key-1")
        fleet.change(6, NEW, "key-2")
        fleet.expect_in_force(("/added/x", "key-2"), ("/plain/x", "key-1"))


def endpoints_follow_a_restored_store():
    with Fleet(gateways=2) as fleet:
        copy = fleet.store.copy()
        fleet.heartbeats(LOST_WRITES)
        second = Endpoint(answer_ok)
        fleet.store.put("servers/desk-1", second.registration("desk"))
        for gateway in fleet.gateways:
            eventually(lambda gateway=gateway: len(gateway.log_lines("endpoint_added")) == 2, "the second endpoint")
        fleet.store.restore(copy)
        # An endpoint whose registration was lost serves on until it has written it again.
        time.sleep(0.5)
        assert fleet.serves("/plain/x", "key-1") and not fleet.gateways[0].log_lines("endpoint_gone")
        fleet.store.put("servers/desk-1", second.registration("desk"))
        fleet.store.put("servers/desk-0", fleet.endpoint.registration("desk", "draining"))
        time.sleep(DRAIN_S)
        served = len(fleet.endpoint.requests)
        for _ in range(8):
            assert fleet.serves("/plain/x", "key-1")
        assert len(fleet.endpoint.requests) == served, "an endpoint got requests after it began to drain"
        second.server.close()


def gateway_registers_again_when_the_store_is_restored():
    with Fleet(gateways=2) as fleet:
        without_gateways = {key: item for key, item in fleet.store.items.items() if key.startswith(("op/", "servers/"))}
        fleet.store.restore((without_gateways, fleet.store.revision - 1, ()))
        eventually(lambda: sum(key.startswith("cyclamenturn/") for key in fleet.store.items) == 2, "registrations", 5)


def reload_with_another_store_takes_its_configuration_and_endpoints():
    with Fleet() as fleet:
        fleet.heartbeats(LOST_WRITES)
        fleet.change(5, OLD, "key-2")
        fleet.expect_in_force(("/plain/x", "key-2"), ("/plain/x", "key-1"))
        other = Store()
        fleet.endpoint = Endpoint(answer_ok)
        other.put("servers/desk-7", fleet.endpoint.registration("desk"))
        other.put("op/config", configuration(9, NEW, keys=("key-3",)))
        gateway, = fleet.gateways
        with open(gateway.settings_file, encoding="utf-8") as settings:
            text = settings.read().replace(str(fleet.store.server.port), str(other.server.port))
        with open(gateway.settings_file, "w", encoding="utf-8") as settings:
            settings.write(text)
        gateway.process.send_signal(signal.SIGHUP)
        fleet.expect_in_force(("/added/x", "key-3"), ("/plain/x", "key-2"))
        eventually(lambda: fleet.serves("/added/x", "key-3") and fleet.endpoint.requests,
                   "a request at the other store's endpoint")
        eventually(lambda: "cyclamenturn/gateways/g0" in other.items, "the registration")
        other.server.close()


if __name__ == "__main__":
    sys.exit(run_tests(("answer_ok", "Fleet"), sys.argv[2:]))
