"""Hands answers of backend servers to the connection of their caller.

``serving.forwarder`` chooses the servers, and produces the blocks and events.
"""

from collections.abc import Iterator
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.base.failures import CallerGone
from boragestream.base.memory_budget import MemoryCharge
from boragestream.base.outcomes import Failure
from boragestream.serving.forwarded_run import ForwardedRun

__all__ = [
    "ForwardedBody",
    "ForwardedStream",
    "StreamCutError",
    "StreamOwner",
    "StreamTiming",
]


class StreamTiming:
    """Times at which a stream's events were sent, for its final log line."""

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._last_at = 0.0
        self._longest_pause = 0.0

    @property
    def longest_pause(self) -> float:
        """The longest time between two events, in seconds."""
        return self._longest_pause

    def record(self, now: float) -> None:
        """Record that events are sent now."""
        if self._first_at is None:
            self._first_at = now
        else:
            self._longest_pause = max(self._longest_pause, now - self._last_at)
        self._last_at = now

    def first_ms(self, arrived: float) -> int | None:
        """Return the milliseconds to the first event; None if there was none."""
        first = self._first_at
        return int((first - arrived) * 1000) if first is not None else None


class StreamOwner(Protocol):
    """The part of the application that a stream calls."""

    clock: Clock

    def release(self, run: ForwardedRun) -> None:
        """Release a request that is no longer being served."""

    def log_end(
        self,
        run: ForwardedRun,
        outcome: str,
        status: int,
        failure: Failure | None,
        timing: StreamTiming | None = None,
    ) -> None:
        """Log and count how a request ended."""


class ForwardedBody:
    """The body of a whole answer, as waitress iterates over it.

    :param blocks: are removed as they are handed over.
    :param held: the charge for the blocks; None if they are not counted.
    """

    def __init__(self, blocks: list[bytes], held: MemoryCharge | None) -> None:
        self._blocks = blocks
        self._held = held

    def __iter__(self) -> Iterator[bytes]:
        self._blocks.reverse()
        while self._blocks:
            block = self._blocks.pop()
            yield block
            # The connection charges what it holds of it.
            if self._held is not None:
                self._held.give(len(block))

    def close(self) -> None:
        """Drop what was not handed over; waitress always calls this."""
        self._blocks.clear()
        if self._held is not None:
            self._held.release()


class ForwardedStream:
    """The events of a stream, as waitress iterates over them."""

    def __init__(
        self,
        owner: StreamOwner,
        run: ForwardedRun,
        events: Iterator[bytes | Failure],
    ) -> None:
        self._owner = owner
        self._run = run
        self._events = events
        self._timing = StreamTiming()
        self._ended = False
        self._released = False

    def __iter__(self) -> Iterator[bytes]:
        for part in self._events:
            if isinstance(part, Failure):
                self._end("abandoned" if isinstance(part, CallerGone) else "cut", part)
                # waitress then closes the connection without the end of the answer, so
                # that the caller detects the truncation.
                raise StreamCutError
            self._timing.record(self._owner.clock.now())
            yield part
        self._end("answered", None)

    def close(self) -> None:
        """Release the stream's resources; waitress always calls this."""
        self._events.close()
        if not self._released:
            self._released = True
            self._owner.release(self._run)
        self._end("abandoned", self._run.scope.reason)

    def _end(self, outcome: str, failure: Failure | None) -> None:
        if not self._ended:
            self._ended = True
            self._owner.log_end(self._run, outcome, 200, failure, self._timing)


class StreamCutError(Exception):
    """A stream ended before its end mark."""
