"""Cuts a stream into whole events and checks their numbers.

Only whole events are passed on, so that a stream can go on at another server behind the
last of them. Events that came already are dropped; a gap breaks the stream.
"""

import re
from dataclasses import dataclass

from boragestream.base.outcomes import Failure

__all__ = ["EventSplitter", "StreamBroken"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
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
        self._rest = b""

    @property
    def last(self) -> int | None:
        """The number of the last event that was passed on."""
        return self._last

    def take(self, data: bytes) -> list[bytes] | StreamBroken:
        """Take bytes of a stream; return the events that are whole now."""
        events: list[bytes] = []
        self._rest += data
        while (end := EVENT_END.search(self._rest)) is not None:
            event, self._rest = self._rest[: end.end()], self._rest[end.end() :]
            number = EVENT_NUMBER.search(event)
            if number is not None:
                position = int(number.group(1))
                if self._last is not None and position <= self._last:
                    continue
                if self._last is not None and position > self._last + 1:
                    return StreamBroken(f"event {position} after {self._last}")
                self._last = position
            events.append(event)
        if len(self._rest) > MAX_EVENT_BYTES:
            return StreamBroken("an event without end")
        return events

    def drop_rest(self) -> None:
        """Forget the beginning of an event whose stream broke."""
        self._rest = b""

    def finish(self) -> StreamBroken | None:
        """Take that the stream has ended; a half event breaks it."""
        return StreamBroken("half an event") if self._rest.strip() else None
