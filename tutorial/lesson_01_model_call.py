"""Lesson 1: one model call.

A caller sends its team's key, the name of a request class, and a chat-completions request to an entry, a process that
routes requests. The entry looks up the service of the class and chooses an endpoint. The agent of that endpoint decides
when the engine starts the request.
"""

import json

from lesson import bearer, expect, http, running_fleet, show

with running_fleet() as fleet:
    headers = {**bearer(fleet, "shift-ankara"), "X-Class": "shift-question"}
    body = {"messages": [{"role": "user", "content": "How much load can furnace 3 shed at six?"}]}
    status, response = http("POST", fleet.entries[0], "/v1/chat/completions", json.dumps(body).encode(), headers)
    expect(status == 200, "a complete response")
    show("complete response: " + json.loads(response)["choices"][0]["message"]["content"][:60] + "...")

    body["stream"] = True
    status, response = http("POST", fleet.entries[1], "/v1/chat/completions", json.dumps(body).encode(), headers)
    expect(response.rstrip().endswith(b"data: [DONE]"), "a stream that ends with [DONE]")
    show(f"streamed: {response.count(b'data: ') - 2} tokens, then [DONE], which ends only a complete stream")

    status, response = http("POST", fleet.entries[0], "/v1/chat/completions", json.dumps(body).encode(),
                            {**headers, "X-Class": "no-such-class"})
    expect(status == 400, "a refusal of the unknown class")
    show(f"refused: {response.decode()}")
