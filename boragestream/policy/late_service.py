"""Decides about orders of a stage service's queue that can't meet their objective.

Load pattern: a burst of several seconds asks for two or three times what the servers of
a stage do. Each refused caller retries once, within a third of the time that it has
left, and mostly into the same burst. A caller with a long deadline is then refused for
good, although spare capacity would have served it late, after the burst.

Where service until the deadline is required, the last attempt of a caller is kept in
the queue until it could no longer be answered. It takes only places in batches that no
order in time needs. A first attempt is still refused at once: its retry may find
another owner or an emptier queue, and the refusal costs the caller nothing.
"""

import math
from dataclasses import dataclass
from typing import Protocol

__all__ = ["LateOrder", "LateService", "refuse_late", "serve_until_deadline"]


@dataclass(frozen=True, slots=True)
class LateOrder:
    """What the decision needs to know of an order or a booking.

    :ivar last_start: the latest start that still ends by its caller's deadline, in the
        clock's seconds.
    :ivar returning: whether its caller has been refused before and won't retry.
    :ivar invested: whether results of earlier stages are lost if it is dropped.
    """

    last_start: float
    returning: bool
    invested: bool


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
    if not (order.returning or order.invested) or math.isinf(order.last_start):
        return None
    return order.last_start
