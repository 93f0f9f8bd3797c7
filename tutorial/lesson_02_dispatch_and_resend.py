"""Lesson 2: a dispatch and its resend.

A dispatch is a request that must not be executed twice, so it contains an idempotency key, the time of issue and the
number of the attempt. A resend contains the same key and time of issue, and receives the response of the earlier run.
"""

import json
import time

from lesson import bearer, expect, http, running_fleet, show

with running_fleet() as fleet:
    def dispatch(entry, attempt, issued_ms):
        headers = {**bearer(fleet, "balancing-desk"), "X-Class": "dispatch", "Idempotency-Key": "shed-4711",
                   "X-Issued-At": str(issued_ms), "X-Attempt": str(attempt)}
        return http("POST", fleet.entries[entry], "/svc/rolekapi/dispatches", b'{"plant": 7, "shed_mw": 3}', headers)

    issued_ms = int(time.time() * 1000)
    status, first_response = dispatch(entry=0, attempt=0, issued_ms=issued_ms)
    expect(status == 201, "the status of the service")
    show(f"first attempt: {status} by {json.loads(first_response)['by']}")

    status, second_response = dispatch(entry=1, attempt=1, issued_ms=issued_ms)
    expect((status, second_response) == (201, first_response), "the same response through the other entry")
    show("resend through the other entry: the same response, and no second run")

    total = 0
    for endpoint in fleet.endpoints("plain"):
        total += json.loads(http("GET", fleet.standin_address(endpoint), "/runs")[1])["runs"].get("shed-4711", 0)
    expect(total == 1, "exactly one run")
    show(f"the services counted {total} run")
