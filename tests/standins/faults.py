"""Faults of the backend stand-in: which one a call takes, and bringing it about.

A fault strikes at a position of its call: arrive, ran, head, middle, end or after.
What is wrong with the content of an answer stands in ``tests.standins.answers``.
"""

import json
import os
import signal
import time
from pathlib import Path

# Where a fault strikes that does not name a position.
DEFAULT_POSITIONS = {
    "slow": "ran",
    "late": "ran",
    "silent": "ran",
    "reset": "arrive",
    "cut": "middle",
    "stream-cut": "middle",
    "stream-stall": "middle",
}
SIGNALS = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP}
GARBAGE = b"\x00\xffgarbage\r\n"


def claim(folder, mark):
    """Take one fault that waits in a folder for an input; one server alone gets it.

    The servers of a service share the folder, so that a fault strikes whichever of
    them is called.
    """
    waiting = sorted(Path(folder).glob(f"{mark}-*.json")) if folder else []
    for path in waiting:
        try:
            fault = json.loads(path.read_text())
            path.unlink()
        except FileNotFoundError:
            continue
        return fault
    return {}


def strike(handler, position, fault):
    """Bring a fault of a handler's call about where this is its position."""
    kind = fault.get("fault")
    if fault.get("at", DEFAULT_POSITIONS.get(kind)) != position:
        return
    if kind in ("slow", "late", "silent", "stream-stall"):
        handler.wfile.flush()
        time.sleep(fault.get("seconds", 30 if kind == "silent" else 0))
    if kind in ("kill", "freeze"):
        handler.wfile.flush()
        os.kill(os.getpid(), SIGNALS[kind])
    if kind == "signal":
        handler.wfile.flush()
        os.kill(fault["pid"], fault["number"])
        if fault.get("then"):
            strike(handler, position, {"fault": fault["then"], "at": position})
        time.sleep(fault.get("seconds", 0))
    if kind == "garbage":
        handler.wfile.write(GARBAGE)
    if kind in ("cut", "silent", "stream-cut", "garbage"):
        handler.cut()
        raise ConnectionAbortedError
    if kind == "reset":
        handler.reset()
        raise ConnectionAbortedError
