"""Chooses connections to close when memory or descriptors are short.

It answers the load of callers that read or send slowly, or not at all: each may keep
some progress up for ever, while others are refused. A connection is slow if it will
hold its bytes for long at the pace that was observed. Nothing is chosen while nobody
goes short.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol

__all__ = ["CallersConnection", "is_slow", "oldest_idle", "slowest_first"]

# A connection that returns its bytes within this time is not slow.
MAX_HOLD_SECONDS = 10.0
# A shorter pause says nothing about a caller's pace. A caller whose request may still
# be answered in time is observed for longer.
MIN_OBSERVED_SECONDS = 1.0
MIN_OBSERVED_IN_TIME_SECONDS = 2.0
# A younger connection has had no time to send its request.
MIN_IDLE_SECONDS = 1.0


class CallersConnection(Protocol):
    """A caller's connection.

    :ivar request_id: the id of the latest request; empty if it has none.
    :ivar account: the client account of that request; empty if it is not known.
    :ivar deadline: the clock's seconds by which that request was to be answered.
    :ivar progress_at: the clock's seconds when the caller last read output.
    :ivar last_activity: the system's time of the last activity; while a request
        arrives, that of its first byte.
    """

    request_id: str
    account: str
    deadline: float
    progress_at: float
    last_activity: float

    @property
    def held_bytes(self) -> int:
        """The bytes that are held until the caller reads or sends something."""

    @property
    def unread_bytes(self) -> int:
        """The bytes that are held because the caller has not read them."""

    @property
    def held_up(self) -> bool:
        """Whether a request waits in its thread until its caller has read."""

    @property
    def serving(self) -> bool:
        """Whether a request is run, or its answer is still being read."""

    def seconds_observed(self, now: float) -> float:
        """Return for how long the caller has been seen to read or send slowly."""

    def seconds_left(self, now: float) -> float:
        """Return how long the connection will hold its bytes at the caller's pace."""

    def count_kernel_bytes(self) -> None:
        """Charge the bytes that the kernel holds for the connection."""

    def abandon(self) -> None:
        """Close the connection so that its caller sees that the answer is cut."""

    def handle_close(self) -> None:
        """Close the connection."""


def is_slow(connection: CallersConnection, now: float) -> bool:
    """Return whether a connection will hold its bytes for long.

    :param now: the clock's seconds.
    """
    in_time = bool(connection.unread_bytes) and now < connection.deadline
    least = MIN_OBSERVED_IN_TIME_SECONDS if in_time else MIN_OBSERVED_SECONDS
    return (
        connection.held_bytes > 0
        and connection.seconds_observed(now) >= least
        and connection.seconds_left(now) > MAX_HOLD_SECONDS
    )


def slowest_first(
    connections: Iterable[CallersConnection], now: float
) -> list[CallersConnection]:
    """Return the slow connections in the order in which they are to be closed.

    The client accounts whose slow connections hold most come first, then those that
    will hold their bytes for longest, then those without progress for longest.
    """
    slow = [each for each in connections if is_slow(each, now)]
    held: Counter[str] = Counter()
    for each in slow:
        held[each.account] += each.held_bytes
    return sorted(
        slow,
        key=lambda each: (
            -held[each.account],
            -each.seconds_left(now),
            each.progress_at,
        ),
    )


def oldest_idle(
    connections: Iterable[CallersConnection], most: int, now: float
) -> Sequence[CallersConnection]:
    """Return connections that serve no request, without activity for longest.

    :param most: how many to return at the most.
    :param now: the system's time in seconds.
    """
    until = now - MIN_IDLE_SECONDS
    idle = [e for e in connections if not e.serving and e.last_activity <= until]
    return sorted(idle, key=lambda each: each.last_activity)[:most]
