#!/usr/bin/env python3
"""Tests of the gateway process against simulated endpoints and a simulated store: request handling and faults."""
import os
import signal
import socket
import subprocess
import sys
import threading
import time

from gatewayfleet import (Endpoint, Gateway, Server, Store, chunk, configuration, eventually, route, run_tests,
                          sealed_response, stream_head)

BUILD = sys.argv[1]
ROUTES = [route("plain", "desk"), route("once", "desk", "non_idempotent", max_attempts=1),
          route("stream", "model", "streaming", sticky=True, can_resume=True, gap_target_ms=200),
          route("fragile", "model", "streaming", sticky=True, max_attempts=1, gap_target_ms=200),
          route("slow", "desk", timeout_ms=400, max_attempts=1), route("open", "desk", public=True)]


def answer_ok(connection, request):
    connection.sendall(sealed_response(request))


class Fleet:
    """A gateway with a store and `copies` endpoints of each of the services desk and model."""

    def __init__(self, desk=answer_ok, model=answer_ok, copies=1, configured=True):
        self.store = Store()
        self.endpoints = []
        for service, script in (("desk", desk), ("model", model)):
            for i in range(copies):
                endpoint = Endpoint(script)
                self.endpoints.append(endpoint)
                self.store.put(f"servers/{service}-{i}", endpoint.registration(service))
        if configured:
            self.store.put("op/config", configuration(3, ROUTES))
        self.gateway = Gateway(BUILD, self.store)

    def __enter__(self):
        if "op/config" in self.store.items:
            eventually(self.gateway.is_ready, "readiness")
        return self

    def __exit__(self, *_):
        self.gateway.stop()
        for server in [self.store.server] + [endpoint.server for endpoint in self.endpoints]:
            server.close()

    def requests(self):
        """The requests that any endpoint has received."""
        return [request for endpoint in self.endpoints for request in endpoint.requests]


def request_reaches_endpoint_with_gateway_fields():
    with Fleet() as fleet:
        status, body, _ = fleet.gateway.call("POST", "/plain/x?q=1", b"data", X_Tenant="forged", X_Hold="9")
        assert (status, body) == (200, b"ok")
        request, = fleet.requests()
        assert (request.method, request.target, request.body) == ("POST", "/plain/x?q=1", b"data")
        assert request.headers["x-tenant"] == "team-1"
        assert request.headers["x-expect-instance"] == "desk-0"
        assert "authorization" not in request.headers and "x-hold" not in request.headers
        assert 0 < int(request.headers["x-deadline-ms"]) <= 1500


def requests_need_a_known_route_and_a_valid_key():
    with Fleet() as fleet:
        assert fleet.gateway.call("GET", "/nowhere/x")[0] == 404
        assert fleet.gateway.call("GET", "/plain/x", Authorization="Bearer other")[0] == 401
        assert fleet.gateway.call("GET", "/open/x", Authorization=None)[0] == 200
        fleet.store.put("op/config", configuration(4, ROUTES[:1], keys=("key-2",)))
        eventually(lambda: fleet.gateway.call("GET", "/plain/x")[0] == 401, "the revocation of key-1")
        assert fleet.gateway.call("GET", "/plain/x", Authorization="Bearer key-2")[0] == 200
        assert fleet.gateway.call("GET", "/open/x", Authorization="Bearer key-2")[0] == 404


def requests_without_configuration_get_503_with_retry_after():
    with Fleet(configured=False) as fleet:
        eventually(lambda: fleet.gateway.log_lines("started"), "the start of the gateway")
        status, _, headers = fleet.gateway.call("GET", "/plain/x")
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert not fleet.gateway.is_ready()
        fleet.store.put("op/config", configuration(3, ROUTES))
        eventually(fleet.gateway.is_ready, "readiness")


def request_during_startup_waits_for_first_configuration():
    with Fleet() as fleet:
        respond = fleet.store.respond

        def respond_after_delay(request):
            time.sleep(0.05)
            return respond(request)
        fleet.store.respond = respond_after_delay
        fleet.gateway.stop()
        fleet.gateway = Gateway(BUILD, fleet.store)
        eventually(lambda: fleet.gateway.log_lines("started"), "the start of the gateway")
        assert fleet.gateway.call("GET", "/plain/x")[0] == 200


