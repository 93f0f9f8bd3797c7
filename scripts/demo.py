"""Runs an example fleet under a mixed load and prints a table with one row for each class."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

from localfleet import LocalFleet

DURATION_MS = 15000
WARM_UP_MS = 2000
# Together these rates use about two thirds of the capacity of an example fleet.
REQUESTS_PER_S_BY_TIER = {0: 20, 1: 30, 2: 40, 3: 25}
MEDIAN_TOKENS_BY_TIER = {1: 80, 3: 250}


def scenario_text(fleet, name, seed, rates=REQUESTS_PER_S_BY_TIER, duration_ms=DURATION_MS, warm_up_ms=WARM_UP_MS,
                  extra_toml=""):
    """The scenario file of cyclamenturn-load for the classes of a fleet.

    `rates` gives the requests per second of each class by its tier; classes of other tiers get no load. `extra_toml` is
    appended to the text.
    """
    engines = [fleet.standin_address(e) for e in fleet.endpoints("model")]
    services = [fleet.standin_address(e) for e in fleet.endpoints("plain")]
    team_keys = list(fleet.local_settings["team_keys"].values())
    exceptions = {e["target"]: e["set"] for e in fleet.document.get("exception", [])}
    lines = [f'name = "{name}"', f"seed = {seed}", f"duration_ms = {duration_ms}", f"warm_up_ms = {warm_up_ms}",
             f"entries = {json.dumps(fleet.entries)}", f"engines = {json.dumps(engines)}",
             f"services = {json.dumps(services)}"]
    for request_class in fleet.document["class"]:
        request_class = {**request_class, **exceptions.get(f"class:{request_class['name']}", {})}
        tier = request_class["tier"]
        if tier not in rates or rates[tier] == 0:
            continue
        is_model = fleet.service_kinds[request_class["service"]] == "model"
        keyed = not request_class.get("idempotent", True)
        lines += ["[[load]]", f'class = "{request_class["name"]}"', f"tier = {tier}", f"rate = {rates[tier]}",
                  f"team_keys = {json.dumps(team_keys)}", f"deadline_ms = {request_class['deadline_ms']}",
                  f"first_byte_ms = {request_class['first_byte_ms']}", f"resends = {3 if keyed else 2}"]
        if is_model:
            lines += [f"tokens_median = {MEDIAN_TOKENS_BY_TIER[tier]}", "tokens_sigma = 0.5"]
        else:
            lines += [f'service = "{request_class["service"]}"', 'path = "/orders/7?full=1"',
                      f'method = "{"POST" if keyed else "GET"}"', f"keyed = {str(keyed).lower()}"]
    return "\n".join(lines) + "\n" + extra_toml


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--example", default="examples/yukdengesi")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        with LocalFleet(arguments.build, arguments.example, directory) as fleet:
            fleet.start()
            scenario = pathlib.Path(directory) / "scenario.toml"
            scenario.write_text(scenario_text(fleet, "demo", arguments.seed))
            load_tool = str(pathlib.Path(arguments.build) / "cyclamenturn-load")
            result = subprocess.run([load_tool, "--scenario", str(scenario)], check=False)
            print(fleet.ctl("status").stdout)
    return result.returncode


if __name__ == "__main__":
    sys.exit(main())
