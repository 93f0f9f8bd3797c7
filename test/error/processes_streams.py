#!/usr/bin/env python3
"""Tests of streams that are taken up again while endpoints of several software versions serve."""
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from crashload import RelayedStore  # noqa: E402
from datagramrelay import DatagramRelay  # noqa: E402
from gatewayfleet import Endpoint, Gateway, Server, chunk, configuration, eventually, route, run_tests, stream_head  # noqa: E402

BUILD = sys.argv[1]
EVENTS = 4
ROUTES = [route("draft", "model", "streaming", can_resume=True, max_attempts=2, slo_ms=300, gap_target_ms=300),
          route("other", "model", "streaming", can_resume=True, max_attempts=2, slo_ms=300, gap_target_ms=300)]
KEYS = ("key-1", "key-2")


class Engine(Endpoint):
    """Writes events that tell its version; breaks off after as many events as `breaks_after` says."""

    def __init__(self, store, name, version):
        self.store, self.name, self.version, self.breaks_after, self.is_leaving = store, name, version, None, False
        self.is_mute = False
        super().__init__(self.respond)
        self.register()

    def serve(self, connection, stream):
        while self.is_mute and stream.readline():
            pass
        super().serve(connection, stream)

    def register(self, state="ready"):
        self.store.put(f"servers/{self.name}", {**self.registration(state=state), "version": self.version})

    def replace_in_place(self, version):
        """Restarts the endpoint with another version under its id and address; its entry stays as it is."""
        port = self.server.port
        self.server.close()
        self.server.close_connections()
        self.version, self.born = version, self.born + 1
        self.server = Server(self.serve, port)

    def respond(self, connection, request):
        first = int(request.headers.get("last-event-id") or 0) + 1
        head = stream_head(request)
        connection.sendall(head.replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n") if self.is_leaving else head)
        for event in range(first, EVENTS + 1):
            if self.breaks_after is not None and event > self.breaks_after:
                return False
            connection.sendall(chunk(f"id: {event}\ndata: {self.version}\n\n"))
            time.sleep(0.01)
        connection.sendall(b"0\r\n\r\n")
        return True


class Fleet:
    def __init__(self, versions, gateways=1):
        self.relay = DatagramRelay(random.random)
        self.store = RelayedStore(self.relay)
        self.store.put("op/config", configuration(1, ROUTES, KEYS))
        self.engines = [Engine(self.store, f"i-{i}", version) for i, version in enumerate(versions)]
        self.gateways = [Gateway(BUILD, self.store, f"g{i}") for i in range(gateways)]
        for gateway in self.gateways:
            eventually(gateway.is_ready, "readiness")
        time.sleep(2.0 if gateways > 1 else 0.7)

    def open(self, gateway=0, target="/draft/x", **headers):
        """Returns (status, versions of the events, whether the stream is whole, headers, attempt id, text)."""
        attempt = os.urandom(8).hex()
        status, body, fields = self.gateways[gateway].call("POST", target, json.dumps({"n": attempt}),
                                                           X_Attempt_Id=attempt, **headers)
        versions = [line[6:] for line in (body or b"").decode().splitlines() if line.startswith("data: ")]
        return status, versions, body is not None, fields, attempt, body

    def begin_broken(self, gateway=0):
        """Begins a stream that is broken off after its first event; returns (attempt id, version)."""
        connection_breaks(self.engines, 1)
        port = self.gateways[gateway].callers_port
        attempt, version = begin_and_leave(port)
        connection_breaks(self.engines, None)
        return attempt, version

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for engine in self.engines:
            engine.server.close()
        self.store.server.close()
        self.relay.close()


def connection_breaks(engines, after):
    for engine in engines:
        engine.breaks_after = after


def begin_and_leave(port):
    """Begins a stream and leaves after its first event."""
    import http.client
    attempt = os.urandom(8).hex()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request("POST", "/draft/x", attempt, {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000",
                                                     "Authorization": "Bearer key-1"})
    response = connection.getresponse()
    line = ""
    while not line.startswith("data: "):
        line = response.readline().decode()
    connection.close()
    return attempt, line[6:].strip()


def with_fleet(test, versions=("v1", "v1", "v1.1", "v1.1"), gateways=1):
    fleet = Fleet(versions, gateways)
    try:
        test(fleet)
    finally:
        fleet.close()


def a_stream_that_an_endpoint_breaks_off_goes_on_at_its_version():
    def test(fleet):
        for _ in range(20):
            connection_breaks(fleet.engines[::2], 2)
            status, versions, _, _, _, _ = fleet.open()
            assert status == 200 and len(set(versions)) == 1, versions
    with_fleet(test)


def a_stream_that_is_taken_up_at_any_gateway_goes_on_at_its_version():
    def test(fleet):
        for i in range(30):
            attempt, version = fleet.begin_broken(gateway=i % 3)
            status, versions, is_whole, _, _, _ = fleet.open((i + 1) % 3, Last_Event_Id="1", Resumes=attempt)
            assert status == 200 and is_whole and set(versions) == {version}, (status, versions, version)
    with_fleet(test, gateways=3)


def a_stream_goes_on_at_its_version_after_its_gateway_was_killed():
    def test(fleet):
        begun = [fleet.begin_broken(gateway=0) for _ in range(20)]
        fleet.gateways[0].process.kill()
        for attempt, version in begun:
            status, versions, is_whole, _, _, _ = fleet.open(1, Last_Event_Id="1", Resumes=attempt)
            assert status == 200 and is_whole and set(versions) == {version}, (status, versions, version)
    with_fleet(test, gateways=4)


def check_taken_up(fleet, gateway, begun):
    for attempt, version in begun:
        status, versions, is_whole, _, _, body = fleet.open(gateway, Last_Event_Id="1", Resumes=attempt)
        assert status == 200 and is_whole and set(versions) == {version}, (status, versions, version, body)


def stop(gateway):
    gateway.process.terminate()
    assert gateway.process.wait(timeout=10) == 0


# A gateway that had restarted knew no origins, so a planned stop of one after the other lost all streams.
def streams_go_on_after_their_gateways_were_stopped_and_started_in_turn():
    def test(fleet):
        begun = [fleet.begin_broken(gateway=i % 2) for i in range(20)]
        for gateway in (1, 0):
            stop(fleet.gateways[gateway])
            fleet.gateways[gateway].start()
            eventually(fleet.gateways[gateway].is_ready, "readiness")
            time.sleep(1.0)
        check_taken_up(fleet, 0, begun)
        check_taken_up(fleet, 1, begun)
    with_fleet(test, gateways=2)


# The last gateway that knew an origin took it along as it stopped for good.
def streams_go_on_after_all_gateways_that_kept_them_were_stopped_for_good():
    def test(fleet):
        begun = [fleet.begin_broken(gateway=i % 3) for i in range(20)]
        for gateway in (0, 1, 2):
            stop(fleet.gateways[gateway])
        check_taken_up(fleet, 3, begun)
    with_fleet(test, gateways=4)


def a_stream_whose_version_is_gone_is_refused_at_once():
    def test(fleet):
        attempt, version = fleet.begin_broken()
        for engine in fleet.engines:
            if engine.version == version:
                engine.register(state="draining")
        time.sleep(0.6)
        begin = time.monotonic()
        status, _, _, fields, _, body = fleet.open(Last_Event_Id="1", Resumes=attempt)
        assert status == 503 and body == b"stream_version_gone\n" and "Retry-After" not in fields, (status, body, fields)
        assert time.monotonic() - begin < 0.3, "the refusal is held back"
        status, versions, _, _, _, _ = fleet.open()
        assert status == 200 and version not in versions, "a new stream begins at the other version"
    with_fleet(test)


def a_stream_of_another_caller_or_route_or_without_its_attempt_is_refused():
    def test(fleet):
        attempt, version = fleet.begin_broken()
        resumption = {"Last_Event_Id": "1", "Resumes": attempt}
        for headers in ({**resumption, "Authorization": "Bearer key-2"}, {**resumption, "target": "/other/x"},
                        {"Last_Event_Id": "1"}, {"Last_Event_Id": "1", "Resumes": "f" * 16},
                        {"Last_Event_Id": "1", "Resumes": "a b;" * 700}, {"Resumes": "unknown"}):
            status, _, _, fields, _, body = fleet.open(**headers)
            assert (status, body, "Retry-After" in fields) == (503, b"stream_unknown\n", False), (str(headers)[:99], status, body)
        status, versions, _, _, _, _ = fleet.open(**resumption)
        assert status == 200 and set(versions) == {version}, "the attempts of others steer the stream"
    with_fleet(test)


def a_stream_without_its_attempt_goes_on_if_the_service_had_one_version_alone():
    def test(fleet):
        # As long as a stream may last, and the list may lag.
        time.sleep(ROUTES[0]["timeout_ms"] / 1000 + 3.0)
        status, versions, is_whole, _, _, _ = fleet.open(Last_Event_Id="1")
        assert status == 200 and is_whole and versions == ["v1"] * (EVENTS - 1), (status, versions)
        restarted = fleet.gateways[0]
        restarted.process.kill()
        restarted.process.wait()
        restarted.start()
        eventually(restarted.is_ready, "readiness")
        status, versions, is_whole, _, _, _ = fleet.open(Last_Event_Id="1")
        assert status == 200 and is_whole and versions == ["v1"] * (EVENTS - 1), (status, versions)
        Engine(fleet.store, "i-9", "v1.1")
        time.sleep(0.6)
        assert fleet.open(1, Last_Event_Id="1")[0] == 503
    with_fleet(test, versions=("v1", "v1"), gateways=3)


# The list shows the former version until the endpoint has written its entry and the gateway has read it.
def a_stream_does_not_go_on_at_an_endpoint_that_was_replaced_in_place():
    def test(fleet):
        begun = [fleet.begin_broken() for _ in range(20)]
        fleet.engines[0].replace_in_place("v2")
        check_taken_up(fleet, 0, begun)
        fleet.engines[1].replace_in_place("v2")
        status, versions, _, _, _, body = fleet.open(Last_Event_Id="1", Resumes=begun[0][0])
        assert status == 503, (status, versions, body)
    with_fleet(test, versions=("v1", "v1"))


def versions_of(results):
    return [versions for _, versions, *_ in results]


# The list shows the former version, and the stream went on there as it broke off.
def streams_that_begin_at_an_endpoint_that_was_replaced_in_place_hold_events_of_one_version():
    def test(fleet):
        fleet.engines[0].replace_in_place("v2")
        connection_breaks(fleet.engines[:1], 2)
        results = [fleet.open() for _ in range(40)]
        mixed = [versions for versions in versions_of(results) if len(set(versions)) > 1]
        whole = sum(status == 200 and is_whole for status, _, is_whole, *_ in results)
        assert not mixed, (len(mixed), mixed[0])
        assert whole >= 38, f"{whole} of {len(results)} streams are whole"
    with_fleet(test, versions=("v1",) * 4)


def begin_unlisted(fleet, gateway=0):
    """Replaces the only endpoint in place, lets a stream begin there, and adds one of the former version; returns the
    attempt of the stream."""
    fleet.engines[0].replace_in_place("v2")
    attempt, version = fleet.begin_broken(gateway)
    assert version == "v2", version
    fleet.engines.append(Engine(fleet.store, "i-9", "v1"))
    time.sleep(0.6)
    return attempt


# Its origin was noted as the version that the list showed.
def a_stream_that_began_at_a_replaced_endpoint_goes_on_at_its_version_alone_when_it_is_taken_up():
    def test(fleet):
        attempt = begin_unlisted(fleet)
        for gateway in (0, 1, 2):
            status, versions, _, _, _, _ = fleet.open(gateway, Last_Event_Id="1", Resumes=attempt)
            assert set(versions) <= {"v2"}, (gateway, status, versions)
        fleet.engines[0].register()
        time.sleep(0.6)
        check_taken_up(fleet, 1, [(attempt, "v2")])
        check_taken_up(fleet, 0, [(attempt, "v2")])
    with_fleet(test, versions=("v1",), gateways=3)


# The endpoint ends before it has written its entry, so no list shows the version ever.
def a_stream_that_began_at_an_endpoint_that_was_never_listed_does_not_go_on_at_the_former_version():
    def test(fleet):
        # As long as a stream may last, and the list may lag.
        time.sleep(ROUTES[0]["timeout_ms"] / 1000 + 3.0)
        attempt = begin_unlisted(fleet)
        fleet.engines[0].replace_in_place("v1")
        for gateway in (0, 1, 2):
            for headers in ({"Last_Event_Id": "1", "Resumes": attempt}, {"Last_Event_Id": "1"}):
                status, versions, _, _, _, body = fleet.open(gateway, **headers)
                assert status == 503, (gateway, headers, status, versions, body)
        status, versions, is_whole, _, _, _ = fleet.open(1)
        assert status == 200 and is_whole, (status, versions)
    with_fleet(test, versions=("v1",), gateways=3)


# An entry of the former incarnation reaches the store after that of the next one.
def a_stream_that_begins_while_the_list_shows_a_former_entry_goes_on_at_its_version():
    def test(fleet):
        replaced = fleet.engines[0]
        former = {**replaced.registration(), "version": "v1"}
        replaced.replace_in_place("v2")
        replaced.register()
        fleet.engines.append(Engine(fleet.store, "i-8", "v2"))
        time.sleep(0.6)
        fleet.store.put(f"servers/{replaced.name}", former)
        time.sleep(0.6)
        begun = [fleet.begin_broken(gateway=i % 2) for i in range(30)]
        assert {version for _, version in begun} == {"v1", "v2"}, begun
        check_taken_up(fleet, 0, begun)
        check_taken_up(fleet, 1, begun)
    with_fleet(test, versions=("v1", "v1"), gateways=2)


# Nobody noted that it had not answered, so each stream waited for it anew.
def an_endpoint_that_does_not_state_its_incarnation_is_passed_over():
    def test(fleet):
        fleet.engines[0].is_mute = True
        begin = time.monotonic()
        results = [fleet.open()[0] for _ in range(30)]
        assert results == [200] * 30, results
        checks = len(fleet.gateways[0].log_lines("incarnation_not_confirmed"))
        assert checks <= 5, f"{checks} questions in vain in {time.monotonic() - begin:.1f} s"
    with_fleet(test, versions=("v1", "v1"))


# What it said was kept for its former incarnation, and forgotten as the list showed the restart.
def an_endpoint_that_was_replaced_and_says_that_it_leaves_gets_no_requests_when_it_is_listed():
    def test(fleet):
        replaced, = fleet.engines
        replaced.replace_in_place("v1")
        replaced.is_leaving = True
        assert fleet.open()[0] == 200
        fleet.engines.append(Engine(fleet.store, "i-9", "v1"))
        replaced.register()
        time.sleep(0.6)
        before = len(replaced.requests)
        results = [fleet.open()[0] for _ in range(20)]
        assert results == [200] * 20, results
        assert len(replaced.requests) == before, f"{len(replaced.requests) - before} late requests"
    with_fleet(test, versions=("v1",))


# Each stream that was taken up made a call of its own to a store that had just failed.
def a_store_that_fails_at_once_is_not_called_for_each_stream_that_is_taken_up():
    def list_reads(gateway):
        text = gateway.call("GET", "/metrics", port=gateway.metrics_port)[1].decode()
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
                   if line.startswith("cyclamenturn_store_calls") and 'kind="endpoints"' in line)

    def test(fleet):
        # As long as a stream may last, and the list may lag.
        time.sleep(ROUTES[0]["timeout_ms"] / 1000 + 3.0)
        fleet.store.is_down = True
        fleet.store.server.close_connections()
        time.sleep(1.1)
        begin, before, streams = time.monotonic(), list_reads(fleet.gateways[0]), 0
        callers = []
        while time.monotonic() < begin + 1.2:
            callers.append(threading.Thread(target=fleet.open, kwargs={"Last_Event_Id": "1"}, daemon=True))
            callers[-1].start()
            streams += 1
            time.sleep(0.02)
        for caller in callers:
            caller.join()
        # The metric is set once a second.
        time.sleep(1.1)
        # One call each 0.25 s at most, as without streams that are taken up.
        allowed = (time.monotonic() - begin) / 0.25 + 1
        reads = list_reads(fleet.gateways[0]) - before
        assert streams > 40 and reads <= allowed, (streams, reads, allowed)
    with_fleet(test, versions=("v1", "v1"))


