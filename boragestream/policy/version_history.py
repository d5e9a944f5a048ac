"""Records which software versions of each service were listed recently.

``policy.stream_origins`` uses it for streams of which there is no record.
"""

import math
import threading
from collections.abc import Callable, Iterable

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["RETENTION_SECONDS", "VersionHistory"]

# Callers take up a stream within the deadline with which they began it.
RETENTION_SECONDS = 60.0
# The list that an entry has followed for this long, and for as long as the longest
# stream lasts, named the version of each stream that is taken up.
HISTORY_SECONDS = 20.0


class VersionHistory:
    """The software versions of each service that were listed recently; thread-safe.

    :param longest_stream: returns the seconds that the longest stream lasts.
    """

    def __init__(
        self, clock: Clock, longest_stream: Callable[[], float] = lambda: 0.0
    ) -> None:
        self._clock = clock
        self._longest_stream = longest_stream
        # The time of the first list, or of the first one after a gap.
        self._first_listed_at: float | None = None
        # When each version of a service was last listed.
        self._last_listed: dict[str, dict[str, float]] = {}
        self._listed: dict[str, set[str]] = {}
        # Services that have begun to have several versions since the last list.
        self._new_several: set[str] = set()
        self._past_known = False
        self._lock = threading.Lock()

    @property
    def past_known(self) -> bool:
        """Whether the versions include all those before lists were followed."""
        return self._past_known

    @property
    def followed_seconds(self) -> float:
        """For how long lists have been followed without a gap; 0 before the first."""
        first = self._first_listed_at
        return 0.0 if first is None else self._clock.now() - first

    @property
    def complete(self) -> bool:
        """Whether lists have been followed for longer than streams last."""
        lasts = max(HISTORY_SECONDS, min(self._longest_stream(), RETENTION_SECONDS))
        return self.followed_seconds >= lasts

    def take_list(self, servers: Iterable[Server]) -> list[str]:
        """Apply a server list; return the services that now have several versions."""
        now = self._clock.now()
        with self._lock:
            before = self._several(now)
            if self._first_listed_at is None:
                self._first_listed_at = now
            for service, versions in self._listed.items():
                for version in versions:
                    self._last_listed[service][version] = now
            self._listed = {}
            for server in servers:
                self._listed.setdefault(server.service, set()).add(server.version)
                seen = self._last_listed.setdefault(server.service, {})
                seen[server.version] = now
            new = self._new_several | (self._several(now) - before)
            self._new_several = set()
            return sorted(new)

    def note_listed(self, servers: Iterable[Server]) -> None:
        """Record servers that were listed since the last list, maybe briefly.

        ``take_list`` returns the services that have several versions by them.
        """
        now = self._clock.now()
        with self._lock:
            before = self._several(now)
            self._note_listed(servers, now)
            self._new_several |= self._several(now) - before

    def note_gap(self) -> None:
        """Record that servers may have been listed and removed since the last list."""
        with self._lock:
            if self._first_listed_at is not None:
                self._first_listed_at = self._clock.now()
            self._past_known = False

    def add_past(
        self, servers: Iterable[Server], requested_at: float = math.inf
    ) -> list[str]:
        """Add all servers that were ever listed before lists were followed.

        :param requested_at: when they were requested. A gap since then is not covered.
        :returns: the services that now have several versions.
        """
        now = self._clock.now()
        with self._lock:
            before = self._several(now)
            self._note_listed(servers, now)
            first = self._first_listed_at
            self._past_known = first is None or requested_at >= first
            return sorted(self._several(now) - before)

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions that are listed, or were within the retention time."""
        now = self._clock.now()
        with self._lock:
            return frozenset(self._recent(service, now))

    def has_several(self, service: str) -> bool:
        """Return whether a service has had several versions recently."""
        return len(self.versions(service)) > 1

    @property
    def mixed_services(self) -> int:
        """The number of services that have had several versions recently."""
        with self._lock:
            return len(self._several(self._clock.now()))

    def _note_listed(self, servers: Iterable[Server], now: float) -> None:
        for server in servers:
            seen = self._last_listed.setdefault(server.service, {})
            seen[server.version] = now

    def _recent(self, service: str, now: float) -> set[str]:
        seen = self._last_listed.get(service, {})
        listed = self._listed.get(service, set())
        return {
            version
            for version, at in seen.items()
            if version in listed or now - at < RETENTION_SECONDS
        }

    def _several(self, now: float) -> set[str]:
        return {s for s in self._last_listed if len(self._recent(s, now)) > 1}