def caller_that_leaves_before_the_first_configuration_does_not_end_the_gateway():
    with Fleet(configured=False) as fleet:
        fleet.gateway.stop()
        fleet.gateway = Gateway(BUILD, fleet.store)
        eventually(lambda: fleet.gateway.log_lines("started"), "the start of the gateway")
        with socket.create_connection(("127.0.0.1", fleet.gateway.callers_port)) as caller:
            caller.sendall(b"GET /plain/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n")
            time.sleep(0.05)
        fleet.store.put("op/config", configuration(3, ROUTES))
        eventually(fleet.gateway.is_ready, "readiness")
        assert fleet.gateway.process.poll() is None


def route_timeout_returns_504_and_cancels_the_run():
    cancelled = threading.Event()

    def hang(connection, _):
        connection.recv(1)
        cancelled.set()
        return False

    with Fleet(desk=hang) as fleet:
        began = time.monotonic()
        assert fleet.gateway.call("GET", "/slow/x")[0] == 504
        assert 0.35 < time.monotonic() - began < 3
        assert cancelled.wait(5)


def caller_disconnect_cancels_the_run():
    started, cancelled = threading.Event(), threading.Event()

    def hang(connection, _):
        started.set()
        connection.recv(1)
        cancelled.set()
        return False

    with Fleet(desk=hang) as fleet:
        caller = socket.create_connection(("127.0.0.1", fleet.gateway.callers_port))
        caller.sendall(b"GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 1400\r\n"
                       b"Authorization: Bearer key-1\r\n\r\n")
        assert started.wait(5)
        caller.close()
        assert cancelled.wait(5)


def non_idempotent_request_is_sent_once_and_fails_with_502():
    def drop_connection(connection, _):
        return False

    with Fleet(desk=drop_connection, copies=2) as fleet:
        assert fleet.gateway.call("POST", "/once/x", b"")[0] == 502
        assert len(fleet.requests()) == 1


def idempotent_request_is_retried_on_another_endpoint():
    attempts = []

    def drop_first_connection(connection, request):
        attempts.append(request)
        if len(attempts) == 1:
            return False
        connection.sendall(sealed_response(request))
        return True

    with Fleet(desk=drop_first_connection, copies=2) as fleet:
        assert fleet.gateway.call("GET", "/plain/x")[0] == 200
        assert len(attempts) == 2 and attempts[0].headers[
            "x-expect-instance"] != attempts[1].headers["x-expect-instance"]


