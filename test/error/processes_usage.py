#!/usr/bin/env python3
"""Tests of usage reports with real gateway processes, a simulated store with leases and conditional writes, and a
simulated API: the holder is killed, stopped or told that its token is old, and the store is restored."""
import base64
import json
import signal
import sys
import threading
import time

from gatewayfleet import Gateway, Server, Store, configuration, eventually, read_request, route, run_tests

BUILD = sys.argv[1]
WINDOW_S, DUE_S, LEASE_S = 1, 4, 1
HOLDER, RECORDS = "cyclamenturn/usage/holder/", "cyclamenturn/usage/reports/"
TAKEOVER_S = 10


class LeaseStore(Store):
    """A store whose leases expire, with conditional writes. `record_written(key)` is called after each record is
    written and before the response, which isn't sent if it returns False."""

    def __init__(self):
        super().__init__()
        self.lease_ends, self.record_written, self.ended_leases = {}, lambda key: True, 0
        self.lock = threading.RLock()

    def restore(self, copy):
        with self.lock:
            items = {key: item for key, item in copy[0].items() if item["lease"] == 0 or not key.startswith(HOLDER)}
            super().restore((items, copy[1], ()))
            self.lease_ends.clear()

    def end_lease(self, lease):
        del self.lease_ends[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def respond(self, request):
        path = request.target.partition("?")[0]
        with self.lock:
            for lease in [lease for lease, (end, _) in self.lease_ends.items() if end <= time.monotonic()]:
                self.end_lease(lease)
            if path == "/-/kv-lease":
                self.lease_count += 1
                ttl_ms = json.loads(request.body)["ttl_ms"]
                self.lease_ends[self.lease_count] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"lease": self.lease_count, "ttl_ms": ttl_ms}
            if path.startswith("/-/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.lease_ends:
                    return 404, {}
                ttl_ms = self.lease_ends[lease][1]
                self.lease_ends[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"ttl_ms": ttl_ms}
            if path.startswith("/-/kv-lease-end/"):
                lease = int(path.rsplit("/", 1)[1])
                if request.method != "DELETE" or lease not in self.lease_ends:
                    return 404, {}
                self.end_lease(lease)
                self.ended_leases += 1
                return 200, {}
            if path == "/-/kv-txn":
                return self.transact(json.loads(request.body))
        return super().respond(request)

    def transact(self, body):
        if any(write["lease"] and write["lease"] not in self.lease_ends for write in body["writes"]):
            return 404, {}
        for expected in body["expect_rev"]:
            item = self.items.get(expected["key"])
            if (item["revision"] if item else 0) != expected["revision"]:
                return 412, {"items": [item] if item else []}
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]).decode())
            self.items[write["key"]]["lease"] = write["lease"]
        for key in body["remove"]:
            self.remove(key)
        for write in body["writes"]:
            if write["key"].startswith(RECORDS) and not self.record_written(write["key"]):
                raise ConnectionError("the response is lost")
        return 200, {"revision": self.revision}

    def holder(self):
        """The name of the gateway that holds the duty, or None."""
        with self.lock:
            for key, item in self.items.items():
                if key.startswith(HOLDER):
                    return base64.b64decode(item["value"]).decode().split()[0]
        return None

    def report(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"]))["report"]

    def replace_report(self, key, report):
        """Writes other bytes into a record, as if they had been recorded."""
        record = json.loads(base64.b64decode(self.items[key]["value"]))
        record["report"] = report
        self.items[key]["value"] = base64.b64encode(json.dumps(record).encode()).decode()


class Api:
    """Simulates the platform's API: accepts reports with the highest token seen."""

    def __init__(self):
        self.calls, self.highest, self.server = [], 0, Server(self.serve)

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            token = int(request.headers["x-fencing-token"])
            status = 200 if token >= self.highest else 409
            self.highest = max(token, self.highest)
            self.calls.append((request.headers["x-duty-holder"], token, status, request.body.decode()))
            assert (request.method, request.target) == ("POST", "/usage"), (request.method, request.target)
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)

    def accepted(self):
        """The bodies of the accepted reports by window."""
        out = {}
        for _, _, status, body in list(self.calls):
            if status == 200:
                out.setdefault(json.loads(body)["window"], set()).add(body)
        return out


class Fleet:
    def __init__(self, names=("g1", "g2", "g3")):
        self.store, self.api = LeaseStore(), Api()
        self.store.put("op/config", configuration(1, [route("read", "desk")]))
        settings = (f'[duties]\napi = "127.0.0.1:{self.api.server.port}"\nwindow_s = {WINDOW_S}\n'
                    f'report_due_s = {DUE_S}\nlease_ms = {1000 * LEASE_S}\n')
        self.gateways = {name: Gateway(BUILD, self.store, name, 4, more_settings=settings) for name in names}

    def wait_for_reports(self, count=2):
        """Waits until that many more windows are reported."""
        before = len(self.api.accepted())
        eventually(lambda: len(self.api.accepted()) >= before + count, "reports", TAKEOVER_S + count)

    def check(self):
        """No window has two reports, no token two holders, and no window between the first and the last is left out.

        A window in which a gateway started is closed 5 s after its end, so it may be reported after later ones.
        """
        windows = range(min(self.api.accepted()), max(self.api.accepted()) + 1)
        eventually(lambda: set(windows) <= set(self.api.accepted()), "reports of all windows", TAKEOVER_S)
        accepted, holders = self.api.accepted(), {}
        assert all(len(bodies) == 1 for bodies in accepted.values()), accepted
        for holder, token, _, _ in self.api.calls:
            assert holders.setdefault(token, holder) == holder, self.api.calls

    def close(self):
        for gateway in self.gateways.values():
            gateway.stop()
        self.store.server.close()
        self.api.server.close()


