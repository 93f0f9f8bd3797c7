"""Helpers for the tests that run a fleet of real processes."""

import hashlib
import json
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from localfleet import LocalFleet, http, wait_until  # noqa: E402

EXAMPLE = ROOT / "examples" / "yukdengesi"


def small_fleet(build, directory, **options):
    """Returns the example fleet reduced to four model endpoints and three plain endpoints."""
    fleet = LocalFleet(build, EXAMPLE, directory, **options)
    endpoint_names = {f"asistan-{i}" for i in range(1, 5)} | {f"rolekapi-{i}" for i in range(1, 4)}
    text = fleet.fleet_file.read_text()
    parts = text.split("[[endpoint]]")
    kept_parts = [p for p in parts[1:-1] if p.split('"')[1] in endpoint_names]
    last = parts[-1]
    text_after_endpoints = last[last.index("[[team]]"):]
    fleet.fleet_file = pathlib.Path(directory) / "fleet.toml"
    fleet.fleet_file.write_text("[[endpoint]]".join([parts[0], *kept_parts]) + text_after_endpoints)
    fleet.document["endpoint"] = [e for e in fleet.document["endpoint"] if e["name"] in endpoint_names]
    return fleet


def chat(fleet, text, tokens=20, entry=0, key="shift-ankara", class_name="shift-question", stream=False, timeout=30):
    """Sends one chat completion request and returns its status and body."""
    body = {"messages": [{"role": "user", "content": text}], "stream": stream, "x_tokens": tokens}
    headers = {"Authorization": "Bearer " + fleet.team_key(key), "X-Class": class_name}
    return http("POST", fleet.entries[entry], "/v1/chat/completions", json.dumps(body).encode(), headers, timeout)


def dispatch(fleet, key, entry=0, attempt=0, issued_ms=None, body=b'{"shed_mw": 3}', timeout=10):
    """Sends one dispatch, a request that must not run twice, and returns its status and body."""
    headers = {"Authorization": "Bearer " + fleet.team_key("balancing-desk"), "X-Class": "dispatch",
               "Idempotency-Key": key, "X-Issued-At": str(issued_ms or int(time.time() * 1000)),
               "X-Attempt": str(attempt)}
    return http("POST", fleet.entries[entry], "/svc/rolekapi/dispatches", body, headers, timeout)


def key_runs(fleet):
    """Returns how often each idempotency key has run, summed over all plain endpoints."""
    run_counts = {}
    for endpoint in fleet.endpoints("plain"):
        status, body = http("GET", fleet.standin_address(endpoint), "/runs")
        if status == 200:
            for key, count in json.loads(body)["runs"].items():
                run_counts[key] = run_counts.get(key, 0) + count
    return run_counts


def error_of(body):
    """Returns the type and the reason from an error body."""
    error = json.loads(body)["error"]
    return error["type"], error["reason"]


def run_tests(build, tests, **options):
    """Runs each test on a small fleet of its own, prints the results and returns the exit status."""
    failed = 0
    for test in tests:
        with tempfile.TemporaryDirectory() as directory:
            with small_fleet(build, directory, **options) as fleet:
                try:
                    fleet.start()
                    test(fleet)
                    print(f"passed {test.__name__}", flush=True)
                except Exception as error:  # a failed test is reported and does not stop the others
                    failed += 1
                    print(f"FAILED {test.__name__}: {type(error).__name__}: {error}", flush=True)
                    for log in sorted(pathlib.Path(directory).glob("*.log")):
                        tail = log.read_text(errors="replace").splitlines()[-4:]
                        print(f"  {log.name}:", *tail, sep="\n    ")
    print(f"{len(tests) - failed} passed, {failed} failed")
    return 1 if failed else 0


def check(condition, message):
    """Fails the test unless the condition holds; unlike assert it also works under python -O."""
    if not condition:
        raise AssertionError(message)


def parse_sse(body):
    """Returns the text of a streamed response and whether its end mark was received."""
    text = ""
    complete = False
    for line in body.decode().splitlines():
        if line == "data: [DONE]":
            complete = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            for choice in event.get("choices", []):
                text += choice["delta"].get("content", "")
    return text, complete


def sha(text):
    return hashlib.sha256(text.encode()).hexdigest()