def not_executed_refusal_is_returned_as_503():
    def refuse(connection, _):
        connection.sendall(b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")

    with Fleet(desk=refuse) as fleet:
        status, _, headers = fleet.gateway.call("POST", "/once/x", b"")
        assert status == 503 and "Retry-After" in headers and "X-Server-Seal" not in headers


def crash_on_boom(connection, request):
    if "/boom" in request.target:
        return False
    connection.sendall(sealed_response(request))
    return True


def request_that_crashes_endpoints_is_quarantined():
    with Fleet(desk=crash_on_boom, copies=8) as fleet:
        statuses = [fleet.gateway.call("POST", "/once/boom", b"the same")[0] for _ in range(8)]
        assert statuses[:3] == [502] * 3 and set(statuses[3:]) == {503}, statuses
        assert len(fleet.requests()) == 3
        assert fleet.gateway.call("POST", "/once/other", b"the same")[0] == 200


def request_is_not_resent_after_the_crash_that_quarantines_it():
    with Fleet(desk=crash_on_boom, copies=8) as fleet:
        statuses = [fleet.gateway.call("POST", "/plain/boom", b"the same")[0] for _ in range(3)]
        assert statuses == [502, 502, 503], statuses
        assert len(fleet.requests()) == 3


def request_that_crashes_endpoints_stays_quarantined_under_another_key_of_its_team():
    with Fleet(desk=crash_on_boom, copies=8) as fleet:
        fleet.store.put("op/config", configuration(4, ROUTES, keys=("key-1", "key-2")))
        eventually(lambda: fleet.gateway.call("GET", "/plain/x", Authorization="Bearer key-2")[0] == 200, "key-2")
        statuses = [fleet.gateway.call("POST", "/once/boom", b"the same")[0] for _ in range(3)]
        statuses.append(fleet.gateway.call("POST", "/once/boom", b"the same", Authorization="Bearer key-2")[0])
        assert statuses == [502, 502, 502, 503], statuses


def failure_response_does_not_clear_a_crash_suspect():
    count = 0

    def fail_third_request_and_drop_others(connection, request):
        nonlocal count
        count += 1
        if count == 3:
            connection.sendall(sealed_response(request, 500, b"failed"))
        return count == 3

    with Fleet(desk=fail_third_request_and_drop_others, copies=8) as fleet:
        statuses = [fleet.gateway.call("POST", "/once/boom", b"the same")[0] for _ in range(5)]
        assert statuses == [502, 502, 500, 502, 503], statuses


def idempotent_request_succeeds_when_an_endpoint_does_not_respond():
    first_received = threading.Event()

    def answer(connection, request):
        if not first_received.is_set():
            first_received.set()
            connection.recv(1)
            return False
        connection.sendall(sealed_response(request))
        return True

    with Fleet(desk=answer, copies=2) as fleet:
        assert fleet.gateway.call("GET", "/plain/x")[0] == 200
        assert len(fleet.requests()) == 2


def new_instance_at_a_reused_address_runs_no_requests_for_the_old_one():
    executed = []

    def run_only_own_requests(connection, request):
        if request.headers["x-expect-instance"] == "desk-0":
            head = f"HTTP/1.1 421 X\r\nX-Attempt-Id: {request.headers['x-attempt-id']}\r\nX-Server-Seal: s\r\n"
            connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        executed.append(request)
        connection.sendall(sealed_response(request))

    # The store still lists desk-0, but the process at its address is another instance.
    with Fleet(desk=run_only_own_requests, copies=2) as fleet:
        for _ in range(6):
            assert fleet.gateway.call("POST", "/once/x", b"")[0] in (200, 421, 503)
        assert 0 < len(executed) <= 6
        assert all(request.headers["x-expect-instance"] == "desk-1" for request in executed)


# The connection of a request that was in progress was kept for the new incarnation, as both have the same id.
def connection_to_an_incarnation_that_was_replaced_is_not_used_again():
    def run_slowly(connection, request):
        time.sleep(0.6 if request.target.startswith("/once") else 0)
        connection.sendall(sealed_response(request, body=b"old"))

    for is_listed_meanwhile in (True, False):
        with Fleet(desk=run_slowly) as fleet:
            old = fleet.endpoints[0]
            slow = threading.Thread(target=fleet.gateway.call, args=("POST", "/once/x", b""), daemon=True)
            slow.start()
            eventually(lambda old=old: old.requests, "the request at the old incarnation")
            if not is_listed_meanwhile:
                fleet.store.remove("servers/desk-0")
                time.sleep(0.3)
                slow.join()
            new = Endpoint(lambda connection, request: connection.sendall(sealed_response(request, body=b"new")))
            fleet.endpoints.append(new)
            fleet.store.put("servers/desk-0", {**new.registration("desk"), "born": 2})
            event = "endpoint_restarted" if is_listed_meanwhile else "endpoint_added"
            eventually(lambda fleet=fleet, event=event, new=new: [
                line for line in fleet.gateway.log_lines(event) if str(new.server.port) in line], "the new incarnation")
            slow.join()
            answers = [fleet.gateway.call("GET", "/plain/x")[:2] for _ in range(5)]
            assert answers == [(200, b"new")] * 5, (is_listed_meanwhile, answers)


def idempotent_requests_survive_dropped_idle_connections():
    def drop_when_reused(connection, request):
        connection.sendall(sealed_response(request))
        time.sleep(0.02)
        return False

    with Fleet(desk=drop_when_reused, copies=2) as fleet:
        for _ in range(12):
            assert fleet.gateway.call("GET", "/plain/x")[0] == 200
            time.sleep(0.01)


def gateway_without_store_receives_endpoint_changes_from_a_peer():
    with Fleet(copies=2) as fleet:
        second_store = Server(fleet.store.serve)
        second = Gateway(BUILD, type("At", (), {"server": second_store}), "g2")
        try:
            eventually(second.is_ready, "readiness of the second gateway")
            for gateway in (fleet.gateway, second):
                eventually(lambda gateway=gateway: gateway.log_lines("peer_found"), "discovery of the other gateway")
            second_store.close()
            second_store.close_connections()
            eventually(lambda: second.log_lines("store_lost"), "detection of the store outage")
            fleet.store.put("servers/desk-0", fleet.endpoints[0].registration("desk", "draining"))
            eventually(lambda: second.log_lines("endpoint_leaving"), "notice of the draining endpoint")
        finally:
            second.stop()


def status_without_the_seal_of_an_endpoint_is_not_passed_to_a_caller():
    for status in (302, 400, 404, 500, 503):
        def send_unsealed(connection, _, status=status):
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)

        with Fleet(desk=send_unsealed) as fleet:
            assert fleet.gateway.call("POST", "/once/x", b"")[0] == 502
    with Fleet(desk=lambda connection, request: connection.sendall(sealed_response(request, 404))) as fleet:
        assert fleet.gateway.call("POST", "/once/x", b"")[0] == 404


