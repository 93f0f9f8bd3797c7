#!/usr/bin/env python3
"""Prompts with a first part that crashes endpoints share their second part with sound prompts of the same caller."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import smallfleet as fleet  # noqa: E402

GATEWAYS = 4
ENGINES = 12
SETTLED_S = 4
# The caller works on one document after the other with two templates, one of which crashes endpoints.
BAD_TEMPLATE, SOUND_TEMPLATE = "dead0001", "a0000001"
DOCUMENT_S, SOUND_INTERVAL_S, BAD_INTERVAL_S = 5.0, 1.6, 0.4
# Prompts of other callers, with other documents.
OTHERS_PER_S = 10
BEFORE_S, BAD_FOR_S = 35, 43
# LOST asks for so many prompts before and after.
LEAST_PROMPTS = 20


def parts(kind, number, elapsed_s):
    """The key and the first two parts of a prompt."""
    if kind == "others":
        return "key-1", f"a000000{number % 4}", f"5c1e{number % 40:04x}"
    return "key-2", BAD_TEMPLATE if kind == "bad" else SOUND_TEMPLATE, f"d0c{int(elapsed_s / DOCUMENT_S):05x}"


def case(record):
    store = fleet.Store()
    engines = [fleet.CrashingEndpoint(store, i, record, BAD_TEMPLATE) for i in range(ENGINES)]
    configuration = fleet.configuration(3, [fleet.route(
        "draft", "model", "streaming", sticky=True, max_attempts=1, gap_target_ms=300)], max_connections=740)
    configuration["tenants"].append({"name": "team-2", "api_keys": ["key-2"]})
    store.put("op/config", configuration)
    gateways = [fleet.Gateway(store, number=i + 1) for i in range(GATEWAYS)]
    try:
        if not all(fleet.eventually(gateway.is_ready) for gateway in gateways):
            return fleet.NOT_RUN
        prompts = fleet.Prompts(gateways, parts, record)
        prompts.begin("others", 1 / OTHERS_PER_S)
        time.sleep(SETTLED_S)
        prompts.begin("sound", SOUND_INTERVAL_S)
        time.sleep(BEFORE_S)
        bad_since = time.monotonic()
        record("prompts with the bad template begin to come", True)
        prompts.begin("bad", BAD_INTERVAL_S)
        time.sleep(BAD_FOR_S)
        bad_until = time.monotonic()
        prompts.ended = True
        time.sleep(3)
        figures = fleet.BadPartFigures(engines, prompts, bad_since, bad_until)
        figures.write(record)
        if min(figures.before[1], figures.after[1]) < LEAST_PROMPTS or (fleet.TROUBLE and not figures.crashes):
            return fleet.NOT_RUN
        return fleet.BROKEN if figures.after[2] < figures.before[2] / 2 else fleet.HELD
    finally:
        for gateway in gateways:
            gateway.stop()


if __name__ == "__main__":
    fleet.run(case, __file__)
