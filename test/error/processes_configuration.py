"""One settled configuration with real processes: races, lost answers, outages, a store set back, a silent watch."""

import concurrent.futures
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from processtest import chat, check, http, run_tests, wait_until  # noqa: E402

IN_FORCE_S = 5


def shown(fleet):
    result = fleet.ctl("config", "show")
    check(result.returncode == 0, result.stderr)
    return result.stdout


def edited(fleet, name, old, new):
    """A file with the configuration in the store, one text replaced; its first line keeps the revision."""
    text = shown(fleet)
    check(old in text, f"{old!r} isn't in the configuration")
    path = pathlib.Path(fleet.run_dir) / f"{name}.toml"
    path.write_text(text.replace(old, new, 1))
    return str(path)


def revisions(fleet):
    status = json.loads(fleet.ctl("status", "--json").stdout)
    return {p["name"]: p.get("revision", 0) for p in status["processes"]}


def all_have(fleet, revision):
    return set(revisions(fleet).values()) == {revision}


def accept(fleet, path, *more):
    result = fleet.ctl("config", "accept", path, "--json", *more)
    return result.returncode, json.loads(result.stdout or "{}")


def an_accepted_edit_is_in_force_everywhere_in_seconds(fleet):
    path = edited(fleet, "edit", "queue_limit = 512", "queue_limit = 300")
    started = time.monotonic()
    code, answer = accept(fleet, path, "--wait", "--timeout-ms", str(IN_FORCE_S * 1000))
    check(code == 0 and answer["lacking"] == [], f"{code} {answer}")
    check(all_have(fleet, answer["revision"]), f"{revisions(fleet)}")
    print(f"  in force on all processes after {time.monotonic() - started:.2f} s")


def of_two_edits_at_once_one_wins_and_the_other_is_told(fleet):
    one = edited(fleet, "one", "queue_limit = 512", "queue_limit = 111")
    two = edited(fleet, "two", "queue_limit = 512", "queue_limit = 222")
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(pool.map(lambda path: accept(fleet, path), (one, two)))
    check(sorted(code for code, _ in answers) == [0, 3], f"{answers}")
    winner = answers[0] if answers[0][0] == 0 else answers[1]
    loser = answers[1] if answers[0][0] == 0 else answers[0]
    check("queue_limit" in loser[1].get("diff_to_ours", ""), f"the loser wasn't shown the difference: {loser}")
    wait_until(lambda: all_have(fleet, winner[1]["revision"]), "the winner's edit everywhere", IN_FORCE_S)


def a_lost_answer_is_looked_up(fleet):
    path = edited(fleet, "edit", "queue_limit = 512", "queue_limit = 333")
    fleet.control(fleet.store, lose_answers=1)
    code, answer = accept(fleet, path, "--wait")
    check(code == 0 and answer["state"] == "accepted", f"{code} {answer}")
    check(shown(fleet).count("queue_limit = 333") == 1, "the edit isn't in force")


def a_silent_store_is_never_guessed_about(fleet):
    path = edited(fleet, "edit", "queue_limit = 512", "queue_limit = 444")
    fleet.control(fleet.store, outage=True)
    code, answer = accept(fleet, path, "--timeout-ms", "1500")
    check(code == 4 and answer["state"] == "not_known", f"{code} {answer}")
    fleet.control(fleet.store, outage=False)
    check("queue_limit = 444" not in shown(fleet), "an edit that was given up took effect")


def metric(address, name):
    """The value of a metric without labels, or None while the process isn't there or lacks it."""
    try:
        page = http("GET", address, "/metrics")[1].decode()
    except OSError:
        return None
    values = [line.split()[1] for line in page.splitlines() if line.startswith(name + " ")]
    return float(values[0]) if values else None


def an_edit_spreads_with_the_store_down_and_with_silent_watches(fleet):
    fleet.control(fleet.store, silence_watches=True)
    time.sleep(0.5)
    path = edited(fleet, "edit", "queue_limit = 512", "queue_limit = 555")
    code, answer = accept(fleet, path)
    check(code == 0, f"{code} {answer}")
    # One process learns of it by a restart; the store goes down, and the others learn from that one.
    endpoint = fleet.endpoints("plain")[0]
    fleet.signal_process(f"agent-{endpoint['name']}")
    fleet.wait(f"agent-{endpoint['name']}")
    fleet.control(fleet.store, silence_watches=False)
    fleet.control(fleet.store, silence_watches=True)
    fleet.start_agent(endpoint)
    restarted = f"{endpoint['host']}:{endpoint['port']}"
    wait_until(lambda: metric(restarted, "cyclamenturn_configuration_revision") == float(answer["revision"]), "the new agent")
    fleet.control(fleet.store, outage=True)
    started = time.monotonic()
    addresses = fleet.entries + [f"{e['host']}:{e['port']}" for e in fleet.endpoints()]

    def in_force():
        return all(metric(a, "cyclamenturn_configuration_revision") == float(answer["revision"]) for a in addresses)

    wait_until(in_force, "the edit on all processes", IN_FORCE_S)
    print(f"  spread between processes in {time.monotonic() - started:.2f} s")


def a_store_set_back_never_reverts_a_process(fleet):
    fleet.control(fleet.store, save=True)
    code, answer = accept(fleet, edited(fleet, "edit", "queue_limit = 512", "queue_limit = 666"), "--wait")
    check(code == 0, f"{code} {answer}")
    fleet.control(fleet.store, set_back=True)
    wait_until(lambda: "queue_limit = 666" in shown(fleet), "the repair of the store", IN_FORCE_S)
    check(all_have(fleet, answer["revision"]), f"{revisions(fleet)}")


def a_process_started_in_an_outage_learns_from_its_peers(fleet):
    fleet.control(fleet.store, outage=True)
    endpoint = fleet.endpoints("model")[0]
    name = f"agent-{endpoint['name']}"
    fleet.signal_process(name)
    fleet.wait(name)
    fleet.start_agent(endpoint)
    address = f"{endpoint['host']}:{endpoint['port']}"
    wait_until(lambda: http("GET", address, "/readyz")[0] == 200, "an agent started in the outage", IN_FORCE_S)
    check(chat(fleet, "in the outage")[0] == 200, "no answer in the outage")


def a_wrong_document_is_refused_as_a_whole(fleet):
    before = shown(fleet)
    for name, old, new in (("key", "queue_limit", "queue_limits"), ("class", 'tier = 1', 'tier = 9'),
                           ("reason", 'reason = "', 'reasons = "'), ("target", "class:plan-draft", "class:nothing")):
        code = fleet.ctl("config", "accept", edited(fleet, name, old, new)).returncode
        check(code == 2, f"{name}: exit code {code}")
    check(shown(fleet) == before, "a refused document changed the store")


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1], [
        an_accepted_edit_is_in_force_everywhere_in_seconds,
        of_two_edits_at_once_one_wins_and_the_other_is_told,
        a_lost_answer_is_looked_up,
        a_silent_store_is_never_guessed_about,
        an_edit_spreads_with_the_store_down_and_with_silent_watches,
        a_store_set_back_never_reverts_a_process,
        a_process_started_in_an_outage_learns_from_its_peers,
        a_wrong_document_is_refused_as_a_whole,
    ]))
