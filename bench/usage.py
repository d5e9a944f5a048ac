"""What processes use, read from /proc, and where results go."""

import json
import os
from pathlib import Path
from typing import Any

__all__ = ["machine", "quantile", "resident_bytes", "used_seconds", "write_result"]

RESULTS = Path(__file__).parent / "results"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UTIME_FIELD = 11


def used_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, in user and kernel."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The command's name can hold blanks, so that the fields count from its end.
    fields = text.rpartition(")")[2].split()
    return (int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])) / TICKS


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