def begin_at_new_version_behind_the_back_of(fleet, gateway):
    """Lets endpoints of v2 join while the gateway is cut off and stands still; returns the attempt of a stream that they
    began."""
    # As long as a stream may last, and the list may lag.
    time.sleep(ROUTES[0]["timeout_ms"] / 1000 + 3.0)
    fleet.relay.cut(gateway.metrics_port + 1, True)
    gateway.process.send_signal(signal.SIGSTOP)
    for i in range(2):
        fleet.engines.append(Engine(fleet.store, f"new-{i}", "v2"))
    time.sleep(0.5)
    for _ in range(50):
        attempt, version = fleet.begin_broken(gateway=0)
        if version == "v2":
            return attempt
    raise AssertionError("no stream began at the new version")


# A gateway that was out of step took its list for complete, and went on with streams of a version that it didn't know.
def a_gateway_that_was_out_of_step_while_a_version_joined_does_not_take_its_list_for_complete():
    def take_up(fleet, has_store, has_attempt):
        attempt = begin_at_new_version_behind_the_back_of(fleet, fleet.gateways[1])
        if not has_store:
            fleet.store.is_down = True
            fleet.store.server.close_connections()
        fleet.gateways[1].process.send_signal(signal.SIGCONT)
        status, versions, _, _, _, body = fleet.open(1, Last_Event_Id="1", **({"Resumes": attempt} if has_attempt else {}))
        assert (status, body) == (503, b"stream_unknown\n"), (status, versions, body)
    for has_store, has_attempt in ((False, True), (False, False), (True, True), (True, False)):
        with_fleet(lambda fleet, has_store=has_store, has_attempt=has_attempt: take_up(fleet, has_store, has_attempt),
                   versions=("v1", "v1"), gateways=2)


if __name__ == "__main__":
    sys.exit(run_tests(("Engine", "Fleet", "with_fleet", "connection_breaks", "begin_and_leave", "check_taken_up", "stop",
                        "versions_of", "begin_unlisted", "begin_at_new_version_behind_the_back_of"),
                       sys.argv[2:]))
