"""A worker answers a long request before it has read its body, keeps the connection, and reads on later."""
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, __file__.rsplit("/", 2)[0])
from fleet import Client, TROUBLE, Worker, configuration, in_parallel, main, route  # noqa: E402

# The mean size of the site's `plan-draft` requests, and one below `max_body_bytes`, which is 4,194,304.
USUAL_BYTES, LONG_BYTES = 18_000, 1_000_000
ANSWERS_FOR_EACH_EARLY_ONE = 34
ROUNDS, USUAL_REQUESTS_IN_ROUND, SPACING_S = 12, 60, 0.05
# Longer than the gateway keeps an idle connection of a worker that states no time-out.
PAUSE_S = 2.5
READS_ON_AFTER_S = 0.5
ROUNDS_UNTIL_S = 85


def body_of(attempt, size):
    """A body that tells to which request each of its bytes belongs."""
    return (attempt.encode() * (size // len(attempt) + 1))[:size]


class Faulty:
    """The worker with the fault: it rejects at most one of ANSWERS_FOR_EACH_EARLY_ONE requests early."""

    def __init__(self):
        self.answers, self.early, self.broken = 0, 0, []

    def run(self, worker, connection, stream, request):
        self.answers += 1
        if TROUBLE and request.body_bytes == LONG_BYTES and (self.early + 1) * ANSWERS_FOR_EACH_EARLY_ONE <= self.answers:
            self.early += 1
            worker.case.record.add("worker", worker.name, "rejects early", request.id, f"bytes={request.body_bytes}")
            connection.sendall(Worker.head(request, 503, {"X-Not-Executed": "1", "Content-Length": 0}))
            time.sleep(READS_ON_AFTER_S)
            self.read_rest(worker, stream, request)
            return True
        return answer(worker, connection, stream, request)

    def read_rest(self, worker, stream, request):
        body, expected = b"", body_of(request.id, request.body_bytes)
        while len(body) < len(expected) and (part := stream.read1(len(expected) - len(body))):
            body += part
        own = next((i for i in range(len(body)) if body[i] != expected[i]), len(body))
        worker.case.record.add("worker", worker.name, "read the body of", request.id, f"own bytes={own} of {len(expected)}",
                               f"then other bytes={len(body) - own}", body[own:own + 120])
        if own < len(body):
            self.broken.append(f"UNASKED: {len(body) - own} bytes that aren't the client's where the rest of the body of "
                               f"{request.id} is due")


def answer(worker, connection, stream, request):
    body = stream.read(request.body_bytes)
    if len(body) < request.body_bytes:
        worker.case.record.add("worker", worker.name, "got", len(body), "of", request.body_bytes, "bytes of", request.id)
        return False
    worker.case.record.add("worker", worker.name, "runs", request.id, f"bytes={len(body)}")
    time.sleep(0.02)
    connection.sendall(Worker.head(request, 200, {"Content-Length": 2}) + b"ok")
    return True


def test(case):
    case.store.put("op/config", configuration([
        route("plan-draft", "asistan", "non_idempotent", timeout_ms=4000, slo_ms=500, priority=1)]))
    faulty = Faulty()
    Worker(case, "i-1", "asistan", faulty.run, has_small_window=True)
    Worker(case, "i-2", "asistan", answer)
    gateway, = case.start_gateways(1)

    def request(size, delay):
        time.sleep(delay)
        client = Client(case, gateway)
        attempt = client.send("POST", "/plan-draft/a", lambda attempt: body_of(attempt, size), deadline_ms=4000)
        received = client.receive()
        client.close()
        case.record.add("client", "receives", attempt, received)
        return received.status
    statuses, end = [], time.monotonic() + ROUNDS_UNTIL_S
    for _ in range(ROUNDS):
        calls = [lambda: request(LONG_BYTES, 0)]
        calls += [lambda delay=SPACING_S * number: request(USUAL_BYTES, delay) for number in range(1, USUAL_REQUESTS_IN_ROUND + 1)]
        statuses += in_parallel(calls)
        if faulty.broken or time.monotonic() > end:
            break
        time.sleep(PAUSE_S)
    case.record.add("case", "statuses", {status: statuses.count(status) for status in sorted(set(statuses))},
                    f"answers of i-1={faulty.answers} early={faulty.early}")
    return faulty.broken


main(__file__.rsplit("/", 1)[0], test)
