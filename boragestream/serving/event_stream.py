"""Cuts a stream into whole events and checks their numbers.

Only whole events are passed on, so that a stream can go on at another server behind the
last of them. Events that came already are dropped; a gap breaks the stream.
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

    :ivar reason: what is wrong with it.
    """

    reason: str


class EventSplitter:
    """The events of one stream, from whichever servers they come.

    :param last: the number of the last event that the caller has; None for none.
    """

    def __init__(self, last: int | None) -> None:
        self._last = last
        self._buffer = EventBuffer()

    @property
    def last(self) -> int | None:
        """The number of the last event that was passed on."""
        return self._last

    def take(self, data: bytes) -> list[bytes] | StreamBroken:
        """Take bytes of a stream; return the events that are whole now."""
        events: list[bytes] = []
        for event in self._buffer.take(data):
            number = EVENT_NUMBER.search(event)
            if number is not None:
                position = int(number.group(1))
                if self._last is not None and position <= self._last:
                    continue
                if self._last is not None and position > self._last + 1:
                    return StreamBroken(f"event {position} after {self._last}")
                self._last = position
            events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            return StreamBroken("an event without end")
        return events

    def drop_rest(self) -> None:
        """Forget the beginning of an event whose stream broke."""
        self._buffer.clear()

    def finish(self) -> StreamBroken | None:
        """Take that the stream has ended; a half event breaks it."""
        return None if self._buffer.blank else StreamBroken("half an event")