def response_to_another_request_is_not_passed_to_a_caller():
    def send_stale_then_own(connection, request):
        stale = sealed_response(request).replace(request.headers["x-attempt-id"].encode(), b"stale")
        connection.sendall(stale + sealed_response(request, body=b"own"))

    with Fleet(desk=send_stale_then_own) as fleet:
        for _ in range(3):
            assert fleet.gateway.call("GET", "/plain/x")[:2] == (200, b"own")


# Callers were told that a request hasn't run, or it ran at a second endpoint, after a refusal of an earlier request was
# written once more without an id.
def refusal_that_is_repeated_on_a_kept_connection_does_not_count_for_the_next_request():
    for status, has_id in ((503, False), (429, False), (421, False), (400, False), (503, True)):
        refusals, runs = {}, []

        def refuse_first(connection, request, status=status, has_id=has_id, refusals=refusals, runs=runs):
            if connection not in refusals:
                own = sealed_response(request, status, extra="X-Not-Executed: 1\r\n", body=b"")
                id_line = f"X-Attempt-Id: {request.headers['x-attempt-id']}\r\n".encode()
                refusals[connection] = own if has_id else own.replace(id_line, b"")
                connection.sendall(own)
                return
            connection.sendall(refusals[connection])
            runs.append(request.headers["x-attempt-id"])
            time.sleep(0.05)
            connection.sendall(sealed_response(request, body=b"own"))

        with Fleet(desk=refuse_first, copies=2) as fleet:
            for name in ("once", "plain"):
                while len(refusals) < 2:
                    fleet.gateway.call("POST", f"/{name}/x", b"")
                answers = [fleet.gateway.call("POST", f"/{name}/x", b"")[:2] for _ in range(4)]
                assert answers == [(200, b"own")] * 4, (status, has_id, name, answers)
            assert len(set(runs)) == len(runs), "a request has run twice"
            assert fleet.gateway.metric("cyclamenturn_responses_skipped") >= 8


def malformed_responses_return_502():
    responses = [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"garbage\r\n\r\n",
                 b"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: 9\r\n\r\nok"]
    for malformed in responses:
        def send_malformed(connection, _, malformed=malformed):
            connection.sendall(malformed)
            return False

        with Fleet(desk=send_malformed) as fleet:
            assert fleet.gateway.call("POST", "/once/x", b"", X_Attempt_Id="1")[0] == 502


