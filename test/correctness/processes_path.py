"""Requests through real processes from caller to endpoint: streams, relayed calls, many callers and bad input."""

import concurrent.futures
import json
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from processtest import chat, check, dispatch, error_of, http, key_runs, parse_sse, run_tests  # noqa: E402

CALLERS = 200


def streamed_and_unstreamed_responses_are_equal(fleet):
    status, body = chat(fleet, "how much load can line 3 shed?", stream=True)
    check(status == 200, f"status {status}")
    text, complete = parse_sse(body)
    check(complete and len(text.split()) == 20, f"response {text!r}, complete {complete}")
    status, body = chat(fleet, "how much load can line 3 shed?", entry=1)
    check(status == 200, f"status {status}")
    check(json.loads(body)["choices"][0]["message"]["content"] == text, "the streamed and the unstreamed text differ")


def concurrent_callers_receive_their_own_responses(fleet):
    def ask(number):
        return chat(fleet, f"caller {number}", tokens=10 + number % 30, entry=number % 2, stream=True)

    first = [parse_sse(chat(fleet, f"caller {n}", tokens=10 + n % 30, stream=True)[1]) for n in range(8)]
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        responses = [parse_sse(body) for _, body in pool.map(ask, range(CALLERS))]
    check(all(complete for _, complete in responses), "a response was interrupted")
    check(responses[:8] == first, "the same prompt got a different response under load")
    check([len(text.split()) for text, _ in responses] == [10 + n % 30 for n in range(CALLERS)], "wrong lengths")
    check(len({text for text, _ in responses}) == CALLERS, "two callers got the same response")


def plain_calls_keep_method_path_body_and_status(fleet):
    status, body = dispatch(fleet, "k1", body=b"\x00\xffbinary")
    seen = json.loads(body.decode("latin-1"), strict=False)
    check(status == 201, f"status {status}")
    check(seen["method"] == "POST" and seen["path"] == "/dispatches", f"relayed {seen['method']} {seen['path']}")
    check(seen["echo"] == "\x00\xffbinary", f"body {seen['echo']!r}")
    headers = {"Authorization": "Bearer " + fleet.team_key("audit"), "X-Class": "commitment-read"}
    status, body = http("GET", fleet.entries[1], "/svc/rolekapi/plants/7?year=2026&x=%20y", None, headers)
    seen = json.loads(body)
    check(status == 200, f"status {status}")
    check(seen["path"] == "/plants/7?year=2026&x=%20y" and seen["method"] == "GET", f"relayed {seen['path']}")
    check(key_runs(fleet) == {"k1": 1}, f"runs {key_runs(fleet)}")


def bad_input_is_refused_with_type_and_reason(fleet):
    good = {"Authorization": "Bearer " + fleet.team_key("planning"), "X-Class": "shift-question"}
    chat_path = "/v1/chat/completions"
    body = b'{"messages": []}'
    cases = [
        ("unknown team", chat_path, {**good, "Authorization": "Bearer nobody"}, body, 401, "unknown_team"),
        ("no key at all", chat_path, {"X-Class": "shift-question"}, body, 401, "unknown_team"),
        ("unknown class", chat_path, {**good, "X-Class": "royal"}, body, 400, "unknown_class"),
        ("class of another service", "/svc/rolekapi/x", good, body, 400, "unknown_class"),
        ("unknown service", "/svc/nowhere/x", good, body, 404, "unknown_service"),
        ("unknown path", "/other", good, body, 404, "unknown_service"),
        ("body too large", chat_path, good, b"x" * ((1 << 20) + 1), 413, "body_too_large"),
        ("broken JSON", chat_path, good, b'{"messages": [', 400, "bad_request"),
        ("JSON of another shape", chat_path, good, b"[1]", 400, "bad_request"),
        ("stream of another type", chat_path, good, b'{"messages": [], "stream": 3}', 400, "bad_request"),
        ("deep JSON", chat_path, good, b"[" * 100000, 400, "bad_request"),
        ("no idempotency key", "/svc/rolekapi/x", {**good, "X-Class": "dispatch"}, body, 400,
         "missing_idempotency_key"),
    ]
    for name, path, headers, data, expected, reason in cases:
        status, response = http("POST", fleet.entries[0], path, data, headers)
        check(status == expected, f"{name}: status {status}, expected {expected}")
        check(error_of(response) == ("not_run", reason), f"{name}: {response!r}")
    status, _ = chat(fleet, "still alive?")
    check(status == 200, f"status {status} after bad input")


def slow_callers_are_disconnected(fleet):
    host, port = fleet.entries[0].split(":")
    sockets = [socket.create_connection((host, int(port))) for _ in range(20)]
    for number, each in enumerate(sockets):
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        each.sendall(head if number % 2 else head + b"Content-Length: 100\r\n\r\n{")
    end = time.monotonic() + 25
    for each in sockets:
        each.settimeout(max(0.1, end - time.monotonic()))
        while each.recv(4096):
            pass
    check(chat(fleet, "after the slow ones")[0] == 200, "no response after slow callers")


def health_and_metrics_pages_respond(fleet):
    chat(fleet, "count me")
    http("POST", fleet.entries[0], "/svc/nowhere/x", b"", {"Authorization": "Bearer " + fleet.team_key("audit")})
    agents = [f"{e['host']}:{e['port']}" for e in fleet.endpoints()]
    for address in fleet.entries + agents:
        check(http("GET", address, "/healthz")[0] == 200, f"{address} isn't healthy")
        check(http("GET", address, "/readyz")[0] == 200, f"{address} isn't ready")
        check(b"# TYPE" in http("GET", address, "/metrics")[1], f"{address} has no metrics")
    metrics = http("GET", fleet.entries[0], "/metrics")[1].decode()
    for expected in ('cyclamenturn_calls_total{class="shift-question",outcome="served",reason="none"} 1',
                     'outcome="not_run",reason="unknown_service"} 1'):
        check(expected in metrics, f"{expected} not in metrics")


def agents_reject_requests_without_the_fleet_key(fleet):
    endpoint = fleet.endpoints("plain")[0]
    agent = f"{endpoint['host']}:{endpoint['port']}"
    for key in ("", "Bearer wrong-key-wrong-key"):
        for method, path in (("POST", "/v1/calls"), ("POST", "/rpc"), ("GET", "/v1/handshake"),
                             ("DELETE", "/v1/calls/x")):
            status, _ = http(method, agent, path, b"{}", {"Authorization": key})
            check(status == 401, f"{method} {path} with {key!r}: status {status}")


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1], [
        streamed_and_unstreamed_responses_are_equal,
        concurrent_callers_receive_their_own_responses,
        plain_calls_keep_method_path_body_and_status,
        bad_input_is_refused_with_type_and_reason,
        slow_callers_are_disconnected,
        health_and_metrics_pages_respond,
        agents_reject_requests_without_the_fleet_key,
    ]))
