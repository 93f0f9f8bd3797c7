"""Starts the fleet of an example's fleet.toml on loopback: stand-ins, agents and entries, each a separate process.

The stand-ins simulate the engines, the services, the store and the VM list.

Used by run-demo, the tutorial, the tests with real processes and the measurements. All processes that it has started
are stopped at the end, by process id.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request

from portlease import locked_file

ENTRY_COUNT = 2
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15


def http(method, address, path, body=None, headers=None, timeout=5):
    """Returns status and body of one HTTP exchange; status 0 if no response was received."""
    request = urllib.request.Request(f"http://{address}{path}", method=method, data=body, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, ValueError):
        return 0, b""


class LocalFleet:
    """One fleet on loopback.

    Ports: the store listens on `base_port` of local.toml, the VM list on the next port, and the entries on the ports
    after that. The agent of an endpoint listens on the endpoint's port in fleet.toml, and its stand-in on that
    port + 1000.

    `policy` is TOML text for the [policy] section of agents and entries. `standin_options` overrides `token_us`,
    `prefill_ms` and `work_ms` of local.toml.
    """

    def __init__(self, build, example, run_dir, policy="", standin_options=None):
        self.build = pathlib.Path(build).resolve()
        self.run_dir = pathlib.Path(run_dir)
        self.run_dir.mkdir(parents=True, exist_ok=True)
        self.fleet_file = pathlib.Path(example) / "fleet.toml"
        self.document = tomllib.loads(self.fleet_file.read_text())
        self.local_settings = tomllib.loads((pathlib.Path(example) / "local.toml").read_text())
        self.base_port = self.local_settings["base_port"]
        self.policy = policy
        self.standin_options = standin_options or {}
        self.processes = {}
        self.port_lock = None
        self.service_kinds = {service["name"]: service["kind"] for service in self.document["service"]}

    @property
    def store(self):
        return f"127.0.0.1:{self.base_port}"

    @property
    def vm_list(self):
        return f"127.0.0.1:{self.base_port + 1}"

    @property
    def entries(self):
        return [f"127.0.0.1:{self.base_port + 2 + i}" for i in range(ENTRY_COUNT)]

    def endpoints(self, kind=None):
        """The endpoints of services of a kind ("model" or "plain"), or all endpoints."""
        return [e for e in self.document["endpoint"] if kind is None or self.service_kinds[e["service"]] == kind]

    def standin_address(self, endpoint):
        return f"127.0.0.1:{endpoint['port'] + 1000}"

    def team_key(self, team):
        return self.local_settings["team_keys"][team]

    def pid_file(self, name):
        return self.run_dir / f"{name}.pid"

    def spawn(self, name, *command):
        """Starts one process, and writes its log and process id to the run directory."""
        log = open(self.run_dir / f"{name}.log", "ab")
        process = subprocess.Popen([str(self.build / command[0]), *map(str, command[1:])], stdout=log, stderr=log)
        self.processes[name] = process
        self.pid_file(name).write_text(str(process.pid))
        return process

    def start_standins(self):
        self.spawn("store", "standin-store", "--listen", self.store)
        self.spawn("vmlist", "standin-vmlist", "--listen", self.vm_list)
        for endpoint in self.endpoints():
            self.start_standin(endpoint)

    def start_standin(self, endpoint):
        """Starts the stand-in that serves the requests of an endpoint."""
        address = self.standin_address(endpoint)
        name = f"standin-{endpoint['name']}"
        if self.service_kinds[endpoint["service"]] == "model":
            self.spawn(name, "standin-engine", "--listen", address, "--slots", endpoint.get("slots", 8),
                       "--token-us", self.standin_options.get("token_us", self.local_settings["token_us"]),
                       "--prefill-ms", self.standin_options.get("prefill_ms", self.local_settings["prefill_ms"]))
        else:
            self.spawn(name, "standin-service", "--listen", address, "--name", endpoint["name"],
                       "--work-ms", self.standin_options.get("work_ms", self.local_settings["work_ms"]))

    def common_settings(self, role, name, vm, domain, listen):
        """The settings that agents and entries have in common, as TOML."""
        key_file = self.run_dir / "fleet.key"
        if not key_file.exists():
            key_file.write_text("local-fleet-key-0001\n")
        seeds = json.dumps([a for a in self.entries if a != listen])
        return (f'role = "{role}"\nname = "{name}"\nvm = "{vm}"\nfailure_domain = "{domain}"\nlisten = "{listen}"\n'
                f'store = "{self.store}"\nvm_list = "{self.vm_list}"\nseeds = {seeds}\n'
                f'fleet_key_file = "{key_file}"\n')

    def start_agent(self, endpoint, vm=None):
        name = endpoint["name"]
        listen = f"{endpoint['host']}:{endpoint['port']}"
        text = self.common_settings("agent", f"agent-{name}", vm or f"vm-{name}", endpoint["failure_domain"], listen)
        text += (f'[agent]\nendpoint = "{name}"\nservice = "{endpoint["service"]}"\n'
                 f'address = "{self.standin_address(endpoint)}"\n[policy]\n{self.policy}\n')
        settings = self.run_dir / f"agent-{name}.toml"
        settings.write_text(text)
        self.spawn(f"agent-{name}", "cyclamenturnd", "--config", settings)

    def start_entry(self, index):
        domains = self.local_settings["entry_domains"]
        listen = self.entries[index]
        text = self.common_settings("entry", f"entry-{index + 1}", f"vm-entry-{index + 1}",
                                    domains[index % len(domains)], listen)
        settings = self.run_dir / f"entry-{index + 1}.toml"
        settings.write_text(text + f"threads = 2048\n[policy]\n{self.policy}\n")
        self.spawn(f"entry-{index + 1}", "cyclamenturnd", "--config", settings)

    def write_ctl_settings(self):
        (self.run_dir / "ctl.toml").write_text(
            f'store = "{self.store}"\nfleet_key_file = "{self.run_dir / "fleet.key"}"\n'
            f"entries = {json.dumps(self.entries)}\n")

    def ctl(self, *arguments):
        """Runs cyclamenturnctl and returns the completed process with its output."""
        command = [str(self.build / "cyclamenturnctl"), "--config", str(self.run_dir / "ctl.toml"), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def start(self, accept=True):
        """Starts all processes; with `accept`, also accepts fleet.toml and waits until all processes are ready.

        Waits until no other run uses the ports of the example.
        """
        self.port_lock = locked_file(f"fleet-{self.base_port}", blocking=True)
        self.start_standins()
        wait_until(lambda: http("GET", self.store, "/kv?prefix=x")[0] == 200, "the store")
        for endpoint in self.endpoints():
            self.start_agent(endpoint)
        for index in range(ENTRY_COUNT):
            self.start_entry(index)
        self.write_ctl_settings()
        if accept:
            self.accept_initial_configuration()

    def accept_initial_configuration(self):
        result = self.ctl("config", "accept", str(self.fleet_file), "--base", "0", "--wait")
        if result.returncode != 0:
            raise RuntimeError(f"initial configuration not accepted: {result.stdout} {result.stderr}")
        wait_until(self.is_ready, "all processes")

    def is_ready(self):
        addresses = self.entries + [f"{e['host']}:{e['port']}" for e in self.endpoints()]
        return all(http("GET", a, "/readyz")[0] == 200 for a in addresses)

    def signal_process(self, name, signal_number=signal.SIGTERM):
        """Sends a signal to one of the started processes."""
        self.processes[name].send_signal(signal_number)

    def wait(self, name, timeout=STOP_TIMEOUT_S):
        """Waits until a process has exited, and returns its exit status."""
        return self.processes[name].wait(timeout)

    def control(self, address, **command):
        """Sends a command to the stand-in at an address, for example to inject a fault; returns status and body."""
        return http("POST", address, "/control", json.dumps(command).encode())

    def stop(self):
        """Kills all processes that still run, and waits for their exit."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.port_lock is not None:
            self.port_lock.close()

    def __enter__(self):
        # Turns SIGTERM into a normal exit, so that the processes of the fleet are also stopped then.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return self

    def __exit__(self, *_):
        self.stop()


def wait_until(condition, what, timeout=START_TIMEOUT_S):
    """Waits until a condition is true; raises TimeoutError if it is not within `timeout` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"timed out waiting for {what}")
