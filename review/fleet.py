"""Gateways started by the deploy file, and small stand-ins of the platform's store, of workers and of clients.

All of them are on loopback addresses. The settings of a gateway are those of the site `ydt-akis`, filled into the project's
template. A case records what was sent, answered and run in `record.txt`, and ends with 0 if the rule held, 1 if it was broken
and 2 if the case couldn't run.
"""
import base64
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
KEY, TENANT = "key-of-plant-1", "plant-1"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20
RUN_LIMIT_S = 110
SMALL_WINDOW_BYTES, ETHERNET_SEGMENT_BYTES = 2048, 1448
# The bounds of the site ydt-akis that the template uses.
BOUNDS = {"grace_s": 8, "stable_ms": 3000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 108}


class Record:
    """What clients and workers see, with the time since the start of the case."""

    def __init__(self, path):
        self.lock, self.out, self.begin = threading.Lock(), open(path, "w", encoding="utf-8"), time.monotonic()

    def add(self, *words):
        with self.lock:
            self.out.write(f"{time.monotonic() - self.begin:8.3f} " + " ".join(str(word) for word in words) + "\n")
            self.out.flush()


class Request:
    """The head of a request; the names of `headers` are in lower case."""

    def __init__(self, method, target, headers):
        self.method, self.target, self.headers = method, target, headers
        self.id = headers.get("x-attempt-id", "")
        self.body_bytes = int(headers.get("content-length", 0))


def read_request(stream):
    """Returns the head of the next request, or None at the end of the connection. The body stays unread."""
    line = stream.readline().decode("latin-1")
    if not line.strip():
        return None
    method, target, _ = line.split()
    headers = {}
    while (line := stream.readline().decode("latin-1").strip()):
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    return Request(method, target, headers)


def reset(connection):
    """Closes the connection with a TCP reset, as the system does for a process that is killed before it has read all bytes.

    The reset is sent once the connection's stream is closed, too.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def set_small_window(sock):
    """Gives a socket a small receive window and the segments of an Ethernet link.

    By default, the segments of the loopback interface are so long that the kernel buffers megabytes of each connection.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET_SEGMENT_BYTES)


class Server:
    """Listens on a loopback address and calls `serve(connection, stream)` for each connection in a thread."""

    def __init__(self, serve, port=0, has_small_window=False):
        self.serve, self.connections, self.lock = serve, set(), threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if has_small_window:
            set_small_window(self.listener)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        self.port, self.is_open = self.listener.getsockname()[1], True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.is_open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if not self.is_open:
                reset(connection)
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            with connection.makefile("rb") as stream:
                self.serve(connection, stream)
        except (OSError, ValueError):
            pass  # the peer has closed the connection, or crash() has
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def crash(self, leave=None):
        """Ends all connections but `leave`, and refuses new ones, as the system does for a process that is killed."""
        self.is_open = False
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for connection in self.connections - {leave}:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # it has just been closed


