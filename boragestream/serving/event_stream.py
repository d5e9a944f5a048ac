"""Splits a stream into complete events and checks their numbers.

Only complete events are passed on, so that a stream can resume at another server after
the last of them, unless that has no number. Duplicate events are dropped if they are
those that were passed on; a gap in the numbers breaks the stream, and so does an end
before the last event that was passed on. A stream without end breaks at a bound on the
number of its events.
"""

import re
from array import array
from dataclasses import dataclass

import xxhash

from boragestream.base.event_buffer import COMMENT, MAX_EVENTS, EventBuffer
from boragestream.base.memory_budget import MemoryCharge
from boragestream.base.outcomes import Failure

__all__ = ["EventSplitter", "StreamBroken", "StreamOversized"]

EVENT_NUMBER = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
# An event without such a line means nothing to its reader.
EVENT_DATA = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
# ``int`` refuses more than 4,300 digits.
MAX_NUMBER_DIGITS = 18
MAX_EVENT_BYTES = 1_048_576
# Less is not charged while it is passed on.
CHARGED_BYTES = 4_096
# A server that resumes a stream at its beginning sends each event again.
MAX_DUPLICATES = 16_384
# A server that dies before it goes on ends its connection like one with nothing left.
MIN_SILENT_ENDS = 2
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
    :param held: the charge for the bytes that were not passed on yet; None if they are
        not counted.
    """

    def __init__(self, last: int | None, held: MemoryCharge | None = None) -> None:
        self._last = last
        self._held = held
        # Whether no event with data was passed on behind the last number.
        self._resumable = True
        # Of the numbered events that were passed on.
        self._digests = array("Q")
        # The highest number of the present server; None if it has sent none.
        self._reached: int | None = None
        # Whether the present server has sent an event with data.
        self._brought = False
        # Servers whose connection ended without framing and without such an event.
        self._silent_ends = 0
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
        last, resumable, reached = self._last, self._resumable, self._reached
        count = len(self._digests)
        events = self._take(data)
        if isinstance(events, Failure):
            self._last, self._resumable, self._reached = last, resumable, reached
            del self._digests[count:]
        elif self._held is not None:
            self._charge(len(self._buffer) + sum(map(len, events)))
        return events

    def note_passed_on(self) -> None:
        """Record that the caller's connection holds all events."""
        if self._held is not None:
            self._charge(len(self._buffer))

    def _charge(self, size: int) -> None:
        # Most events are short, and frequent.
        if size >= CHARGED_BYTES or self._held.size:
            self._held.set(size if size >= CHARGED_BYTES else 0)

    def discard_partial(self) -> None:
        """Discard the incomplete event of a stream that broke.

        What the broken stream repeated doesn't count against the next server.
        """
        self._buffer.clear()
        self._reached = None
        self._brought = False
        self._duplicates_left = MAX_DUPLICATES
        self._empty_left = MAX_EMPTY_EVENTS

    def finish(self, framed: bool = True) -> StreamBroken | None:
        """End the stream; return a failure if it is not whole.

        :param framed: whether the answer ends otherwise than with its connection, which
            may end at any byte.
        """
        if not self._buffer.blank:
            return StreamBroken("stream ended within an event")
        reached = self._reached
        if reached is not None and reached < self._last:
            return StreamBroken(f"stream ended at event {reached} of {self._last}")
        if not framed and not self._brought:
            # A stream has events unless the caller has them all, which two servers say.
            self._silent_ends += 1
            if self._last is None or self._silent_ends < MIN_SILENT_ENDS:
                return StreamBroken("no event")
        return None

    def _take(self, data: bytes) -> list[bytes] | StreamBroken | StreamOversized:
        events: list[bytes] = []
        for event in self._buffer.take(data):
            match = EVENT_NUMBER.search(event)
            if match is not None:
                digits = match.group(1)
                if len(digits) > MAX_NUMBER_DIGITS:
                    return StreamBroken(f"event number of {len(digits)} digits")
                number = int(digits)
                self._brought = True
                self._reached = max(number, self._reached or 0)
                if self._last is not None and number <= self._last:
                    broken = self._check_duplicate(number, event)
                    if broken is not None:
                        return broken
                    continue
                if self._last is not None and number > self._last + 1:
                    return StreamBroken(
                        f"event {number} does not follow event {self._last}"
                    )
                self._last, self._resumable = number, True
                self._digests.append(xxhash.xxh3_64_intdigest(event))
            elif EVENT_DATA.search(event) is not None:
                self._resumable = False
                self._brought = True
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
        return events

    def _check_duplicate(
        self, number: int, event: bytes
    ) -> StreamBroken | StreamOversized | None:
        """Return why an event is not one that was passed on before; None if it is.

        Events that another request of the caller brought are not known.
        """
        self._duplicates_left -= 1
        if self._duplicates_left < 0:
            return StreamOversized(f"{MAX_DUPLICATES} duplicate events")
        behind = self._last - number
        if behind >= len(self._digests):
            return None
        if self._digests[-1 - behind] == xxhash.xxh3_64_intdigest(event):
            return None
        return StreamBroken(f"event {number} differs from that passed on")
