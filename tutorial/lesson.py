"""Functions that the lessons have in common: they start a small fleet, print progress and check expectations."""

import contextlib
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from localfleet import LocalFleet, http, wait_until  # noqa: E402,F401


def show(text):
    print(text, flush=True)


def expect(condition, what):
    """Ends the lesson with an error if the fleet does not behave as the lesson describes."""
    if not condition:
        raise SystemExit(f"lesson failed: expected {what}")


@contextlib.contextmanager
def running_fleet():
    """The example fleet of a plant operator, started on loopback and stopped at the end."""
    build = sys.argv[1] if len(sys.argv) > 1 else str(ROOT / "build")
    with tempfile.TemporaryDirectory() as directory:
        with LocalFleet(build, ROOT / "examples" / "yukdengesi", directory) as fleet:
            fleet.start()
            yield fleet


def bearer(fleet, team):
    """The Authorization header with the key of a team."""
    return {"Authorization": "Bearer " + fleet.team_key(team)}