def with_fleet(test, **options):
    fleet = Fleet(**options)
    try:
        fleet.wait_for_reports()
        test(fleet)
        fleet.check()
    finally:
        fleet.close()


def a_report_recorded_by_a_killed_holder_is_sent_by_its_successor():
    def test(fleet):
        killed = []

        def kill_holder(key):
            if killed:
                return True
            killed.extend([fleet.store.holder(), fleet.api.highest, int(key.rsplit("/", 1)[1])])
            # Bytes that no other gateway would collect by itself.
            killed.append(f'{{"window":{killed[2]},"counts":{{"team-of-the-record":{len(fleet.api.calls)}}}}}')
            fleet.store.replace_report(key, killed[3])
            process = fleet.gateways[killed[0]].process
            process.send_signal(signal.SIGKILL)
            process.wait()
            return True

        fleet.store.record_written = kill_holder
        eventually(lambda: len(killed) == 4 and killed[2] in fleet.api.accepted(), "the successor's report", TAKEOVER_S)
        holder, token, _, body = [call for call in fleet.api.calls if json.loads(call[3])["window"] == killed[2]][0]
        assert holder != killed[0] and token > killed[1], (killed, holder, token)
        assert body == killed[3], (killed, body)
        fleet.wait_for_reports()
        successor = fleet.gateways[holder]
        assert successor.log_lines("duty_taken") and successor.log_lines("usage_reported"), holder
        assert successor.metric("cyclamenturn_duty_holder") == 1

    with_fleet(test)


def a_record_whose_write_got_no_response_is_found_and_sent():
    def test(fleet):
        lost = []

        def lose_response(key):
            if not lost:
                lost.append(int(key.rsplit("/", 1)[1]))
                return False
            return True

        fleet.store.record_written = lose_response
        eventually(lambda: lost and lost[0] in fleet.api.accepted(), "the report", TAKEOVER_S)
        gateway = fleet.gateways[fleet.store.holder()]
        assert any("source=read" in line.split() for line in gateway.log_lines("usage_recorded"))

    with_fleet(test)


def a_holder_that_stops_as_planned_ends_its_lease():
    def test(fleet):
        holder = fleet.store.holder()
        gateway = fleet.gateways[holder]
        gateway.process.terminate()
        eventually(lambda: fleet.store.ended_leases > 0, "end of the lease", 1)
        assert any("reason=planned_stop" in line.split() for line in gateway.log_lines("duty_ended"))
        eventually(lambda: fleet.store.holder() not in (None, holder), "a successor", TAKEOVER_S)
        fleet.wait_for_reports()

    with_fleet(test)


def a_holder_whose_token_is_old_calls_no_more_with_it():
    def test(fleet):
        token = fleet.api.highest
        fleet.api.highest = token + 1
        eventually(lambda: any(call[1] == token and call[2] == 409 for call in fleet.api.calls), "409", 5)
        eventually(lambda: any(call[1] > token for call in fleet.api.calls), "a call with a higher token", TAKEOVER_S)
        assert sum(call[1] == token and call[2] == 409 for call in fleet.api.calls) == 1
        fleet.wait_for_reports()

    with_fleet(test)


def reports_go_on_after_the_store_was_restored():
    def test(fleet):
        copy, token = fleet.store.copy(), fleet.api.highest
        fleet.wait_for_reports(3)
        fleet.store.restore(copy)
        eventually(lambda: fleet.api.highest >= token + 10 ** 9 - 1000, "a token of the new era", TAKEOVER_S)
        fleet.wait_for_reports(3)

    with_fleet(test)


def a_frozen_holder_is_replaced():
    def test(fleet):
        holder = fleet.store.holder()
        process = fleet.gateways[holder].process
        process.send_signal(signal.SIGSTOP)
        eventually(lambda: fleet.store.holder() not in (None, holder), "a successor", TAKEOVER_S)
        fleet.wait_for_reports()
        calls = len(fleet.api.calls)
        process.send_signal(signal.SIGCONT)
        fleet.wait_for_reports()
        assert all(call[0] != holder for call in fleet.api.calls[calls:])

    with_fleet(test)


def without_the_settings_no_gateway_takes_the_duty():
    store = LeaseStore()
    store.put("op/config", configuration(1, [route("read", "desk")]))
    gateway = Gateway(BUILD, store)
    try:
        eventually(lambda: store.lease_count > 0, "registration")
        time.sleep(2 * LEASE_S)
        assert store.holder() is None and store.lease_count == 1
    finally:
        gateway.stop()
        store.server.close()


if __name__ == "__main__":
    sys.exit(run_tests(("LeaseStore", "Api", "Fleet", "with_fleet"), sys.argv[2:]))