def stream_events_are_forwarded_as_they_arrive():
    release = threading.Event()

    def send_events(connection, request):
        connection.sendall(stream_head(request) + chunk("id: 1\ndata: a\n\n"))
        release.wait(5)
        connection.sendall(chunk("id: 2\ndata: b\n\n") + b"0\r\n\r\n")

    with Fleet(model=send_events) as fleet:
        caller = socket.create_connection(("127.0.0.1", fleet.gateway.callers_port))
        caller.settimeout(5)
        caller.sendall(b"POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 1400\r\n"
                       b"Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
        received = b""
        while b"data: a" not in received:
            received += caller.recv(4096)
        assert b"data: b" not in received
        release.set()
        while b"0\r\n\r\n" not in received:
            received += caller.recv(4096)
        caller.close()


def interrupted_stream_resumes_after_its_last_event():
    attempts = []

    def interrupt_first(connection, request):
        attempts.append(request)
        if len(attempts) == 1:
            connection.sendall(stream_head(request) + chunk("id: 1\ndata: a\n\nid: 2\nda"))
            return False
        connection.sendall(stream_head(request) + chunk("id: 2\ndata: b\n\n") + b"0\r\n\r\n")
        return True

    with Fleet(model=interrupt_first, copies=2) as fleet:
        status, body, _ = fleet.gateway.call("POST", "/stream/x", b"")
        assert (status, body) == (200, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        assert attempts[1].headers["last-event-id"] == "1"


def interrupted_stream_without_resume_does_not_look_complete():
    def send_partial_stream(connection, request):
        connection.sendall(stream_head(request) + chunk("id: 1\ndata: a\n\n"))
        time.sleep(0.05)
        return False

    with Fleet(model=send_partial_stream, copies=2) as fleet:
        status, body, _ = fleet.gateway.call("POST", "/fragile/x", b"")
        assert status == 200 and body is None
        assert len(fleet.requests()) == 1


def draining_endpoint_gets_no_requests_and_another_serves_them():
    with Fleet(copies=2) as fleet:
        leaving = fleet.endpoints[0]
        fleet.store.put("servers/desk-0", leaving.registration("desk", "draining"))
        eventually(lambda: fleet.gateway.log_lines("endpoint_leaving"), "notice of the draining endpoint")
        before = len(leaving.requests)
        for _ in range(8):
            assert fleet.gateway.call("GET", "/plain/x")[0] == 200
        assert len(leaving.requests) == before


def store_outage_does_not_affect_callers():
    with Fleet(copies=2) as fleet:
        fleet.store.is_down = True
        eventually(lambda: fleet.gateway.log_lines("store_lost"), "detection of the store outage")
        assert fleet.gateway.call("GET", "/plain/x")[0] == 200
        assert fleet.gateway.is_ready()
        fleet.store.is_down = False
        eventually(lambda: fleet.gateway.log_lines("store_regained"), "detection of the store's recovery")


def planned_stop_completes_accepted_requests():
    def respond_slowly(connection, request):
        time.sleep(0.8)
        connection.sendall(sealed_response(request))

    with Fleet(desk=respond_slowly) as fleet:
        responses = []
        caller = threading.Thread(target=lambda: responses.append(fleet.gateway.call("POST", "/once/x", b"")))
        caller.start()
        eventually(fleet.requests, "the request at the endpoint")
        fleet.gateway.process.send_signal(signal.SIGTERM)
        eventually(lambda: not fleet.gateway.is_ready(), "the change to not ready")
        caller.join()
        assert responses[0][0] == 200 and responses[0][2].get("Connection") == "close"
        assert fleet.gateway.process.wait(15) == 0


# The gateway ended while a part of a response was still in its own buffer.
def planned_stop_delivers_responses_to_slow_readers():
    size = 3000000
    with Fleet(desk=lambda connection, request: connection.sendall(sealed_response(request, body=b"x" * size))) as fleet:
        with socket.socket() as caller:
            # By default, the loopback interface buffers megabytes of a connection.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
            caller.connect(("127.0.0.1", fleet.gateway.callers_port))
            caller.settimeout(5)
            caller.sendall(b"GET /plain/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 9000\r\n"
                           b"Authorization: Bearer key-1\r\n\r\n")
            eventually(fleet.requests, "the request at the endpoint")
            time.sleep(0.3)
            fleet.gateway.process.terminate()
            begin, received = time.monotonic(), 0
            while (part := caller.recv(65536)):
                received += len(part)
                # 0.5 MB a second.
                time.sleep(max(0.0, begin + received / 500000 - time.monotonic()))
        assert received > size, f"{received} bytes received of a head and {size}"
        assert fleet.gateway.process.wait(timeout=5) == 0


def reload_rejects_invalid_settings_and_the_gateway_keeps_serving():
    with Fleet() as fleet:
        fleet.gateway.process.send_signal(signal.SIGHUP)
        eventually(lambda: fleet.gateway.log_lines("settings_reloaded"), "the reload on SIGHUP")
        with open(fleet.gateway.settings_file, "a", encoding="utf-8") as settings:
            settings.write("odd = 1\n")
        eventually(lambda: fleet.gateway.log_lines("settings_refused"), "rejection of the changed settings file")
        assert fleet.gateway.call("GET", "/plain/x")[0] == 200


def both_daemons_check_gateway_settings():
    with Fleet() as fleet:
        for program in ("cyclamenturnd", "cyclamenturn-gatewayd"):
            command = [os.path.join(BUILD, program), "--check-config", "--config", fleet.gateway.settings_file]
            assert subprocess.run(command, check=False).returncode == 0
        with open(fleet.gateway.settings_file, "r+", encoding="utf-8") as settings:
            text = settings.read()
            settings.seek(0)
            settings.write('odd = 1\n' + text)
        for program in ("cyclamenturnd", "cyclamenturn-gatewayd"):
            command = [os.path.join(BUILD, program), "--check-config", "--config", fleet.gateway.settings_file]
            wrong = subprocess.run(command, check=False, capture_output=True, text=True)
            assert wrong.returncode == 2 and ":1: key 'odd': unknown key" in wrong.stderr, wrong.stderr


def metrics_and_log_explain_a_refused_request():
    with Fleet() as fleet:
        assert fleet.gateway.call("GET", "/plain/x", X_Attempt_Id="abc", Authorization="Bearer none")[0] == 401
        eventually(lambda: [line for line in fleet.gateway.log_lines("request_finished") if "request=abc" in line
                            and "outcome=unknown_key" in line and "configuration=3" in line],
                   "the log line of the request")
        with open(fleet.gateway.log_file, "rb") as log:
            tool = subprocess.run([os.path.join(BUILD, "cyclamenturnctl"), "explain", "abc"], stdin=log,
                                  capture_output=True, check=True)
        assert b"configuration_in_force" in tool.stdout and b"unknown_key" in tool.stdout
        page = fleet.gateway.call("GET", "/metrics", port=fleet.gateway.metrics_port)[1].decode()
        assert 'cyclamenturn_refusals{reason="unknown_key"} 1' in page
        fleet.gateway.call("GET", "/plain/x")
        page = fleet.gateway.call("GET", "/metrics", port=fleet.gateway.metrics_port)[1].decode()
        assert "cyclamenturn_request_seconds_bucket" in page
        assert "key-1" not in open(fleet.gateway.log_file, encoding="utf-8").read()


def log_tells_why_a_request_was_answered_with_4xx():
    def reject(connection, request):
        sealed = request.headers["x-attempt-id"] != "unsealed"
        connection.sendall(sealed_response(request, 404) if sealed else
                           b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")

    with Fleet(desk=reject) as fleet:
        fleet.gateway.call("GET", "/nowhere/x", X_Attempt_Id="route")
        fleet.gateway.call("GET", "/plain/x", X_Attempt_Id="endpoint")
        fleet.gateway.call("POST", "/once/x", b"", X_Attempt_Id="unsealed")
        with socket.create_connection(("127.0.0.1", fleet.gateway.callers_port)) as caller:
            caller.sendall(b"GET /plain/x HTTP/1.1\r\nX-Attempt-Id: transport\r\n\r\n")
            assert b" 400 " in caller.recv(4096)
        revision = fleet.store.items["op/config"]["revision"]
        expected = {
            "route": ["outcome=unknown_route", "from_endpoint=0", "configuration_source=read", "configuration_age_ms=",
                      f"configuration_revision={revision}", "store_revision=", "path=/nowhere/x"],
            "endpoint": ["status=404", "from_endpoint=1", "sealed=1", "method=GET", "host=h.example"],
            "unsealed": ["status=502", "outcome=endpoint_malformed"]}
        for attempt, fields in expected.items():
            eventually(lambda attempt=attempt, fields=fields: [
                line for line in fleet.gateway.log_lines("request_finished")
                if f"request={attempt}" in line and all(field in line for field in fields)], f"the line of {attempt}")
        eventually(lambda: [line for line in fleet.gateway.log_lines("request_rejected")
                            if "status=400" in line and "not exactly one Host field" in line], "the rejected request")
        page = fleet.gateway.call("GET", "/metrics", port=fleet.gateway.metrics_port)[1].decode()
        assert 'cyclamenturn_requests_rejected{status="400"} 1' in page


if __name__ == "__main__":
    sys.exit(run_tests(("answer_ok", "crash_on_boom", "Fleet"), sys.argv[2:]))
