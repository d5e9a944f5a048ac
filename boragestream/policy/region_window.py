"""The window for optional bytes between this entry and another region.

Load pattern: one link carries all traffic between two regions, and many entries each
send optional traffic until it is full. The window halves when the delay exceeds its
minimum or an answer is missing, and grows by a fixed amount otherwise. Entries that
share a link see the same delay and converge to equal windows without knowing its rate.
"""

__all__ = ["MIN_ADJUST_SECONDS", "OptionalWindow"]

# Bytes a second. The window begins at some ten small answers a second.
INITIAL_WINDOW = 65_536.0
MIN_WINDOW = 4_096.0
MAX_WINDOW = 16_777_216.0
WINDOW_STEP = 16_384.0
WINDOW_FACTOR = 0.5
# The window changes at most this often, since a change takes effect only after the
# bytes that were sent before it have left the link.
MIN_ADJUST_SECONDS = 1.0
# A window grows beyond its beginning only while at least this share of it is used.
USED_SHARE = 0.5
# The most seconds of its window that a large transfer takes from later optional ones.
MAX_DEBT_SECONDS = 10.0


class OptionalWindow:
    """The optional bytes a second that may be exchanged with one region.

    The caller serialises the calls.

    :param now: the time in the clock's seconds, here and below.
    """

    def __init__(self, now: float) -> None:
        self._size = INITIAL_WINDOW
        # The bytes that may be exchanged now; negative after a large transfer.
        self._credit = INITIAL_WINDOW
        self._credited_at = now
        self._adjusted_at = now
        # The bytes since the last change of the window.
        self._used = 0.0

    @property
    def size(self) -> float:
        """The bytes a second."""
        return self._size

    def is_open(self, now: float) -> bool:
        """Return whether more bytes may be exchanged now."""
        self._earn_credit(now)
        return self._credit > 0

    def use(self, now: float, size: int) -> None:
        """Record bytes that were exchanged."""
        self._earn_credit(now)
        self._credit = max(-MAX_DEBT_SECONDS * self._size, self._credit - size)
        self._used += size

    def grow(self, now: float) -> None:
        """Increase the window after an answer without a queue."""
        elapsed = now - self._adjusted_at
        if elapsed < MIN_ADJUST_SECONDS:
            return
        in_use = self._used >= USED_SHARE * self._size * elapsed
        most = MAX_WINDOW if in_use else max(self._size, INITIAL_WINDOW)
        self._set(now, min(most, self._size + WINDOW_STEP))

    def shrink(self, now: float, round_trip_seconds: float) -> None:
        """Decrease the window after a missing answer or one that met a queue."""
        if now - self._adjusted_at >= max(MIN_ADJUST_SECONDS, round_trip_seconds):
            self._set(now, max(MIN_WINDOW, self._size * WINDOW_FACTOR))

    def _set(self, now: float, size: float) -> None:
        self._earn_credit(now)
        self._size = size
        self._credit = min(self._credit, size)
        self._adjusted_at = now
        self._used = 0.0

    def _earn_credit(self, now: float) -> None:
        earned = (now - self._credited_at) * self._size
        self._credit = min(self._size, self._credit + earned)
        self._credited_at = now
