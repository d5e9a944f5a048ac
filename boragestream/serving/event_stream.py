"""Splits a stream into complete events and checks their numbers.

Only complete events are passed on, so that a stream can resume at another server after
the last of them, unless that has no number. Duplicate events are dropped; a gap in the
numbers breaks the stream.
A stream without end breaks at a bound on the number of its events.
"""

import re
from dataclasses import dataclass

from boragestream.base.event_buffer import COMMENT, MAX_EVENTS, EventBuffer
from boragestream.base.outcomes import Failure

__all__ = ["EventSplitter", "StreamBroken", "StreamOversized"]

EVENT_NUMBER = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
# An event without such a line means nothing to its reader.
EVENT_DATA = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
# ``int`` refuses more than 4,300 digits.
MAX_NUMBER_DIGITS = 18
MAX_EVENT_BYTES = 1_048_576
# A server that resumes a stream at its beginning sends each event again.
MAX_DUPLICATES = 16_384
# Servers keep idle connections alive with a comment every few seconds.
MAX_EMPTY_EVENTS = 4_096


@dataclass(frozen=True, slots=True)
class StreamBroken(Failure):
    """A stream is not what it should be.

    :ivar reason: a description of the fault.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class StreamOversized(Failure):
    """A stream has more events of a kind than any sound server sends.

    :ivar limit: the bound that it went beyond.
    """

    limit: str


class EventSplitter:
    """Splits one stream into events, across all servers that send parts of it.

    :param last: the number of the last event that the caller has; None if it has none.
    """

    def __init__(self, last: int | None) -> None:
        self._last = last
        # Whether no event with data was passed on behind the last number.
        self._resumable = True
        self._buffer = EventBuffer()
        self._events_left = MAX_EVENTS
        self._duplicates_left = MAX_DUPLICATES
        self._empty_left = MAX_EMPTY_EVENTS

    @property
    def last(self) -> int | None:
        """The number of the last event passed on; None if there is none."""
        return self._last

    @property
    def resumable(self) -> bool:
        """Whether the last number says which events were passed on.

        A server that goes on behind it would send an event without a number once more.
        """
        return self._resumable

    def feed(self, data: bytes) -> list[bytes] | StreamBroken | StreamOversized:
        """Add bytes of the stream; return the events that are now complete.

        After a failure none of them counts as passed on, so that the next server sends
        those before the fault again.
        """
        events: list[bytes] = []
        last, resumable = self._last, self._resumable
        for event in self._buffer.take(data):
            match = EVENT_NUMBER.search(event)
            if match is not None:
                digits = match.group(1)
                if len(digits) > MAX_NUMBER_DIGITS:
                    return StreamBroken(f"event number of {len(digits)} digits")
                event_number = int(digits)
                if last is not None and event_number <= last:
                    self._duplicates_left -= 1
                    if self._duplicates_left < 0:
                        return StreamOversized(f"{MAX_DUPLICATES} duplicate events")
                    continue
                if last is not None and event_number > last + 1:
                    return StreamBroken(
                        f"event {event_number} does not follow event {last}"
                    )
                last, resumable = event_number, True
            elif EVENT_DATA.search(event) is not None:
                resumable = False
            elif not event.strip() or event.startswith(COMMENT):
                self._empty_left -= 1
                if self._empty_left < 0:
                    return StreamOversized(f"{MAX_EMPTY_EVENTS} empty events")
            self._events_left -= 1
            if self._events_left < 0:
                return StreamOversized(f"{MAX_EVENTS} events")
            events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            return StreamBroken("event exceeds 1 MiB")
        self._last, self._resumable = last, resumable
        return events

    def discard_partial(self) -> None:
        """Discard the incomplete event of a stream that broke.

        What the broken stream repeated doesn't count against the next server.
        """
        self._buffer.clear()
        self._duplicates_left = MAX_DUPLICATES
        self._empty_left = MAX_EMPTY_EVENTS

    def finish(self) -> StreamBroken | None:
        """End the stream; return a failure if an incomplete event remains."""
        return (
            None if self._buffer.blank else StreamBroken("stream ended within an event")
        )
