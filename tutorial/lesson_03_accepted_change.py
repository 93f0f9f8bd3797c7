"""Lesson 3: an accepted change.

Operators edit one configuration document. An accepted edit is in force at every process within seconds. An edit of an
older revision is refused completely, and the output names the newer revision.
"""

import pathlib

from lesson import expect, running_fleet, show

with running_fleet() as fleet:
    text = fleet.ctl("config", "show").stdout
    show("the first line contains the revision to be edited: " + text.splitlines()[0])
    edit = pathlib.Path(fleet.run_dir) / "edit.toml"
    edit.write_text(text.replace("queue_limit = 512", "queue_limit = 256"))
    show(fleet.ctl("config", "diff", str(edit)).stdout.strip())

    result = fleet.ctl("config", "accept", str(edit), "--wait")
    expect(result.returncode == 0, "an accepted edit")
    show(result.stdout.strip() + ", in force at every process")

    stale_edit = pathlib.Path(fleet.run_dir) / "late.toml"
    stale_edit.write_text(text.replace("queue_limit = 512", "queue_limit = 999"))
    result = fleet.ctl("config", "accept", str(stale_edit))
    expect(result.returncode == 3, "a refusal of the edit of an old revision")
    show("edit of the old revision: " + result.stdout.splitlines()[0])
