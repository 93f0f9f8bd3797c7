"""Ports that no other run of the tests on this machine uses.

A block of ports is leased through a lock on a file, which the operating system releases when the process ends. Two runs at
the same time, for example CI and a soak, get different blocks.
"""
import fcntl
import os
import tempfile

# Below the ephemeral port range of the system, above the ports of the example fleets.
FIRST_PORT, END_PORT, BLOCK_PORTS = 20000, 32400, 400

held_locks = []


def locked_file(name, blocking):
    """Returns the locked file, which holds the lock until it is closed, or None if another process has the lock."""
    path = os.path.join(tempfile.gettempdir(), f"cyclamenturn-{name}.lock")
    file = open(path, "a", encoding="utf-8")  # noqa: SIM115 - kept open for as long as the lock is held
    try:
        fcntl.flock(file, fcntl.LOCK_EX | (0 if blocking else fcntl.LOCK_NB))
    except BlockingIOError:
        file.close()
        return None
    return file


def lease_ports(count):
    """Returns an iterator over `count` ports, which this process holds until it ends."""
    leased = []
    for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
        if len(leased) >= count:
            break
        file = locked_file(f"ports-{first}", blocking=False)
        if file is not None:
            held_locks.append(file)
            leased += range(first, first + BLOCK_PORTS)
    if len(leased) < count:
        raise RuntimeError("too many blocks of ports are in use by other runs")
    return iter(leased[:count])
