"""Decides about orders of a stage service's queue that can't meet their objective.

Load pattern: a burst of several seconds asks for two or three times what the servers of
a stage do. Each refused caller retries once, within a third of the time that it has
left, and mostly into the same burst. A caller with a long deadline is then refused for
good, although spare capacity would have served it late, after the burst.

Where service until the deadline is required, the last attempt of a caller is kept in
the queue until it could no longer be answered. It takes only places in batches that no
order in time needs. A first attempt is still refused at once: its retry may find
another owner or an emptier queue, and the refusal costs the caller nothing.

A last attempt is kept only if it is likely to be served, since a caller that waits in
vain is worse off than one that is refused at once. The spare capacity of the coming
seconds is unknown; that of as many past seconds is taken as its estimate. A caller with
six seconds left is therefore refused in the middle of a burst, and one with twenty is
kept.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "LateAdmission",
    "LateOrder",
    "LateService",
    "SpareCapacity",
    "refuse_late",
    "serve_until_deadline",
]

# Late orders are accepted up to this share of the estimated spare capacity. The rest is
# a margin for a burst that goes on.
MAX_SPARE_SHARE = 0.5
# Longer than any caller waits.
KEEP_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LateOrder:
    """What the decision needs to know of an order or a booking.

    :ivar last_start: the latest start that still ends by its caller's deadline, in the
        clock's seconds.
    :ivar returning: whether its caller has been refused before and won't retry.
    """

    last_start: float
    returning: bool


class LateService(Protocol):
    """Decides until when an order is kept that can't meet its objective."""

    def __call__(self, order: LateOrder) -> float | None:
        """Return the clock's seconds until which a late order is kept.

        :returns: None if late orders have no claim to be kept.
        """


def refuse_late(order: LateOrder) -> float | None:
    """Keep no late order longer than the queue's own rules do."""
    return None


def serve_until_deadline(order: LateOrder) -> float | None:
    """Keep an order without a further attempt as long as it can be answered."""
    if not order.returning or math.isinf(order.last_start):
        return None
    return order.last_start


class SpareCapacity:
    """The capacity of a queue's servers that its orders in time did not need.

    :param now: when the queue began to record them, in the clock's seconds.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._started: deque[tuple[float, int]] = deque()

    def note_started(self, pieces: int, now: float) -> None:
        """Record pieces of orders in time that were sent."""
        self._started.append((now, pieces))
        while self._started[0][0] < now - KEEP_SECONDS:
            self._started.popleft()

    def accepts(
        self, pieces: int, seconds: float, per_second: float, now: float
    ) -> bool:
        """Return whether late pieces are likely to be started.

        :param pieces: all late pieces, including those of the order in question.
        :param seconds: the time until the last useful start.
        :param per_second: the pieces that the servers do in a second.
        """
        span = min(seconds, now - self._since)
        used = sum(count for at, count in self._started if at > now - span)
        return pieces <= MAX_SPARE_SHARE * (per_second * span - used)


class LateAdmission:
    """Decides which late orders a queue accepts.

    :param rule: decides until when a late order is kept.
    """

    def __init__(self, rule: LateService) -> None:
        self._rule = rule
        # Set with the first batches, when the queue begins to have servers.
        self._spare: SpareCapacity | None = None

    @property
    def rule(self) -> LateService:
        """Decides until when a late order is kept."""
        return self._rule

    def begin(self, now: float) -> None:
        """Begin to record the spare capacity; later calls do nothing."""
        if self._spare is None:
            self._spare = SpareCapacity(now)

    def note_started(self, pieces: int, now: float) -> None:
        """Record pieces of orders in time that were sent."""
        self._spare.note_started(pieces, now)

    def keeps(
        self,
        order: LateOrder,
        pieces: Callable[[], int],
        wait: float,
        per_second: float,
        now: float,
    ) -> bool:
        """Return whether an order is accepted even if it will be late.

        :param pieces: returns the number of all late pieces, including those of the
            order. It looks at each order, and is called only for orders to be kept.
        :param wait: its expected wait in seconds.
        :param per_second: the pieces that its servers do in a second.
        """
        until = self._rule(order)
        if until is None or now + wait > until or self._spare is None:
            return False
        return self._spare.accepts(pieces(), until - now, per_second, now)
