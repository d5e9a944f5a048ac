"""When a disruption strikes: windows of equal length with pauses between them."""

import time
from dataclasses import dataclass

__all__ = ["Windows"]


@dataclass(frozen=True)
class Windows:
    """Windows on the machine's steady clock.

    :ivar first: when the first one begins; infinite for none.
    :ivar length: the seconds of each.
    :ivar pause: the seconds between two.
    :ivar last: when the last one has ended.
    """

    first: float
    length: float
    pause: float
    last: float

    def open(self):
        """Return whether a window is open now."""
        now = time.monotonic()
        if not self.first <= now < self.last:
            return False
        return (now - self.first) % (self.length + self.pause) < self.length
