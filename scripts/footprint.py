"""Measures the control overhead of an idle entry and an idle agent, by the size of the configuration document.

For each size it starts a store, one agent and one entry on loopback, activates a document with that many endpoints and
teams, and measures processor time, memory, heartbeats and store calls of both processes over IDLE_S seconds.
"""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

from localfleet import LocalFleet, http, wait_until

DOCUMENT_SIZES = [(75, 900), (150, 1800), (300, 3600), (600, 7300)]
IDLE_S = 10
# HTTP text of one handshake: a request of 173 bytes and a response of 310 bytes, without TCP and IP headers.
HEARTBEAT_BYTES = 483


def large_document(fleet, endpoints, teams):
    """The example's document with additional teams, and additional endpoints at which no process listens."""
    parts = [fleet.fleet_file.read_text()]
    for i in range(endpoints):
        parts.append(f'[[endpoint]]\nname = "far-{i}"\nservice = "asistan"\nhost = "127.0.0.1"\nport = {30000 + i}\n'
                     f'failure_domain = "ank-a"\n')
    for i in range(teams):
        parts.append(f'[[team]]\nname = "team-{i}"\nkey_hash = "{i:064x}"\n')
    return "\n".join(parts)


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def counter(address, name):
    metrics_text = http("GET", address, "/metrics")[1].decode()
    match = re.search(rf"^{name}(?:\{{[^}}]*\}})? ([0-9.e+]+)$", metrics_text, re.M)
    return float(match.group(1)) if match else 0


def measure(build, endpoints, teams):
    with tempfile.TemporaryDirectory() as directory:
        with LocalFleet(build, "examples/yukdengesi", directory) as fleet:
            endpoint = fleet.endpoints("plain")[0]
            fleet.spawn("store", "standin-store", "--listen", fleet.store)
            fleet.start_agent(endpoint)
            fleet.start_entry(0)
            fleet.write_ctl_settings()
            document = pathlib.Path(directory) / "large.toml"
            document.write_text(large_document(fleet, endpoints, teams))
            agent = f"{endpoint['host']}:{endpoint['port']}"
            result = subprocess.run([f"{build}/cyclamenturnctl", "--config", f"{directory}/ctl.toml", "config",
                                     "accept", str(document), "--base", "0"],
                                    capture_output=True, text=True, check=False)
            if result.returncode != 0:
                raise RuntimeError(result.stderr)
            wait_until(lambda: all(http("GET", a, "/readyz")[0] == 200 for a in (agent, fleet.entries[0])),
                       "the agent and the entry")
            time.sleep(2)
            start_values = {}
            for role, name, address in (("entry", "entry-1", fleet.entries[0]),
                                        ("agent", f"agent-{endpoint['name']}", agent)):
                start_values[role] = [fleet.processes[name].pid, address, cpu_seconds(fleet.processes[name].pid),
                                      counter(address, "cyclamenturn_heartbeats_total"),
                                      counter(address, "cyclamenturn_store_calls")]
            time.sleep(IDLE_S)
            for role, (pid, address, cpu_s, heartbeats, store_calls) in start_values.items():
                heartbeats = (counter(address, "cyclamenturn_heartbeats_total") - heartbeats) / IDLE_S
                print(f"{endpoints:5} endpoints {teams:5} teams  {role}: "
                      f"{100 * (cpu_seconds(pid) - cpu_s) / IDLE_S:.2f} % of a core, {resident_mb(pid):.1f} MB, "
                      f"{heartbeats:.1f} heartbeats/s = {heartbeats * HEARTBEAT_BYTES:.0f} B/s, "
                      f"{(counter(address, 'cyclamenturn_store_calls') - store_calls) / IDLE_S:.2f} store calls/s",
                      flush=True)


if __name__ == "__main__":
    for size in DOCUMENT_SIZES:
        measure(sys.argv[1] if len(sys.argv) > 1 else "build", *size)
