"""Runs gateways of the deploy file as processes on loopback addresses, against a small store, endpoints and callers.

The stand-ins speak what the users' pages say. A gateway gets the settings that the platform would make of the template
and the environment in deploy/system.toml, and a loopback address of its own, as its metrics port is fixed.
"""
import base64
import http.client
import json
import os
import random
import re
import resource
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
POLL_S = 0.05
network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}."


class Record:
    """The record of a run: one line for each event, with the time since the beginning."""

    current = None

    def __init__(self, script):
        Record.current = self
        name = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.out, self.began, self.lock = open(name, "w", encoding="utf-8"), time.monotonic(), threading.Lock()

    def __call__(self, text, shown=False):
        with self.lock:
            self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.out.flush()
        if shown:
            print(text, flush=True)


class Request:
    """A request as it was received; the names of `headers` are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


def read_request(stream):
    """Returns the next request, or None at the end of the connection."""
    line = stream.readline().decode()
    if not line.strip():
        return None
    method, target, _ = line.split()
    headers = {}
    while (line := stream.readline().decode().strip()):
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    return Request(method, target, headers, stream.read(int(headers.get("content-length", 0))))


class Server:
    """Accepts connections and calls `serve(connection, stream)` for each in a thread of its own."""

    def __init__(self, serve, host):
        class Handler(socketserver.StreamRequestHandler):
            def handle(inner):  # noqa: N805
                try:
                    inner.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    serve(inner.connection, inner.rfile)
                except (ConnectionError, ValueError, OSError):
                    pass  # the peer closed the connection

        class Listener(socketserver.ThreadingTCPServer):
            allow_reuse_address, request_queue_size, daemon_threads = True, 512, True

            def handle_error(self, *_):
                pass

        self.server = Listener((host, 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, args=(POLL_S,), daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Store:
    """The platform's store: one revision counter, linearizable reads, watches, leases."""

    def __init__(self):
        self.items, self.revision, self.lease_count, self.leases = {}, 1, 0, {}
        self.changed = threading.Condition()
        self.server = Server(self.serve, network + "200")
        self.address = self.server.address

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            text = value if isinstance(value, bytes) else json.dumps(value).encode()
            created = self.items.get(key, {}).get("create_rev", self.revision)
            self.items[key] = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                               "create_rev": created, "lease": lease}
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.changed.notify_all()

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            status, body = self.respond(request)
            text = json.dumps(body).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)

    def respond(self, request):
        path, _, query = request.target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        if path == "/-/kv-key":
            with self.changed:
                item = self.items.get(arguments["key"])
                return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})
        if path == "/-/kv-range":
            with self.changed:
                found = [item for key, item in sorted(self.items.items())
                         if key.startswith(arguments["prefix"]) and key > arguments.get("after", "")]
                return 200, {"items": found[:500], "more_pages": len(found) > 500, "current_rev": self.revision}
        if path == "/-/kv-watch":
            return self.watch(arguments)
        if path == "/-/kv-txn":
            return self.write(json.loads(request.body))
        if path == "/-/kv-lease":
            with self.changed:
                self.lease_count += 1
                self.leases[self.lease_count] = json.loads(request.body)["ttl_ms"]
                return 200, {"lease": self.lease_count, "ttl_ms": self.leases[self.lease_count]}
        lease = int(path.rsplit("/", 1)[1])
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            if request.method == "DELETE":
                del self.leases[lease]
                for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                    self.remove(key)
                return 200, {}
            return 200, {"ttl_ms": self.leases[lease]}

    def write(self, call):
        with self.changed:
            for row in call.get("expect_rev", []):
                if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                    known = [self.items[r["key"]] for r in call["expect_rev"] if r["key"] in self.items]
                    return 412, {"items": known, "current_rev": self.revision}
            if any(write.get("lease") and write["lease"] not in self.leases for write in call.get("writes", [])):
                return 404, {}
            for write in call.get("writes", []):
                self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
            for key in call.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}

    def watch(self, arguments):
        end = time.monotonic() + int(arguments["wait_ms"]) / 1000
        with self.changed:
            while True:
                events = [item for key, item in sorted(self.items.items()) if key.startswith(arguments["prefix"])
                          and item["revision"] > int(arguments["after"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                self.changed.wait(left)


class Endpoint:
    """An endpoint. `script(endpoint, connection, request)` answers a request; if it returns False, the connection ends.

    Requests are recorded in `runs` by the script, when they begin to run.
    """

    def __init__(self, store, service, number, script, version="v1", slots=64):
        self.id, self.service, self.version, self.slots = f"i-{service}-{number}", service, version, slots
        self.born, self.script, self.store, self.sequence = int(time.time() * 1000), script, store, 1
        self.runs, self.lock = [], threading.Lock()
        self.server = Server(self.serve, network + "100")
        self.register()

    def register(self, state="ready"):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "addr": self.server.address, "zone": "zone-a", "version": self.version,
            "slots": self.slots, "state": state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            if request.target == "/-/report":
                text = json.dumps({"born": self.born, "stage": "prefill_decode", "busy": False, "sequence": 1,
                                   "models": [{"name": "m", "version": 1, "adapters": []}], "waiting": 0, "running": 0,
                                   "kv_used": 0, "kv_total": 434830, "handles": 0}).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                   % len(text) + text)
            elif request.headers.get("x-expect-instance", self.id) != self.id:
                connection.sendall(f"HTTP/1.1 421 X\r\nX-Attempt-Id: {request.headers['x-attempt-id']}\r\n"
                                   "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            elif self.script(self, connection, request) is False:
                connection.shutdown(socket.SHUT_RDWR)
                return

    def note_run(self, request):
        with self.lock:
            self.runs.append((time.monotonic(), request.headers["x-attempt-id"]))
        Record.current(f"{self.id} runs {request.headers['x-attempt-id']}")


def sealed_head(request, status=200, more=""):
    return (f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {request.headers['x-attempt-id']}\r\nX-Server-Seal: 3e1b.07\r\n"
            f"{more}").encode()


def answer(connection, request, body=b"ok", status=200):
    connection.sendall(sealed_head(request, status) + b"Content-Length: %d\r\n\r\n" % len(body) + body)


class CrashingEndpoint:
    """An endpoint that crashes when it begins to answer a prompt with the bad part, and is back under another id.

    The bad part crashes nothing with TROUBLE=0. `bad_runs` has the prompts that crashed the endpoint.
    """

    # How long it is away: over three heartbeats of 1.2 s, after which its entry is removed.
    AWAY_S = 4.0
    FIRST_EVENT_S, EVENTS, EVENT_GAP_S = 0.15, 8, 0.1

    def __init__(self, store, number, record, bad_part):
        self.store, self.number, self.record, self.bad_part = store, number, record, bad_part
        self.connections = set()
        self.bad_runs, self.crashes, self.lock, self.port = [], [], threading.Lock(), 0
        self.begin()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((network + "100", self.port))
        self.listener.listen(128)
        self.port, self.is_up = self.listener.getsockname()[1], True
        self.id = f"i-{self.number}-{self.born:x}"
        self.store.put(f"servers/{self.id}", {
            "service": "model", "addr": f"{network}100:{self.port}", "zone": "zone-a", "version": "v1",
            "slots": 64, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": self.born})
        threading.Thread(target=self.accept, args=(self.listener, self.id), daemon=True).start()

    def accept(self, listener, instance):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection, instance), daemon=True).start()

    def crash(self):
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            connections, self.connections = self.connections, set()
        self.crashes.append(time.monotonic())
        for closed in (self.listener, *connections):
            try:
                if closed is not self.listener:
                    closed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                closed.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            closed.close()
        old = self.id
        threading.Timer(self.AWAY_S, self.come_back, (old,)).start()

    def come_back(self, old):
        self.store.remove(f"servers/{old}")
        self.begin()

    def serve(self, connection, instance):
        try:
            stream = connection.makefile("rb")
            while (request := read_request(stream)):
                if request.headers.get("x-expect-instance", instance) != instance:
                    connection.sendall(f"HTTP/1.1 421 X\r\nX-Attempt-Id: {request.headers.get('x-attempt-id', '')}\r\n"
                                       "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                elif not self.answer(connection, request):
                    return
        except (OSError, ValueError):
            pass

    def answer(self, connection, request):
        """Returns False if the endpoint has crashed."""
        is_bad = TROUBLE and self.bad_part in request.headers.get("x-prompt-prefix", "")
        self.record(f"engine {self.number} runs {request.headers['x-attempt-id']}")
        if is_bad:
            self.bad_runs.append((time.monotonic(), request.headers["x-attempt-id"]))
        time.sleep(self.FIRST_EVENT_S)
        if is_bad:
            self.record(f"engine {self.number} crashes on {request.headers['x-attempt-id']}")
            self.crash()
            return False
        connection.sendall(sealed_head(request, 200, "Content-Type: text/event-stream\r\n"
                                                     "Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(1, self.EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.EVENT_GAP_S)
        connection.sendall(b"0\r\n\r\n")
        return True


class Prompts:
    """Sends prompts of several kinds on the route "draft", each in a thread of its own, and notes how they end.

    `parts(kind, number, elapsed_s)` returns the key of a prompt and its first two parts; the third is its own.
    """

    def __init__(self, gateways, parts, record):
        self.gateways, self.parts, self.record, self.number, self.ended = gateways, parts, record, 0, False
        self.began, self.results, self.lock = time.monotonic(), {}, threading.Lock()

    def send(self, kind):
        with self.lock:
            self.number += 1
            number = self.number
        gateway = self.gateways[number % len(self.gateways)]
        sent_at, attempt = time.monotonic(), os.urandom(8).hex()
        key, first, second = self.parts(kind, number, sent_at - self.began)
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "Authorization": f"Bearer {key}", "X-Model": "m",
                  "X-Deadline-Ms": "4000", "X-Token-Count": "9190,54",
                  "X-Prompt-Prefix": f"{first}:2520,{second}:3780,{0xb7d00000 + number:x}:2890"}
        self.record(f"{kind} prompt {attempt} with {first},{second} is sent to {gateway.ip}")
        connection = http.client.HTTPConnection(*gateway.callers, timeout=5)
        status, body = 0, b""
        try:
            connection.request("POST", "/draft/1", b"%d" % number, fields)
            response = connection.getresponse()
            status = response.status
            while (line := response.readline()):
                body += line
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        has_begun = status == 200 and body.startswith(b"id: ")
        is_whole = f"id: {CrashingEndpoint.EVENTS}\n".encode() in body
        self.results.setdefault(kind, []).append((sent_at, has_begun, has_begun and not is_whole))
        end = "whole" if is_whole else "broken off" if has_begun else repr(body[:40])
        self.record(f"{kind} prompt {attempt}: status {status}, {end}")

    def send_each(self, kind, interval_s):
        while not self.ended:
            threading.Thread(target=self.send, args=(kind,), daemon=True).start()
            time.sleep(interval_s)

    def begin(self, kind, interval_s):
        threading.Thread(target=self.send_each, args=(kind, interval_s), daemon=True).start()

    def share(self, kind, begin, end):
        """Returns how many prompts of that time began, how many were sent, and the share."""
        found = [has_begun for sent_at, has_begun, _ in self.results.get(kind, []) if begin <= sent_at < end]
        return sum(found), len(found), sum(found) / max(1, len(found))

    def broken_off(self, begin, end):
        """Returns how many sound streams of that time broke off."""
        return sum(is_broken for kind, results in self.results.items() if kind != "bad"
                   for sent_at, _, is_broken in results if begin <= sent_at < end)


class BadPartFigures:
    """What a run with prompts of the kinds "sound" and "bad" shows, for the rules BUDGET and LOST of the news pages."""

    STABLE_S, COUNTED_CRASH = 3.0, 5

    def __init__(self, engines, prompts, bad_since, bad_until):
        crashes = sorted(at for engine in engines for at in engine.crashes)
        # The fifth crash, or the last one if there are fewer.
        counted = crashes[min(self.COUNTED_CRASH, len(crashes)) - 1] if crashes else bad_since
        self.crashes = len(crashes)
        self.before = prompts.share("sound", 0, bad_since)
        self.after = prompts.share("sound", counted + 2 * self.STABLE_S, bad_until)
        self.late = sum(at > counted + self.STABLE_S for engine in engines for at, _ in engine.bad_runs)
        self.broken_off = prompts.broken_off(bad_since, bad_until)

    def write(self, record):
        record(f"{self.crashes} crashes; sound prompts that began: {self.before[0]} of {self.before[1]} before, "
               f"{self.after[0]} of {self.after[1]} from 6 s after the fifth crash", True)
        record(f"bad prompts that reached endpoints more than 3 s after the fifth crash: {self.late}; sound streams "
               f"that broke off since the first: {self.broken_off}", True)


def route(name, service, kind="idempotent", **more):
    out = {"name": name, "host": "h.example", "prefix": f"/{name}/", "route_type": kind, "timeout_ms": 4000,
           "slo_ms": 500, "priority": 1, "service": service, "max_attempts": 2, "public": False, "sticky": False,
           "can_resume": False}
    return {**out, **more}


def configuration(version, routes, max_connections=220):
    services = sorted({item["service"] for item in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": max_connections, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "team-1", "api_keys": ["key-1"]}]}


def fill(template, fields):
    """Fills in a template as the platform does; sections are rendered once or not at all."""
    def value(path):
        out = fields
        for part in path.split("."):
            out = out[int(part)] if isinstance(out, list) else out.get(part) if isinstance(out, dict) else None
        return out

    def section(match):
        return match[2] if value(match[1]) else ""

    def text(match):
        found = value(match[1])
        return json.dumps(found) if match[2] else "" if found is None else str(found)

    template = re.sub(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([^}|#/^]+)(\|json)?\}\}", text, template)


class Gateway:
    """A gateway process, started with the command, template and environment of the deploy file."""

    def __init__(self, store, number=1, memory_mb=96, max_fds=2870, bounds=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as text:
            role = tomllib.load(text)["roles"]["gateway"]
        ip = network + str(number)
        fields = {
            "node_name": f"front-a-{number}", "role": "gateway", "machine_class": "front", "serves": ["front"],
            "ip": ip, "zone": "zone-a", "region": "region-a", "zones": {"zone-a": "region-a"},
            "listen": {"front": f"{ip}:8740", "ready": f"{ip}:8749"}, "internal_ports": [7200, 7215], "seeds": [],
            "limits": {"cpu_share": 0.13, "cores": 1, "memory_mb": memory_mb, "max_fds": max_fds, "link_mbps": 700.0,
                       "disk_mb": 0},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform"],
            "bounds": {"stable_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                       "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 108, **(bounds or {})},
            "provider": {"addr": store.address, "form": "kv"}}
        self.ip, self.callers, self.max_fds = ip, (ip, 8740), max_fds
        self.memory_mb, self.directory = memory_mb, tempfile.TemporaryDirectory()
        self.settings = os.path.join(self.directory.name, "boot")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as text:
            filled = fill(text.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(filled)
        self.command = role["run"].split()
        self.environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.environment.update({name: fill(text, fields) for name, text in role.get("env", {}).items()})
        self.environment["CYCLAMENTURN_CONFIG"] = self.settings
        self.log = os.path.join(self.directory.name, "log")
        self.process = None
        self.start()

    def start(self):
        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=self.environment, stdout=log, stderr=log,
                                            preexec_fn=limit)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def memory_kb(self):
        """The process's anonymous memory, without the pages of program files; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                return next((int(line.split()[1]) for line in status if line.startswith("RssAnon:")), 0)
        except OSError:
            return 0

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, 8749, timeout=1)
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def call(self, method, target, body=None, timeout=6, fields=None):
        """Returns (status, body, headers). Status 0: the connection ended without an answer."""
        connection = http.client.HTTPConnection(*self.callers, timeout=timeout)
        headers = {"Host": "h.example", "X-Attempt-Id": os.urandom(8).hex(), "X-Deadline-Ms": "4000",
                   "Authorization": "Bearer key-1", **(fields or {})}
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            return response.status, response.read(), dict(response.getheaders())
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__.encode(), {}
        finally:
            connection.close()

    def stop(self):
        """Kills the process, if it runs, and removes its files."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.directory.cleanup()


def eventually(condition, timeout_s=15):
    """Whether the condition becomes true in time."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True


def run(case, script):
    """Calls case(record), which returns HELD, BROKEN or NOT_RUN, and exits with that."""
    record = Record(script)
    code = NOT_RUN
    try:
        code = case(record)
    except Exception as error:  # noqa: BLE001 - a case that fails by itself has shown nothing
        record(f"the case could not run: {error!r}", shown=True)
    record(f"result {code}: {('held', 'broken', 'not run')[code]}, TROUBLE={int(TROUBLE)}", shown=True)
    sys.stdout.flush()
    os._exit(code)
