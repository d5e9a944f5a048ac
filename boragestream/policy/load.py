"""What an entry has itself seen of each server's load.

Counts of calls in progress and smoothed times come from the entry's own calls, so
they are never old. What other entries and load reports say is left out here.
"""

import threading
from dataclasses import dataclass

__all__ = ["LoadTable", "ServerLoad"]

SMOOTHING = 0.2


@dataclass(slots=True)
class ServerLoad:
    """The load of one server as seen by this entry.

    :ivar in_progress: calls that this entry has open there.
    :ivar seconds: smoothed time of a call; 0 before the first.
    """

    in_progress: int = 0
    seconds: float = 0.0


class LoadTable:
    """The loads by server name."""

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}
        self._lock = threading.Lock()

    def get(self, server: str) -> ServerLoad:
        """Return the load of a server; an empty one for a server not yet called."""
        return self._loads.get(server) or ServerLoad()

    def begin(self, server: str) -> None:
        """Count a call that begins."""
        with self._lock:
            self._loads.setdefault(server, ServerLoad()).in_progress += 1

    def end(self, server: str, seconds: float | None) -> None:
        """Count a call that has ended.

        :param seconds: how long it took; None where it brought no answer.
        """
        with self._lock:
            load = self._loads.setdefault(server, ServerLoad())
            load.in_progress = max(0, load.in_progress - 1)
            if seconds is None:
                return
            known = load.seconds or seconds
            load.seconds = known + SMOOTHING * (seconds - known)

    def snapshot(self) -> dict[str, ServerLoad]:
        """Return a copy for status pages."""
        with self._lock:
            return {
                k: ServerLoad(v.in_progress, v.seconds) for k, v in self._loads.items()
            }
