"""A small deployment for the cases: entries as processes, stand-ins in threads.

It is the project's own ``RouteSite`` with the bounds of a small site file, and with a
store that forgets its history after ``history_s`` and names no era.
"""

import json
import os
import time
from pathlib import Path

from tests.standins.fleet import wait_until
from tests.standins.route_site import KEY, RouteSite, configuration, route

__all__ = [
    "CONFIG_SECONDS",
    "HISTORY_SECONDS",
    "KEY",
    "LEFT_KEY",
    "LIMITS",
    "STABLE_SECONDS",
    "Record",
    "SmallSite",
    "configuration",
    "configuration_text",
    "route",
    "run_case",
    "troubled",
    "wait_until",
]

# Bounds of the site files and of SYSTEM.md for small deployments.
CONFIG_SECONDS = 2.0
STABLE_SECONDS = 3.0
HISTORY_SECONDS = 20.0
# Exit codes of a case.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "grace_s": 8,
    "config_ms": int(CONFIG_SECONDS * 1000),
    "drain_ms": 2000,
}
LIMITS = {
    "max_fds": 4200,
    "cpu_share": 0.537,
    "cores": 2,
    "link_mbps": 1000.0,
    "memory_mb": 300,
}
ONE_AREA = dict.fromkeys(("hall-a", "hall-b", "hall-c"), "valley")
# The key of a client that is taken away in the course of a case.
LEFT_KEY = "key-that-is-taken-away-0123"


def run_case(record, play):
    """Run a case and close its record; return the exit code.

    :param play: is given the record; returns the requests under which the rule broke.
    """
    try:
        broken = play(record)
    except Exception as error:
        record.write(f"could not run: {error!r}")
        record.close()
        return CANNOT_RUN
    record.write(f"the rule broke under {len(broken)} requests: {broken[:20]}")
    record.close()
    print(f"the rule broke under {len(broken)} requests")
    return BROKEN if broken else HELD


def troubled():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in a case's folder.

    :param folder: the folder of the case.
    """

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text):
        """Write a line with the seconds since the start of the record."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class SmallSite(RouteSite):
    """Entries with the settings of a small deployment.

    :param zones: the zone of each entry.
    :param areas: the area of each zone; one area by default.
    """

    def __init__(self, zones, areas=ONE_AREA, **options):
        super().__init__(entries=len(zones), **options)
        self.store.era = None
        self._published_at = []
        for name, zone in zip(self.entries, zones, strict=True):
            fields = self.fields[name]
            fields["zone"] = zone
            fields["zones"] = dict(areas)
            fields["bounds"].update(BOUNDS)
            fields["limits"] = dict(LIMITS)
            self.write_settings(name)

    def publish_text(self, text):
        """Write a configuration; return the moment of its acknowledgement."""
        self.store.put("op/config", text)
        now = time.monotonic()
        self._published_at.append((now, self.store.revision))
        return now

    def forget_history(self):
        """Drop the history that is older than ``HISTORY_SECONDS``."""
        limit = time.monotonic() - HISTORY_SECONDS
        with self.store.lock:
            old = [rev for at, rev in self._published_at if at < limit]
            if old and old[-1] > self.store.oldest:
                self.store.oldest = old[-1]
                kept = [h for h in self.store.history if h[0] > old[-1]]
                self.store.history = kept

    def statuses(self, key, names=None):
        """Send one safe request with a key to each entry; return the answers."""
        authorization = {"Authorization": f"Bearer {key}"}
        names = list(self.entries) if names is None else names
        return {
            name: self.call("/safe/x", "GET", b"", entry=name, **authorization)
            for name in names
        }

    def wait_for_key(self, key):
        """Wait until all entries serve requests with a key."""
        wait_until(
            lambda: all(a.status == 200 for a in self.statuses(key).values()),
            what="the key is in force",
        )


def configuration_text(version, keys, routes, stream_timeout_ms=6_000):
    """Return a configuration with further routes, as it is written to the store.

    :param keys: the keys of the one tenant.
    :param routes: how many routes there are besides the usual ones.
    :param stream_timeout_ms: the longest that a stream may take.
    """
    extra = [route(f"/grown-{n:05d}/", "safe", "plain") for n in range(routes)]
    made = configuration(version, extra=extra, keys=keys)
    for each in made["routes"]:
        if each["kind"] == "stream":
            each["timeout_ms"] = stream_timeout_ms
    return json.dumps(made).encode()