class Store:
    """The platform's store: items, revisions, watches and leases. It never fails."""

    def __init__(self):
        self.items, self.revision, self.leases = {}, 1, itertools.count(1)
        self.changed = threading.Condition()
        self.server = Server(self.serve)

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            text = value if isinstance(value, str) else json.dumps(value)
            created = self.items[key]["create_rev"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": base64.b64encode(text.encode()).decode(), "revision": self.revision,
                               "create_rev": created, "lease": lease}
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.changed.notify_all()

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            body = stream.read(request.body_bytes)
            status, answer = self.answer(request, body)
            text = json.dumps(answer).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
                               % (status, len(text)) + text)

    def answer(self, request, body):
        path, _, query = request.target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        fields = {name: value.replace("%2F", "/") for name, value in fields.items()}
        if path == "/-/kv-key":
            with self.changed:
                item = self.items.get(fields["key"])
                return (200, {**item, "current_rev": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            with self.changed:
                found = [item for key, item in sorted(self.items.items())
                         if key.startswith(fields["prefix"]) and key > fields.get("after", "")]
                return 200, {"items": found, "more_pages": False, "current_rev": self.revision}
        if path == "/-/kv-watch":
            return self.watch(fields)
        if path == "/-/kv-lease":
            return 200, {"lease": next(self.leases), "ttl_ms": json.loads(body)["ttl_ms"]}
        if path == "/-/kv-txn":
            for write in json.loads(body)["writes"]:
                self.put(write["key"], base64.b64decode(write["value"]).decode(), write["lease"])
            return 200, {"revision": self.revision}
        return (200, {"ttl_ms": 30000}) if path.startswith("/-/kv-keep/") else (404, {})

    def watch(self, fields):
        end = time.monotonic() + int(fields["wait_ms"]) / 1000
        with self.changed:
            while True:
                events = sorted((item for key, item in self.items.items()
                                 if key.startswith(fields["prefix"]) and item["revision"] > int(fields["after"])),
                                key=lambda item: item["revision"])
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                self.changed.wait(left)


class Worker:
    """A worker: it registers itself, renews its entry, and calls `run(worker, connection, stream, request)` for a request.

    `run` returns False if the connection is to be closed.
    """

    def __init__(self, case, name, service, run, version="v1", has_small_window=False):
        self.case, self.name, self.service, self.run = case, name, service, run
        self.version, self.state, self.has_small_window, self.sequence, self.port = version, "ready", has_small_window, 0, 0
        self.lock = threading.Lock()
        self.start()
        threading.Thread(target=self.beat, daemon=True).start()

    def start(self):
        """Starts an incarnation. It listens, and writes its entry at once."""
        self.server = Server(self.serve, self.port, self.has_small_window)
        self.port, self.is_up, self.sequence = self.server.port, True, 0
        self.born = int(time.time() * 1000)
        self.register()

    def crash(self, leave=None):
        """Ends the incarnation without a word; its entry stays. The caller resets the connection `leave`."""
        with self.lock:
            self.is_up = False
        self.server.crash(leave)

    def register(self):
        with self.lock:
            if not self.is_up:
                return
            self.sequence += 1
            self.case.store.put(f"servers/{self.name}", {
                "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": "ank-a", "version": self.version, "slots": 64,
                "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            self.register()

    def serve(self, connection, stream):
        while (request := read_request(stream)):
            if request.target == "/-/report":
                text = json.dumps({"born": self.born, "version": self.version, "waiting": 0, "running": 0}).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                continue
            if request.headers.get("x-expect-instance", self.name) != self.name:
                stream.read(request.body_bytes)
                connection.sendall(self.head(request, 421, {"X-Not-Executed": "1", "Content-Length": 0}))
                continue
            if self.run(self, connection, stream, request) is False:
                return

    @staticmethod
    def head(request, status=200, fields=()):
        """The head of an answer with the worker's seal."""
        lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request.id}", "X-Server-Seal: seal"]
        lines += [f"{name}: {value}" for name, value in dict(fields).items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


LAST_CHUNK = b"0\r\n\r\n"


def event(number, data):
    return f"id: {number}\ndata: {data}\n\n".encode()


def route(name, service, kind, **more):
    """A route with the figures of the site's sheet for a kind of request that is a short call."""
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "route_type": kind, "timeout_ms": 1000, "slo_ms": 100, "priority": 2,
            "service": service, "max_attempts": 1, "public": False, "sticky": False, "can_resume": False, **more}


def shift_query(**more):
    """The route of the site's `shift-query`: a stream that may be resumed."""
    return route("shift-query", "asistan", "streaming", timeout_ms=12000, slo_ms=300, gap_target_ms=200, priority=0, max_attempts=2,
                 can_resume=True, **more)


def configuration(routes, version=1):
    services = sorted({item["service"] for item in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": 720} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY]}]}


def fill_in(template, values):
    """Fills a template in as DEPLOY.md says, as far as the project's template needs it."""
    def value_of(match):
        value = values
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if match.group(2) else str(value)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value_of, template)


def free_address():
    """A loopback address on which the ports of a gateway are free."""
    while True:
        ip = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for port in (8740, 8749, 9102):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue


class Gateway:
    """A process of the role `gateway`, started with the command of the deploy file."""

    def __init__(self, case, name):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        self.case, self.name, self.ip = case, name, free_address()
        self.settings = case.directory / f"{name}.settings"
        self.settings.write_text(fill_in((ROOT / role["template"]).read_text(), {
            "node_name": name, "zone": "ank-a", "ip": self.ip, "internal_ports": [7200, 7215], "bounds": BOUNDS,
            "listen": {"front": f"{self.ip}:8740", "ready": f"{self.ip}:8749"},
            "provider": {"addr": f"127.0.0.1:{case.store.server.port}"}}))
        self.command, self.log = role["run"].split(), case.directory / f"{name}.log"
        if not (ROOT / self.command[0]).exists():
            raise RuntimeError(f"{self.command[0]} isn't built")
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                            env={"PATH": os.environ["PATH"], "CYCLAMENTURN_CONFIG": str(self.settings)})
        self.case.processes.append(self.process)

    def signal(self, number):
        self.case.record.add("platform", "signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, 8749), timeout=1) as connection:
                connection.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Answer:
    """What a client has received: `status` is 0 without a head, `is_complete` tells whether the body came whole."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_complete, self.reason = 0, {}, b"", False, ""

    def __str__(self):
        return (f"status={self.status} complete={self.is_complete} bytes={len(self.body)} "
                f"seal={'x-server-seal' in self.headers} reason={self.reason or '-'}")


class Client:
    """One connection of a client to a gateway, for one request."""

    def __init__(self, case, gateway, has_small_window=False):
        self.case = case
        self.socket = socket.socket()
        if has_small_window:
            set_small_window(self.socket)
        self.socket.settimeout(20)
        self.socket.connect((gateway.ip, 8740))

    def send(self, method, target, body=b"", deadline_ms=1000, **fields):
        """Sends a request and returns the id of the attempt. A body may be a function of the id."""
        attempt = os.urandom(8).hex()
        body = body(attempt) if callable(body) else body
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms, "Authorization": f"Bearer {KEY}",
                   "Content-Length": len(body), **{name.replace("_", "-"): value for name, value in fields.items()}}
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
        self.case.record.add("client", "sends", attempt, method, target, f"bytes={len(body)}", fields or "")
        self.socket.sendall(head.encode() + body)
        return attempt

    def receive(self, bytes_per_s=None, on_body=None):
        """Reads the answer to its end, at most at the given rate, and returns it."""
        answer, stream = Answer(), self.socket.makefile("rb", buffering=4096)
        try:
            line = stream.readline().decode("latin-1")
            if not line:
                answer.reason = "closed without an answer"
                return answer
            answer.status = int(line.split()[1])
            while (line := stream.readline().decode("latin-1").strip()):
                name, value = line.split(":", 1)
                answer.headers[name.lower()] = value.strip()
            if answer.headers.get("transfer-encoding") == "chunked":
                self.receive_chunks(stream, answer, on_body)
            else:
                self.receive_length(stream, answer, bytes_per_s)
        except (OSError, ValueError) as error:
            answer.reason = f"{type(error).__name__}: {error}"
        return answer

    @staticmethod
    def receive_chunks(stream, answer, on_body):
        while True:
            line = stream.readline()
            if not line:
                answer.reason = "closed inside the body"
                return
            size = int(line, 16)
            data = stream.read(size + 2)
            if len(data) < size + 2:
                answer.reason = "closed inside a chunk"
                return
            if size == 0:
                answer.is_complete = True
                return
            answer.body += data[:-2]
            if on_body:
                on_body(answer)

    @staticmethod
    def receive_length(stream, answer, bytes_per_s):
        left, parts, block = int(answer.headers["content-length"]), [], 4096
        while left > 0:
            data = stream.read(min(block, left))
            if not data:
                answer.reason = f"closed with {left} bytes missing"
                break
            parts.append(data)
            left -= len(data)
            if bytes_per_s:
                time.sleep(len(data) / bytes_per_s)
        answer.body, answer.is_complete = b"".join(parts), left == 0

    def close(self):
        self.socket.close()


class Case:
    """The fleet of one run, and its record."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.directory, self.processes = pathlib.Path(tempfile.mkdtemp(prefix="review-")), []
        self.store = Store()

    def start_gateways(self, count):
        gateways = [Gateway(self, f"front-ank-a-{number + 1}") for number in range(count)]
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(gateway.is_ready() for gateway in gateways):
            if time.monotonic() > end:
                raise RuntimeError("a gateway didn't become ready")
            time.sleep(0.05)
        return gateways

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def in_parallel(calls):
    """Runs the calls in threads and returns their results."""
    results = [None] * len(calls)

    def run(index, call):
        results[index] = call()
    threads = [threading.Thread(target=run, args=item, daemon=True) for item in enumerate(calls)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def main(folder, test):
    """Calls `test(case)`, which returns a list of what broke the rule, and ends the process with the status of the case."""
    case, status = Case(folder), 2

    def give_up(*_):
        case.record.add("case", "couldn't run: time is over")
        case.close()
        os._exit(2)
    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(RUN_LIMIT_S)
    try:
        broken = test(case)
        for text in broken:
            case.record.add("BROKEN", text)
            print("broken:", text)
        status = 1 if broken else 0
        print("the rule was broken" if broken else "the rule held")
    except Exception:  # noqa: BLE001 - whatever prevents the case from running is reported
        case.record.add("case", "couldn't run", traceback.format_exc())
        traceback.print_exc()
    finally:
        if os.environ.get("KEEP_LOGS"):
            for gateway_log in case.directory.glob("*.log"):
                shutil.copy(gateway_log, os.environ["KEEP_LOGS"])
        case.close()
    sys.stdout.flush()
    os._exit(status)
