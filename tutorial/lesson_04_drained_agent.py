"""Lesson 4: an endpoint drained under load.

A drain is an exception in the configuration, with a reason. The endpoint completes its current requests and receives no
new ones. Callers are not affected.
"""

import concurrent.futures
import json
import time

from lesson import bearer, expect, http, running_fleet, show

with running_fleet() as fleet:
    endpoint = fleet.endpoints("model")[0]

    def request_plan(number):
        headers = {**bearer(fleet, "planning"), "X-Class": "plan-draft"}
        body = {"messages": [{"role": "user", "content": f"plan {number}"}], "x_tokens": 60}
        return http("POST", fleet.entries[number % 2], "/v1/chat/completions", json.dumps(body).encode(), headers)[0]

    def runs():
        return json.loads(http("GET", fleet.standin_address(endpoint), "/stats")[1])["runs"]

    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        jobs = [pool.submit(request_plan, number) for number in range(60)]
        result = fleet.ctl("drain", endpoint["name"], "--reason", "its power supply is changed", "--wait")
        expect(result.returncode == 0, "an accepted drain")
        show(result.stdout.strip())
        expect({job.result() for job in jobs} == {200}, "a response to every call")
    show("60 calls during the drain: all received a response")

    time.sleep(1)
    before = runs()
    with concurrent.futures.ThreadPoolExecutor(30) as pool:
        expect(set(pool.map(request_plan, range(60))) == {200}, "a response to every call")
    expect(runs() == before, "no new requests at the drained endpoint")
    show(f"60 calls after the drain: all received a response, none from {endpoint['name']}")
