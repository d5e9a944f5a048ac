"""What processes use, read from /proc, and where results go."""

import json
import os
import time
from pathlib import Path
from typing import Any

__all__ = ["machine", "quantile", "resident_bytes", "used_seconds", "write_result"]

RESULTS = Path(__file__).parent / "results"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SCHEDULER_CLOCK = 2


def used_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, in user and kernel."""
    # The clock of another process, as clock_getcpuclockid gives it; /proc/PID/stat
    # counts in steps of 10 ms, which is too coarse for a short run.
    return time.clock_gettime((~pid << 3) | SCHEDULER_CLOCK)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, shared pages included."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def machine() -> dict[str, Any]:
    """Return what a reader of a result must know of the machine."""
    return {
        "cores": os.cpu_count(),
        "load_average_1_min": round(os.getloadavg()[0], 2),
    }


def write_result(name: str, result: dict[str, Any]) -> None:
    """Write a result under ``bench/results`` and print it."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps({"machine": machine(), **result}, indent=1)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    print(text)
