#!/usr/bin/env python3
"""Tests of an entry and an agent before endpoints that send bytes without end, in a head or in a body: both must stay
within the memory of their VM, and answer others afterwards."""
import os
import pathlib
import socket
import sys
import tempfile
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from processtest import chat  # noqa: E402
from processes_crowd_interface import MODEL_ENDPOINT, fleet_of_two_endpoints, is_answered  # noqa: E402
from localfleet import http, wait_until  # noqa: E402

ENTRY = "entry-1"
# The default of `memory_mb`.
VM_MEMORY_MB = 112
CALLERS = 6
# More than the VM's memory for each response.
MAX_SENT_BYTES = 256 << 20
PIECE = b"x" * 65536
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "no line ends": (b"", PIECE),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"Field: value\r\n" * 4000),
    "one header field": (b"HTTP/1.1 200 OK\r\nField: ", PIECE),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "a body until the end of the connection": (b"HTTP/1.1 200 OK\r\n\r\n", PIECE),
    "a body in chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "one chunk extension": (CHUNKED + b"1;", PIECE),
    "lines that are no events": (b"HTTP/1.1 200 OK\r\n\r\n", PIECE[1:] + b"\n"),
}


class FloodingEndpoint:
    """Listens in place of an endpoint and answers each request with `first` and then `piece` over and over."""

    def __init__(self, address, first, piece):
        self.first, self.piece, self.requests, self.sent = first, piece, 0, 0
        host, port = address.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                connection.recv(65536)
                self.requests += 1
                connection.sendall(self.first)
                for _ in range(MAX_SENT_BYTES // len(self.piece)):
                    connection.sendall(self.piece)
                    self.sent += len(self.piece)
        except OSError:
            pass  # the agent closed the connection

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def reset_peak(process):
    with open(f"/proc/{process.pid}/clear_refs", "w", encoding="utf-8") as out:
        out.write("5")


def peak_mb(process):
    """The largest resident memory of the process since the reset."""
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
        return next(int(line.split()[1]) // 1024 for line in status if line.startswith("VmHWM"))


def call(fleet, is_model):
    """Sends a request unlike all others, as equal ones that end badly are refused."""
    try:
        if is_model:
            return chat(fleet, os.urandom(16).hex(), stream=True, timeout=20)[0]
        headers = {"Authorization": "Bearer " + fleet.team_key("audit"), "X-Class": "commitment-read"}
        return http("POST", fleet.entries[0], "/svc/rolekapi/x", os.urandom(16).hex().encode(), headers, 20)[0]
    except OSError:
        return 0


def main():
    failures = []
    with tempfile.TemporaryDirectory() as directory, fleet_of_two_endpoints(directory) as fleet:
        fleet.start()
        for endpoint in fleet.endpoints():
            is_model, agent = endpoint["name"] == MODEL_ENDPOINT, f"agent-{endpoint['name']}"
            for what, (first, piece) in FLOODS.items():
                standin = fleet.processes[f"standin-{endpoint['name']}"]
                standin.kill()
                standin.wait()
                flooding = FloodingEndpoint(fleet.standin_address(endpoint), first, piece)
                for name in (ENTRY, agent):
                    reset_peak(fleet.processes[name])
                callers = [threading.Thread(target=call, args=(fleet, is_model)) for _ in range(CALLERS)]
                for caller in callers:
                    caller.start()
                for caller in callers:
                    caller.join()
                flooding.close()
                peaks = {name: peak_mb(fleet.processes[name]) for name in (ENTRY, agent)}
                print(endpoint["name"], what, peaks, f"{flooding.requests} requests, {flooding.sent >> 20} MB", flush=True)
                if max(peaks.values()) > VM_MEMORY_MB or flooding.requests == 0:
                    failures.append((endpoint["name"], what, peaks))
                fleet.start_standin(endpoint)
                if not is_model:
                    wait_until(lambda: is_answered(fleet, 100), f"an answer after {what}")
                else:
                    wait_until(lambda: call(fleet, True) == 200, f"an answer after {what}")
    print("FAILED" if failures else "passed", failures)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
