#!/usr/bin/env python3
"""Prompts with a part that crashes endpoints come in two groups, some seconds apart."""
import http.client
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import smallfleet as fleet  # noqa: E402

GATEWAYS = 4
ENGINES = 16
SETTLED_S = 5
BAD_PART = "dead0001"
SOUND_PER_S = 16
# Each group has so many prompts, at this interval.
GROUP, INTERVAL_S = 24, 0.018
# The bounds of the site, and BUDGET's figures.
STABLE_S = 3.0
CRASHES, MOST_AFTERWARDS = 5, 3


class Prompts:
    """Sends prompts, each in a thread of its own, and notes how they end."""

    def __init__(self, gateways, record):
        self.gateways, self.record, self.number, self.sound = gateways, record, 0, []
        self.ended, self.lock = False, threading.Lock()

    def send(self, is_bad):
        with self.lock:
            self.number += 1
            number = self.number
        gateway = self.gateways[number % GATEWAYS]
        part = BAD_PART if is_bad else f"5c1e{number % 40:04x}"
        attempt = os.urandom(8).hex()
        fields = {"Host": "h.example", "X-Attempt-Id": attempt, "Authorization": "Bearer key-1", "X-Model": "m",
                  "X-Deadline-Ms": "4000", "X-Token-Count": "9190,54",
                  "X-Prompt-Prefix": f"a000000{number % 4}:2520,{part}:3780,{0xb7d00000 + number:x}:2890"}
        began = time.monotonic()
        connection = http.client.HTTPConnection(*gateway.callers, timeout=5)
        status, is_whole = 0, False
        try:
            connection.request("POST", "/draft/1", b"%d" % number, fields)
            response = connection.getresponse()
            status = response.status
            is_whole = f"id: {fleet.CrashingEndpoint.EVENTS}\n".encode() in response.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        if is_bad:
            self.record(f"prompt with the bad part, {attempt}, at {gateway.ip}: status {status}")
        else:
            self.sound.append((began, status == 200 and not is_whole))

    def spawn(self, is_bad):
        threading.Thread(target=self.send, args=(is_bad,), daemon=True).start()

    def send_sound(self):
        while not self.ended:
            self.spawn(False)
            time.sleep(1 / SOUND_PER_S)


def case(record):
    store = fleet.Store()
    engines = [fleet.CrashingEndpoint(store, i, record, BAD_PART) for i in range(ENGINES)]
    store.put("op/config", fleet.configuration(3, [fleet.route(
        "draft", "model", "streaming", sticky=True, max_attempts=1, gap_target_ms=300)], max_connections=720))
    gateways = [fleet.Gateway(store, number=i + 1, memory_mb=182) for i in range(GATEWAYS)]

    def send_group():
        for _ in range(GROUP):
            prompts.spawn(True)
            time.sleep(INTERVAL_S)
        time.sleep(2)

    try:
        if not all(fleet.eventually(gateway.is_ready) for gateway in gateways):
            return fleet.NOT_RUN
        prompts = Prompts(gateways, record)
        threading.Thread(target=prompts.send_sound, daemon=True).start()
        time.sleep(SETTLED_S)
        record("the first group comes")
        send_group()
        crashes = sorted(at for engine in engines for at in engine.crashes)
        record(f"{len(crashes)} crashes by the first group", True)
        if fleet.TROUBLE and len(crashes) < CRASHES:
            record("the part has not crashed five endpoints", True)
            return fleet.NOT_RUN
        time.sleep(STABLE_S)
        second = time.monotonic()
        record("the second group comes")
        send_group()
        prompts.ended = True
        time.sleep(2)
        reached = [attempt for engine in engines for at, attempt in engine.bad_runs if at >= second]
        spoilt = sum(1 for began, is_broken in prompts.sound if began >= second - 2 and is_broken)
        after = sum(1 for engine in engines for at in engine.crashes if at >= second)
        record(f"of {GROUP} more prompts with the bad part, 3 s and more after the fifth crash, {len(reached)} reached "
               f"endpoints and crashed {after}; {spoilt} sound streams broke off in that", True)
        return fleet.BROKEN if len(reached) > MOST_AFTERWARDS else fleet.HELD
    finally:
        for gateway in gateways:
            gateway.stop()


if __name__ == "__main__":
    fleet.run(case, __file__)
