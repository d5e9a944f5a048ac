"""What a process holds: resident memory, files, descriptors and the kernel's buffers.

The platform ends a process by its memory, in which bytes count that the kernel has
received for it. What the kernel keeps unsent takes memory of the same machine.
"""

import os
import threading
from dataclasses import dataclass
from pathlib import Path

SAMPLE_SECONDS = 0.05
MEGABYTE = 1_048_576
# States of connections in /proc/net/tcp.
OPENS, LISTENS = "02", "0A"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class Held:
    """What a process holds at one moment, in bytes."""

    resident: int
    # Received or unsent by the kernel, also on connections that the process has closed.
    kernel: int
    # In files that have no name any more.
    files: int

    @property
    def total(self):
        """All of it."""
        return self.resident + self.kernel + self.files


def resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def kernel_bytes(own_ports, server_ports):
    """Return what the kernel holds at one end of the connections of a process.

    Those are the ends at the ports where it listens, and the other ends of the
    connections at the ports of servers.
    """
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        state = fields[3]
        local, remote = (int(fields[n].rpartition(":")[2], 16) for n in (1, 2))
        # A connection that is being opened sends nothing yet; its numbers are those of
        # sequences that the kernel is about to set.
        if state not in (LISTENS, OPENS) and (
            local in own_ports or remote in server_ports
        ):
            unsent, received = fields[4].split(":")
            total += int(unsent, 16) + int(received, 16)
    return total


def descriptors(pid):
    """Return the targets of a process's descriptors."""
    targets = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            targets.append(os.readlink(f"/proc/{pid}/fd/{name}"))
        except OSError:
            # It was closed meanwhile.
            continue
    return targets


def file_bytes(pid):
    """Return the bytes in open files that were deleted."""
    total = 0
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            path = f"/proc/{pid}/fd/{name}"
            if os.readlink(path).endswith("(deleted)"):
                total += os.stat(path).st_size
        except OSError:
            continue
    return total


class HeldMemory:
    """Follows what a process holds until it ends or ``close`` is called."""

    def __init__(self, pid, own_ports, server_ports):
        """Begin to sample."""
        self.pid = pid
        self.ports = set(own_ports), set(server_ports)
        self.most = Held(0, 0, 0)
        self.most_descriptors = 0
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.follow, daemon=True)
        self.thread.start()

    def sample(self):
        """Take one sample."""
        held = Held(
            resident_bytes(self.pid), kernel_bytes(*self.ports), file_bytes(self.pid)
        )
        self.most = max(self.most, held, key=lambda each: each.total)
        self.most_descriptors = max(self.most_descriptors, len(descriptors(self.pid)))

    def follow(self):
        """Take samples."""
        while not self.ended.is_set():
            try:
                self.sample()
            except (OSError, IndexError, ValueError):
                # The process has ended.
                return
            self.ended.wait(SAMPLE_SECONDS)

    def describe(self):
        """Return the largest sample in megabytes, and the most descriptors."""
        most = self.most
        parts = (
            f"{name} {size / MEGABYTE:.0f} MB"
            for name, size in (
                ("resident", most.resident),
                ("kernel", most.kernel),
                ("files", most.files),
            )
        )
        return f"{', '.join(parts)}, {self.most_descriptors} descriptors"

    def close(self):
        """End the sampling."""
        self.ended.set()
        self.thread.join()
