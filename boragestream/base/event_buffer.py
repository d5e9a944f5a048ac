"""Cuts the bytes of an event stream into events.

What an event means is left to its reader.
"""

import re

__all__ = ["COMMENT", "MAX_EVENTS", "EventBuffer"]

EVENT_END = re.compile(rb"\r?\n\r?\n")
# An end can begin so many bytes before those that come next.
END_OVERLAP = 3
# Begins an event that only keeps an idle connection alive.
COMMENT = b":"
# Above the tokens of the longest answers, with what keeps idle connections alive.
MAX_EVENTS = 65_536


class EventBuffer:
    """The bytes of a stream behind its last whole event.

    Each byte is copied and searched once, however small the parts are in which a long
    event comes: a server could hold an entry's processor otherwise.
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    def __len__(self) -> int:
        """Return how many bytes end no event yet."""
        return len(self._rest)

    @property
    def blank(self) -> bool:
        """Whether the rest is white space alone."""
        return not self._rest.strip()

    def take(self, data: bytes) -> list[bytes]:
        """Take bytes of the stream; return the events that are whole now.

        :returns: each with its end.
        """
        events: list[bytes] = []
        search_from = max(0, len(self._rest) - END_OVERLAP)
        self._rest += data
        begin = 0
        while (end := EVENT_END.search(self._rest, search_from)) is not None:
            events.append(bytes(self._rest[begin : end.end()]))
            begin = search_from = end.end()
        del self._rest[:begin]
        return events

    def clear(self) -> None:
        """Forget the rest."""
        self._rest.clear()
