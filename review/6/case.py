"""Storms of configurations in a row while long streams run, under the memory limit.

Exits with 1 if processes go beyond their memory, are killed as the platform does, and
lose streams that servers were at work on; 0 if not, 2 if it can't run.
"""

import signal
import sys
import threading
import time
from pathlib import Path

from review.harness.small_site import (
    CONFIG_SECONDS,
    KEY,
    LIMITS,
    Record,
    SmallSite,
    configuration_text,
    run_case,
    troubled,
)

# The limits of the pages, see claim.txt.
STORMS = 5
STORM_SECONDS = 4.0
STORM_GAP_SECONDS = 0.33
GROWN_ROUTES = 5_300
STREAM_EVENTS = 70
EVENT_SECONDS = 0.25
STREAM_TIMEOUT_MS = 20_000
ENTRIES = ["hall-a", "hall-b"]
MEGABYTE_KB = 1024
LOOK_SECONDS = 0.05


class Memory:
    """Looks at the memory of all entries, and kills one that is beyond its limit."""

    def __init__(self, site, record):
        self._site, self._record = site, record
        self._ended = threading.Event()
        self.most = dict.fromkeys(site.entries, 0)
        self.killed = {}
        self._thread = threading.Thread(target=self._look, daemon=True)
        self._thread.start()

    def close(self):
        """Stop looking."""
        self._ended.set()
        self._thread.join()

    def _look(self):
        while not self._ended.wait(LOOK_SECONDS):
            for name, process in self._site.entries.items():
                if name in self.killed:
                    continue
                used = resident_megabytes(process.popen.pid)
                self.most[name] = max(self.most[name], used)
                if used > LIMITS["memory_mb"]:
                    self.killed[name] = used
                    self._site.signal(name, signal.SIGKILL)
                    self._record.write(f"{name} has {used:.0f} MB and is killed")


class Streams:
    """Long streams, one after another, each in a thread of its own."""

    def __init__(self, site, record):
        self._site, self._record = site, record
        self._threads, self._lock = [], threading.Lock()
        self.cut = []

    def begin(self, name):
        """Begin a stream at an entry, unless it was killed."""
        thread = threading.Thread(target=self._run, args=(name,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def wait(self):
        """Wait until all streams have ended."""
        for thread in self._threads:
            thread.join()

    def _run(self, name):
        deadline = str(STREAM_TIMEOUT_MS)
        try:
            answer = self._site.call("/chat/x", entry=name, Deadline_Ms=deadline)
        except OSError as error:
            self._record.write(f"a stream at {name} was not accepted: {error!r}")
            return
        ran = self._site.runs(answer.request_id)
        events, whole = len(answer.events), answer.whole
        self._record.write(
            f"{answer.request_id} at {name}: {answer.status}, ran {ran} times, "
            f"{events} events, whole: {whole}"
        )
        if ran and (answer.status != 200 or not whole):
            with self._lock:
                self.cut.append(answer.request_id)


def resident_megabytes(pid):
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(sizes[0]) / MEGABYTE_KB if sizes else 0.0


def play(record):
    """Return the streams that were lost with processes beyond their memory."""
    site = SmallSite(ENTRIES)
    try:
        return run(site, record)
    finally:
        site.close()


def run(site, record):
    """Send streams and publish storms; return the streams that were cut."""
    for server in site.of_kind("engine"):
        server.events, server.event_seconds = STREAM_EVENTS, EVENT_SECONDS
    count = int(STORM_SECONDS / STORM_GAP_SECONDS)
    texts = [
        configuration_text(2 + n, (KEY,), GROWN_ROUTES, STREAM_TIMEOUT_MS)
        for n in range(STORMS * count + 1)
    ]
    record.write(f"{len(texts[0])} bytes a version")
    site.publish_text(texts[0])
    site.start()
    time.sleep(CONFIG_SECONDS)
    memory, streams = Memory(site, record), Streams(site, record)
    for storm in range(STORMS):
        for number in range(count):
            if troubled():
                site.publish_text(texts[1 + storm * count + number])
            for name in site.entries:
                if name not in memory.killed:
                    streams.begin(name)
            time.sleep(STORM_GAP_SECONDS)
        record.write(f"storm {storm + 1} has ended, most memory: {memory.most}")
    streams.wait()
    memory.close()
    record.write(f"most memory: {memory.most}, killed: {memory.killed}")
    return streams.cut if memory.killed else []


def main():
    """Run the case; return the exit code."""
    return run_case(Record(Path(__file__).parent), play)


if __name__ == "__main__":
    sys.exit(main())
