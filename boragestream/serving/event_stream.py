"""Splits a stream into complete events and checks their numbers.

Only complete events are passed on, so that a stream can resume at another server after
the last of them. Duplicate events are dropped; a gap in the numbers breaks the stream.
"""

import re
from dataclasses import dataclass

from boragestream.base.event_buffer import EventBuffer
from boragestream.base.outcomes import Failure

__all__ = ["EventSplitter", "StreamBroken"]

EVENT_NUMBER = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
MAX_EVENT_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class StreamBroken(Failure):
    """A stream is not what it should be.

    :ivar reason: a description of the fault.
    """

    reason: str


class EventSplitter:
    """Splits one stream into events, across all servers that send parts of it.

    :param last: the number of the last event that the caller has; None if it has none.
    """

    def __init__(self, last: int | None) -> None:
        self._last = last
        self._buffer = EventBuffer()

    @property
    def last(self) -> int | None:
        """The number of the last event passed on; None if there is none."""
        return self._last

    def feed(self, data: bytes) -> list[bytes] | StreamBroken:
        """Add bytes of the stream; return the events that are now complete."""
        events: list[bytes] = []
        for event in self._buffer.take(data):
            match = EVENT_NUMBER.search(event)
            if match is not None:
                event_number = int(match.group(1))
                if self._last is not None and event_number <= self._last:
                    continue
                if self._last is not None and event_number > self._last + 1:
                    return StreamBroken(
                        f"event {event_number} does not follow event {self._last}"
                    )
                self._last = event_number
            events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            return StreamBroken("event exceeds 1 MiB")
        return events

    def discard_partial(self) -> None:
        """Discard the incomplete event of a stream that broke."""
        self._buffer.clear()

    def finish(self) -> StreamBroken | None:
        """End the stream; return a failure if an incomplete event remains."""
        return (
            None if self._buffer.blank else StreamBroken("stream ended within an event")
        )
