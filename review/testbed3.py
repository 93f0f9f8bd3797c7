"""Runs gateways with the command and the settings of the deploy file, against stand-ins of the platform, on loopback.

Each run takes an own network of the loopback range, so that all VMs can have the same ports, as on the platform. The
bounds are those of the deployment ydt-akis. The stand-ins of endpoints and of the store are those of the process tests.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "error"))
import gatewayfleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {"stable_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 108}
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 25
CALLERS_PORT, CONTROL_PORT, READINESS_PORT, INTERNAL_PORT = 8740, 8748, 8749, 7200


def field_of(fields, path):
    value = fields
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else (value[int(name)] if value is not None else None)
    return value


def render(template, fields):
    """Fills in the parts of the template language that the project's templates use."""
    def section(match):
        return match.group(2) if field_of(fields, match.group(1)) else ""

    def placeholder(match):
        value = field_of(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)
    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def deploy_file():
    """Returns the command, the template and the templates of the environment of the role that serves callers."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1)
    template = re.search(r'^template = "(.*)"$', text, re.MULTILINE).group(1)
    environment = dict(re.findall(r'^([A-Z_]+) = """\n(.*?)"""$', text, re.MULTILINE | re.DOTALL))
    with open(os.path.join(ROOT, template), encoding="utf-8") as file:
        return run.split(), file.read(), environment


class Record:
    """What was sent, answered and run, with the seconds since the start of the run."""

    def __init__(self, directory):
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")  # noqa: SIM115

    def now(self):
        return time.monotonic() - self.start

    def add(self, text, at=None):
        with self.lock:
            self.file.write(f"{self.now() if at is None else at:8.3f} {text}\n")
            self.file.flush()


class Gateway:
    """One gateway process on a VM of its own."""

    def __init__(self, testbed, number):
        self.name, self.ip = f"front-{number}", f"{testbed.network}.{number}"
        self.testbed, self.log = testbed, os.path.join(testbed.directory, f"front-{number}.log")
        self.settings_file = os.path.join(testbed.directory, f"front-{number}.toml")
        self.start()

    def start(self):
        command, template, environment = deploy_file()
        fields = {"node_name": self.name, "zone": "ank-a", "ip": self.ip,
                  "listen": {"front": f"{self.ip}:{CALLERS_PORT}", "ready": f"{self.ip}:{READINESS_PORT}",
                             "control": f"{self.ip}:{CONTROL_PORT}"},
                  "internal_ports": [INTERNAL_PORT, INTERNAL_PORT + 15], "bounds": BOUNDS,
                  "limits": self.testbed.limits, "contracts": self.testbed.contracts,
                  "provider": {"addr": self.testbed.store_address()}, "cloud_api": None}
        with open(self.settings_file, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CYCLAMENTURN_CONFIG"] = self.settings_file
        env.update({name: render(text, fields) for name, text in environment.items()})
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, READINESS_PORT, timeout=1)
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Testbed:
    """The processes and stand-ins of one run; ends them all when the run ends."""

    def __init__(self, directory, store, gateways=4, memory_mb=182, max_fds=2870):
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.record, self.store, self.gateways = Record(directory), store, []
        self.contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
        self.network = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        self.gateway_count, self.limits = gateways, {"memory_mb": memory_mb, "max_fds": max_fds}

    def store_address(self):
        return f"127.0.0.1:{self.store.server.port}"

    def __enter__(self):
        self.gateways = [Gateway(self, number + 1) for number in range(self.gateway_count)]
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > end:
                self.end()
                raise TimeoutError("the gateways didn't get ready")
            time.sleep(0.1)
        return self

    def __exit__(self, *_):
        self.end()

    def end(self):
        for gateway in self.gateways:
            gateway.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory)
        self.record.file.close()

    def call(self, gateway, method, path, key="key-1", deadline_ms=1000, body=None, attempt=None, **headers):
        """Sends a request over a new connection. Returns (status, seal, body, id); status 0: no complete answer."""
        attempt = attempt or os.urandom(8).hex()
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms),
                  "Authorization": f"Bearer {key}", "Connection": "close"}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        sent_at = self.record.now()
        status, seal, text = 0, None, b""
        try:
            connection = http.client.HTTPConnection(gateway.ip, CALLERS_PORT, timeout=deadline_ms / 1000 + 0.5)
            connection.request(method, path, body, fields)
            response = connection.getresponse()
            text = response.read()
            status, seal = response.status, response.getheader("X-Server-Seal")
        except (OSError, http.client.HTTPException, socket.timeout):
            pass
        self.record.add(f"request {attempt} {method} {path} key={key} to {gateway.name}: {status} seal={seal} "
                        f"answered at {self.record.now():.3f}", sent_at)
        return status, seal, text, attempt


def main(run, directory):
    """Runs `run(directory)`, which returns the number of violations, and exits with the result."""
    def interrupted(*_):
        raise KeyboardInterrupt
    signal.signal(signal.SIGTERM, interrupted)
    try:
        violations = run(directory)
    except Exception as error:  # noqa: BLE001 - any failure means that the case couldn't run
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    print(f"{'broken' if violations else 'held'}: {violations} violations")
    sys.exit(BROKEN if violations else HELD)
