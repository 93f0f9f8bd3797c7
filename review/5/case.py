"""Two gateways are stopped and started in turn, while long streams run and two software versions serve side by side."""
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, __file__.rsplit("/", 2)[0])
from fleet import LAST_CHUNK, BOUNDS, Client, TROUBLE, Worker, chunk, configuration, event, in_parallel, main, shift_query  # noqa: E402

# One machine at a time, one each STEP_S.
STEP_S, STARTS_AGAIN_AFTER_S = 1.3, 0.2
STREAMS, STREAM_SPACING_S, FIRST_STOP_S = 24, 0.02, 0.8
EVENTS, GAP_S, DEADLINE_MS = 110, 0.1, 12000
NEW_STREAMS, MIN_TAKEN_UP = 24, 12


def run(worker, connection, stream, request):
    stream.read(request.body_bytes)
    first = int(request.headers.get("last-event-id") or 0) + 1
    worker.case.record.add("worker", worker.name, worker.version, "runs", request.id, "from event", first)
    connection.sendall(Worker.head(request, 200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
    for number in range(first, EVENTS + 1):
        time.sleep(GAP_S)
        connection.sendall(chunk(event(number, worker.version)))
    connection.sendall(LAST_CHUNK)
    return True


def last_event(answer):
    return answer.body.count(b"id: ")


class Callers:
    def __init__(self, case, gateways):
        self.case, self.gateways = case, gateways

    def call(self, gateway, deadline_ms, **fields):
        """Returns the id of the attempt and the answer; a client leaves a new stream, of which it wants no more, at once."""
        client = Client(self.case, gateway)
        attempt = client.send("POST", "/shift-query/a", lambda attempt: attempt.encode(), deadline_ms=deadline_ms, **fields)
        answer = client.receive()
        client.close()
        self.case.record.add("client", "receives from", gateway.name, attempt, answer, "last event", last_event(answer),
                             answer.body if answer.status >= 400 else "")
        return attempt, answer

    def read_stream(self, number):
        """Reads a stream of the first gateway. If it is cut, takes it up at the second one, and returns whether it went on."""
        time.sleep(number * STREAM_SPACING_S)
        begin = time.monotonic()
        attempt, answer = self.call(self.gateways[0], DEADLINE_MS)
        if answer.is_complete or answer.status != 200:
            return None
        left_ms = int(DEADLINE_MS - (time.monotonic() - begin) * 1000)
        _, taken_up = self.call(self.gateways[1], left_ms, Last_Event_Id=last_event(answer), Resumes=attempt)
        return taken_up.status == 200 and last_event(taken_up) > 0

    def begins(self):
        client = Client(self.case, self.gateways[1])
        attempt = client.send("POST", "/shift-query/a", lambda attempt: attempt.encode(), deadline_ms=DEADLINE_MS)
        status = client.socket.recv(12)
        client.close()
        self.case.record.add("client", "begins a new stream", attempt, status)
        return status == b"HTTP/1.1 200"


def test(case):
    case.store.put("op/config", configuration([shift_query()]))
    for number in range(4):
        Worker(case, f"i-{number + 1}", "asistan", run, "v1" if number < 2 else "v2")
    gateways = case.start_gateways(2)
    time.sleep(BOUNDS["stable_ms"] / 1000 + 0.2)
    callers = Callers(case, gateways)

    def stop_and_start(gateway):
        gateway.signal(signal.SIGTERM)
        gateway.process.wait()
        case.record.add("platform", gateway.name, "has ended with", gateway.process.returncode)
        time.sleep(STARTS_AGAIN_AFTER_S)
        gateway.start()
        case.record.add("platform", "starts", gateway.name)

    def roll():
        time.sleep(FIRST_STOP_S)
        threads = []
        for gateway in reversed(gateways) if TROUBLE else ():
            threads.append(threading.Thread(target=stop_and_start, args=(gateway,), daemon=True))
            threads[-1].start()
            time.sleep(STEP_S)
        for thread in threads:
            thread.join()
        return sum(in_parallel([callers.begins] * NEW_STREAMS))

    began, *went_on = in_parallel([roll, *[lambda number=number: callers.read_stream(number) for number in range(STREAMS)]])
    taken_up = [item for item in went_on if item is not None]
    case.record.add("case", f"streams taken up={len(taken_up)} of which went on={sum(taken_up)}; new streams={NEW_STREAMS} began={began}")
    if len(taken_up) < MIN_TAKEN_UP or sum(taken_up) / len(taken_up) >= began / NEW_STREAMS / 2:
        return []
    return [f"LOST: of {len(taken_up)} streams that clients took up again, {sum(taken_up)} went on; of {NEW_STREAMS} new ones {began} began"]


main(__file__.rsplit("/", 1)[0], test)
