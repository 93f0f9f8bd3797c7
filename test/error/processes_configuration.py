"""Real processes agree on one configuration despite concurrent edits, lost responses and store faults.

The store faults are outages, a reset to an old state, and watches that report no changes.
"""

import concurrent.futures
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from processtest import chat, check, http, run_tests, wait_until  # noqa: E402

CONVERGENCE_S = 5


def stored_configuration(fleet):
    result = fleet.ctl("config", "show")
    check(result.returncode == 0, result.stderr)
    return result.stdout


def write_edited_file(fleet, name, old, new):
    """Writes the stored configuration to a file with `old` replaced by `new`; the first line keeps the revision."""
    text = stored_configuration(fleet)
    check(old in text, f"{old!r} isn't in the configuration")
    path = pathlib.Path(fleet.run_dir) / f"{name}.toml"
    path.write_text(text.replace(old, new, 1))
    return str(path)


def revisions(fleet):
    status = json.loads(fleet.ctl("status", "--json").stdout)
    return {p["name"]: p.get("revision", 0) for p in status["processes"]}


def all_have_revision(fleet, revision):
    return set(revisions(fleet).values()) == {revision}


def accept(fleet, path, *more):
    result = fleet.ctl("config", "accept", path, "--json", *more)
    return result.returncode, json.loads(result.stdout or "{}")


def accepted_edit_takes_effect_on_all_processes(fleet):
    path = write_edited_file(fleet, "edit", "queue_limit = 512", "queue_limit = 300")
    started = time.monotonic()
    code, output = accept(fleet, path, "--wait", "--timeout-ms", str(CONVERGENCE_S * 1000))
    check(code == 0 and output["lacking"] == [], f"{code} {output}")
    check(all_have_revision(fleet, output["revision"]), f"{revisions(fleet)}")
    print(f"  in force on all processes after {time.monotonic() - started:.2f} s")


def one_of_two_concurrent_edits_is_refused_with_the_difference(fleet):
    one = write_edited_file(fleet, "one", "queue_limit = 512", "queue_limit = 111")
    two = write_edited_file(fleet, "two", "queue_limit = 512", "queue_limit = 222")
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        outputs = list(pool.map(lambda path: accept(fleet, path), (one, two)))
    check(sorted(code for code, _ in outputs) == [0, 3], f"{outputs}")
    accepted = outputs[0] if outputs[0][0] == 0 else outputs[1]
    refused = outputs[1] if outputs[0][0] == 0 else outputs[0]
    check("queue_limit" in refused[1].get("diff_to_ours", ""), f"no difference in the output: {refused}")
    wait_until(lambda: all_have_revision(fleet, accepted[1]["revision"]), "the accepted edit everywhere", CONVERGENCE_S)


def accept_recovers_from_a_lost_store_response(fleet):
    path = write_edited_file(fleet, "edit", "queue_limit = 512", "queue_limit = 333")
    fleet.control(fleet.store, lose_answers=1)
    code, output = accept(fleet, path, "--wait")
    check(code == 0 and output["state"] == "accepted", f"{code} {output}")
    check(stored_configuration(fleet).count("queue_limit = 333") == 1, "the edit isn't in force")


def accept_reports_not_known_while_the_store_is_down(fleet):
    path = write_edited_file(fleet, "edit", "queue_limit = 512", "queue_limit = 444")
    fleet.control(fleet.store, outage=True)
    code, output = accept(fleet, path, "--timeout-ms", "1500")
    check(code == 4 and output["state"] == "not_known", f"{code} {output}")
    fleet.control(fleet.store, outage=False)
    check("queue_limit = 444" not in stored_configuration(fleet), "an edit with an unknown result took effect later")


def metric(address, name):
    """Returns the value of a metric without labels, or None if the process doesn't respond or lacks the metric."""
    try:
        page = http("GET", address, "/metrics")[1].decode()
    except OSError:
        return None
    values = [line.split()[1] for line in page.splitlines() if line.startswith(name + " ")]
    return float(values[0]) if values else None


def edit_spreads_between_processes_while_the_store_is_down(fleet):
    fleet.control(fleet.store, silence_watches=True)
    time.sleep(0.5)
    path = write_edited_file(fleet, "edit", "queue_limit = 512", "queue_limit = 555")
    code, output = accept(fleet, path)
    check(code == 0, f"{code} {output}")
    # A restarted agent reads the edit from the store. Then the store goes down, and the other processes have to receive
    # the edit from that agent.
    endpoint = fleet.endpoints("plain")[0]
    fleet.signal_process(f"agent-{endpoint['name']}")
    fleet.wait(f"agent-{endpoint['name']}")
    fleet.control(fleet.store, silence_watches=False)
    fleet.control(fleet.store, silence_watches=True)
    fleet.start_agent(endpoint)
    restarted = f"{endpoint['host']}:{endpoint['port']}"
    wait_until(lambda: metric(restarted, "cyclamenturn_configuration_revision") == float(output["revision"]),
               "the new agent")
    fleet.control(fleet.store, outage=True)
    started = time.monotonic()
    addresses = fleet.entries + [f"{e['host']}:{e['port']}" for e in fleet.endpoints()]

    def all_have_the_edit():
        return all(metric(a, "cyclamenturn_configuration_revision") == float(output["revision"]) for a in addresses)

    wait_until(all_have_the_edit, "the edit on all processes", CONVERGENCE_S)
    print(f"  spread between processes in {time.monotonic() - started:.2f} s")


def store_reset_to_an_old_state_never_reverts_a_process(fleet):
    fleet.control(fleet.store, save=True)
    code, output = accept(fleet, write_edited_file(fleet, "edit", "queue_limit = 512", "queue_limit = 666"), "--wait")
    check(code == 0, f"{code} {output}")
    fleet.control(fleet.store, set_back=True)
    wait_until(lambda: "queue_limit = 666" in stored_configuration(fleet), "the repair of the store", CONVERGENCE_S)
    check(all_have_revision(fleet, output["revision"]), f"{revisions(fleet)}")


def process_started_in_an_outage_gets_the_configuration_from_peers(fleet):
    fleet.control(fleet.store, outage=True)
    endpoint = fleet.endpoints("model")[0]
    name = f"agent-{endpoint['name']}"
    fleet.signal_process(name)
    fleet.wait(name)
    fleet.start_agent(endpoint)
    address = f"{endpoint['host']}:{endpoint['port']}"
    wait_until(lambda: http("GET", address, "/readyz")[0] == 200, "an agent started in the outage", CONVERGENCE_S)
    check(chat(fleet, "in the outage")[0] == 200, "no response in the outage")


def invalid_document_is_refused_without_any_change(fleet):
    before = stored_configuration(fleet)
    for name, old, new in (("key", "queue_limit", "queue_limits"), ("class", 'tier = 1', 'tier = 9'),
                           ("reason", 'reason = "', 'reasons = "'), ("target", "class:plan-draft", "class:nothing")):
        code = fleet.ctl("config", "accept", write_edited_file(fleet, name, old, new)).returncode
        check(code == 2, f"{name}: exit code {code}")
    check(stored_configuration(fleet) == before, "a refused document changed the store")


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1], [
        accepted_edit_takes_effect_on_all_processes,
        one_of_two_concurrent_edits_is_refused_with_the_difference,
        accept_recovers_from_a_lost_store_response,
        accept_reports_not_known_while_the_store_is_down,
        edit_spreads_between_processes_while_the_store_is_down,
        store_reset_to_an_old_state_never_reverts_a_process,
        process_started_in_an_outage_gets_the_configuration_from_peers,
        invalid_document_is_refused_without_any_change,
    ]))
