"""Lesson 5: a store outage.

An ordinary request never waits for the store. While the store is unavailable, new dispatches are executed, and resends
of known keys receive the stored response. Only a resend whose decision needs evidence from the store gets the outcome
"unknown".
"""

import json
import time

from lesson import bearer, expect, http, running_fleet, show, wait_until

with running_fleet() as fleet:
    def dispatch(key, attempt, issued_ms):
        headers = {**bearer(fleet, "balancing-desk"), "X-Class": "dispatch", "Idempotency-Key": key,
                   "X-Issued-At": str(issued_ms), "X-Attempt": str(attempt)}
        return http("POST", fleet.entries[0], "/svc/rolekapi/dispatches", b"{}", headers)

    issued_ms = int(time.time() * 1000)
    expect(dispatch("before", 0, issued_ms)[0] == 201, "a dispatch before the outage")
    fleet.control(fleet.store, outage=True)
    show("the store is unavailable")

    expect(dispatch("during", 0, int(time.time() * 1000))[0] == 201, "a new dispatch during the outage")
    show("a new dispatch is executed")
    expect(dispatch("before", 1, issued_ms)[0] == 201, "the stored response")
    show("a resend of a known key receives the stored response")
    status, response = dispatch("never-seen", 1, issued_ms)
    expect(json.loads(response)["error"]["type"] == "unknown", "an unknown outcome")
    show("a resend of an unknown key: " + response.decode())

    fleet.control(fleet.store, outage=False)
    show("the store is available again")
    # An agent can prove that a key has not run only if the key was issued some time after the agent started. A resend
    # is executed only after the first-attempt window of its key.
    time.sleep(1)
    issued_ms = int(time.time() * 1000)
    wait_until(lambda: dispatch("late", 1, issued_ms)[0] == 201, "the execution of a resend")
    show("the evidence proves that the key has not run, so the resend is executed once")
