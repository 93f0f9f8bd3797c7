"""A worker that answers without a length crashes in the middle of its answer, while a part of the request is still on its way."""
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, __file__.rsplit("/", 2)[0])
from fleet import Client, TROUBLE, Worker, configuration, main, reset, route  # noqa: E402

WORKERS, DOWN_S = 4, 2.0
# Long requests are below `max_body_bytes`, which is 4,194,304; the answers are the largest of the site's sheet.
SHORT_BYTES, LONG_BYTES, ANSWER_BYTES = 600, 1_000_000, 4800
SENT_BEFORE_CRASH = 2000
CRASHES, ROUNDS, SHORT_REQUESTS_IN_ROUND, ROUNDS_UNTIL_S = 3, 60, 12, 85


class Fleet:
    def __init__(self, case):
        self.case, self.crashes = case, 0
        self.workers = [Worker(case, f"i-{number}", "rolekapi", self.run, has_small_window=number == 1)
                        for number in range(1, WORKERS + 1)]

    def run(self, worker, connection, stream, request):
        worker.case.record.add("worker", worker.name, "runs", request.id, f"bytes={request.body_bytes}")
        if request.body_bytes == SHORT_BYTES:
            stream.read(request.body_bytes)
            connection.sendall(Worker.head(request, 200, {"Content-Length": 2}) + b"ok")
            return True
        # Neither a length nor chunks: the answer ends with the connection.
        head, body = Worker.head(request, 200, {"Content-Type": "application/octet-stream"}), b"a" * ANSWER_BYTES
        if not TROUBLE or worker.name != "i-1":
            connection.sendall(head + body[:SENT_BEFORE_CRASH])
            stream.read(request.body_bytes)
            connection.sendall(body[SENT_BEFORE_CRASH:])
            return False
        connection.sendall(head + body[:SENT_BEFORE_CRASH])
        time.sleep(0.05)
        self.crashes += 1
        worker.case.record.add("worker", worker.name, f"crashes: {SENT_BEFORE_CRASH} of {ANSWER_BYTES} bytes of its answer to",
                               request.id, "are sent")
        worker.crash(leave=connection)
        reset(connection)
        return False


def test(case):
    case.store.put("op/config", configuration([route("dispatch-send", "rolekapi", "non_idempotent")]))
    fleet = Fleet(case)
    gateway, = case.start_gateways(1)
    broken, end = [], time.monotonic() + ROUNDS_UNTIL_S

    def request(size):
        client = Client(case, gateway)
        attempt = client.send("POST", "/dispatch-send/a", b"r" * size)
        answer = client.receive()
        client.close()
        case.record.add("client", "receives", attempt, answer)
        if size == LONG_BYTES and answer.status == 200 and answer.is_complete and len(answer.body) < ANSWER_BYTES:
            broken.append(f"MIXED: {attempt} got a success that looks complete, with {len(answer.body)} of {ANSWER_BYTES} bytes")
    for _ in range(ROUNDS):
        for _ in range(SHORT_REQUESTS_IN_ROUND):
            request(SHORT_BYTES)
        request(LONG_BYTES)
        if not fleet.workers[0].is_up:
            time.sleep(DOWN_S)
            fleet.workers[0].start()
            case.record.add("worker i-1 is back")
        if fleet.crashes >= CRASHES or time.monotonic() > end:
            break
        time.sleep(0.1)
    return broken


main(__file__.rsplit("/", 1)[0], test)
