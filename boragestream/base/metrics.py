"""Metrics towards statsd over UDP; they never block and never fail.

A datagram that can't be sent is dropped. The names are listed in docs/OPERATIONS.md.
"""

import contextlib
import socket
from typing import Protocol

import statsd

__all__ = ["Metrics", "NoMetrics", "StatsdMetrics", "open_metrics"]

PREFIX = "boragestream"


class Metrics(Protocol):
    """Counts and timings under names whose parts are joined by dots."""

    def count(self, name: str) -> None:
        """Add one to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""


class NoMetrics:
    """Metrics that are switched off."""

    def count(self, name: str) -> None:
        """Do nothing."""

    def timing(self, name: str, seconds: float) -> None:
        """Do nothing."""


class _NonBlockingClient(statsd.StatsClient):
    """A statsd client whose socket never waits for room."""

    def _send(self, data: str) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendto(data.encode("ascii"), socket.MSG_DONTWAIT, self._addr)


class StatsdMetrics:
    """Metrics sent to a statsd server.

    :param address: its IP number.
    :param port: its UDP port.
    :param entry: the entry's name, a part of each metric's name.
    """

    def __init__(self, address: str, port: int, entry: str) -> None:
        prefix = f"{PREFIX}.{entry}"
        ipv6 = ":" in address
        self._client = _NonBlockingClient(address, port, prefix, ipv6=ipv6)

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self._client.incr(name)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration; statsd takes it in milliseconds."""
        self._client.timing(name, seconds * 1000)


def open_metrics(address: str, port: int, entry: str) -> Metrics:
    """Return metrics to a statsd server, or none where the address is empty."""
    return StatsdMetrics(address, port, entry) if address else NoMetrics()
