"""What the machine lets a process use, and what an entry needs of it."""

import contextlib
import os
import resource
from pathlib import Path

__all__ = ["LEAST_MEMORY_MB", "descriptor_limit", "machine_memory_mb"]

MEGABYTE = 1_048_576
# An entry with its libraries, threads and published values takes up about this much
# before it holds anything for a caller.
LEAST_MEMORY_MB = 96
CONTROL_GROUPS = Path("/sys/fs/cgroup")
OWN_GROUPS = Path("/proc/self/cgroup")
# The files that hold a group's limit, by the version of control groups.
LIMIT_FILES = {True: "memory.max", False: "memory.limit_in_bytes"}


def machine_memory_mb() -> int:
    """Return the memory of the machine or of this process's control group, in MB.

    The smaller one counts, also where a group above it has the smaller limit.
    """
    physical = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return min([physical, *_group_limits()]) // MEGABYTE


def descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def _group_limits() -> list[int]:
    limits: list[int] = []
    with contextlib.suppress(OSError):
        for line in OWN_GROUPS.read_text().splitlines():
            number, controllers, path = line.split(":", 2)
            unified = number == "0"
            if not unified and "memory" not in controllers.split(","):
                continue
            root = CONTROL_GROUPS if unified else CONTROL_GROUPS / "memory"
            group = root / path.lstrip("/")
            for folder in [group, *group.parents]:
                if folder.is_relative_to(root):
                    limits += _limit(folder / LIMIT_FILES[unified])
    return limits


def _limit(file: Path) -> list[int]:
    """Return the limit of a group; empty if it has none."""
    with contextlib.suppress(OSError):
        text = file.read_text().strip()
        if text.isdigit():
            return [int(text)]
    return []
