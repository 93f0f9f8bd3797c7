"""Runs load scenarios with faults against real processes, under our policy and two baselines, and prints a table.

Example: python3 scripts/measure.py --example examples/kovacic --scenarios steady,crash --seeds 1,2,3
"""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from demo import scenario_text
from localfleet import LocalFleet

POLICIES = {
    "ours": "",
    "least in flight": 'choice = "least_in_flight"\nqueue = "first_come"\npreempt = false\nrefuse_early = false\n'
                       "headroom = false\nquarantine = false",
    "round robin": 'choice = "round_robin"\nqueue = "first_come"\npreempt = false\nrefuse_early = false\n'
                   "headroom = false\nquarantine = false",
}
# These rates use 60 to 70 % of the capacity of the engines at 5 ms per token.
REQUESTS_PER_S_BY_TIER = {0: 20, 1: 40, 2: 40, 3: 30}
DURATION_MS = 12000
WARM_UP_MS = 2000
FAULT_AT_MS = 4000


def fault_toml(address, **command):
    body = json.dumps(command).replace('"', '\\"')
    return f'[[fault]]\nat_ms = {FAULT_AT_MS}\naddress = "{address}"\nbody = "{body}"\n'


def burst_toml(class_name, factor=3):
    return f'[[burst]]\nclass = "{class_name}"\nfrom_ms = 3000\nto_ms = 6000\nfactor = {factor}\n'


def class_of_tier(fleet, tier):
    return next(c for c in fleet.document["class"] if c["tier"] == tier)["name"]


def poison_load_toml(fleet):
    """Load of one team whose requests crash the engines that execute them."""
    name = class_of_tier(fleet, 1)
    keys = json.dumps(list(fleet.local_settings["team_keys"].values())[:1])
    return (f'[[load]]\nclass = "{name}"\ntier = 7\nrate = 2\nteam_keys = {keys}\npoison = true\n'
            "tokens_median = 50\ndeadline_ms = 8000\n")


def scenario_extra(fleet, name):
    """The faults and bursts of a scenario, as TOML for cyclamenturn-load."""
    engines = [fleet.standin_address(e) for e in fleet.endpoints("model")]
    domain = fleet.endpoints("model")[0]["failure_domain"]
    if name.startswith("burst"):
        return burst_toml(class_of_tier(fleet, int(name[-1])), 6)
    if name == "straggler":
        return fault_toml(engines[0], slow_factor=5)
    if name == "crash":
        return fault_toml(engines[0], crash_ms=2000)
    if name == "store":
        return fault_toml(fleet.store, outage=True)
    if name == "poison":
        return poison_load_toml(fleet)
    if name == "domain":
        domain_endpoints = [e for e in fleet.endpoints() if e["failure_domain"] == domain]
        return "".join(f'[[signal]]\nat_ms = {FAULT_AT_MS}\npid_file = "{fleet.pid_file("agent-" + e["name"])}"\n'
                       'signal = "KILL"\n' for e in domain_endpoints)
    if name == "burst3+crash":
        return burst_toml(class_of_tier(fleet, 3), 6) + fault_toml(engines[0], crash_ms=2000)
    if name == "store+straggler":
        return fault_toml(fleet.store, outage=True) + fault_toml(engines[0], slow_factor=5)
    return ""


def replace_agents(fleet, stop):
    """Replaces the agents one after the other: each is stopped with SIGTERM and started again as a new process."""
    time.sleep(FAULT_AT_MS / 1000)
    for endpoint in fleet.endpoints():
        if stop.is_set():
            return
        name = f"agent-{endpoint['name']}"
        fleet.signal_process(name, signal.SIGTERM)
        fleet.wait(name, 30)
        fleet.start_agent(endpoint)
        time.sleep(0.3)


def run_once(build, example, scenario, policy, seed):
    """Runs a scenario once under a policy and returns the report of cyclamenturn-load."""
    with tempfile.TemporaryDirectory() as directory:
        with LocalFleet(build, example, directory, policy=POLICIES[policy]) as fleet:
            fleet.start()
            text = scenario_text(fleet, scenario, seed, REQUESTS_PER_S_BY_TIER, DURATION_MS, WARM_UP_MS,
                                 scenario_extra(fleet, scenario))
            path = pathlib.Path(directory) / "scenario.toml"
            path.write_text(text)
            stop = threading.Event()
            replacer = threading.Thread(target=replace_agents, args=(fleet, stop))
            if "rolling" in scenario:
                replacer.start()
            report_file = pathlib.Path(directory) / "report.json"
            result = subprocess.run([str(pathlib.Path(build) / "cyclamenturn-load"), "--scenario", str(path),
                                     "--json", str(report_file)], capture_output=True, text=True, check=False)
            stop.set()
            if replacer.is_alive():
                replacer.join()
            if not report_file.exists():
                raise RuntimeError(result.stderr)
            return json.loads(report_file.read_text())


def table_row(scenario, policy, reports):
    """One row of the table, with the range of each figure over the seeds."""
    classes = sorted(reports[0]["classes"].items(), key=lambda item: item[1]["tier"])
    cells = [scenario, policy]
    for name, _ in classes:
        values = [100 * r["classes"][name]["attainment"] for r in reports]
        cells.append(f"{min(values):.1f}" if len(values) == 1 else f"{min(values):.1f}..{max(values):.1f}")
    weighted = [100 * r["weighted_attainment"] for r in reports]
    wasted = [100 * r["wasted_share"] for r in reports]
    lowest = classes[-1][0]
    cells.append(f"{min(weighted):.1f}..{max(weighted):.1f}")
    cells.append(f"{min(wasted):.1f}..{max(wasted):.1f}")
    cells.append(f"{max(r['classes'][lowest]['total_max_ms'] for r in reports) / 1000:.1f}")
    cells.append(str(sum(r["double_runs"] + r["false_not_runs"] for r in reports)
                     + sum(c["wrong"] for r in reports for c in r["classes"].values())))
    return "| " + " | ".join(cells) + " |", [name for name, _ in classes]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--example", default="examples/yukdengesi")
    parser.add_argument("--scenarios", default="steady,burst1,burst3,straggler,crash,store,poison,domain,rolling")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seeds", default="1,2,3")
    arguments = parser.parse_args()
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    header_printed = False
    for scenario in arguments.scenarios.split(","):
        for policy in arguments.policies.split(","):
            reports = [run_once(arguments.build, arguments.example, scenario, policy, seed) for seed in seeds]
            line, classes = table_row(scenario, policy, reports)
            if not header_printed:
                names = ["scenario", "policy", *classes, "weighted", "wasted %", "longest of lowest tier, s",
                         "violations"]
                print("| " + " | ".join(names) + " |\n|" + "---|" * len(names))
                header_printed = True
            print(line, flush=True)
            for report in reports:
                reasons = {f"{name} {k}": v for name, c in report["classes"].items() for k, v in c["failures"].items()}
                print(f"  seed {report['seed']}: {reasons}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
