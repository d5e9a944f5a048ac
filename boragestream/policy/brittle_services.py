"""Services whose servers crash when they have to reject calls for want of room.

Such a server states in its answers that it is brittle. It bears few rejections a second
over all entries, and its room shrinks after a while, so that the only safe number of
calls at it is one that it never has to reject. One entry therefore counts the places at
each server (``entry.server_seats``) and no entry calls it without a seat. The first
number is that of the calls that the server works on at a time, without any that wait.

A rejection shows that the room is smaller still: the number falls at once to the calls
that were beside the rejected one. It rises again by one after a time without a
rejection in which all places were taken, but never back to a number that was too high.

The state is one of the service, not of a server: a server that has crashed comes
back in a new incarnation, and must not be overloaded before it can state this. A
service is no longer brittle once a later answer does not state it.

Entries exchange the records; of two, the one with the higher revision prevails, then
the one with fewer places.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.policy.servers import Server

__all__ = ["BrittleRecord", "BrittleServices", "parse_brittle"]

# No server rejects more calls a second; one that bears so many is not brittle.
MAX_REJECTIONS = 100_000.0
# Used for a server that does not state how many calls it works on at a time.
DEFAULT_PLACES = 4
# Answers of servers of one service can differ for this time when the state changes.
DISAGREEMENT_SECONDS = 1.0
GROWTH_SECONDS = 3.0
# How long the end of a brittle time is sent to other entries.
ENDED_SECONDS = 30.0
# A service whose servers do not state it for this long is no longer brittle.
EXPIRY_SECONDS = 120.0


def parse_brittle(texts: Sequence[str]) -> bool:
    """Return whether an answer states that its server is brittle.

    A value that is no number still states that the server is brittle.

    :param texts: the value of each such header of the answer.
    """
    for text in texts:
        try:
            rejections = float(text)
        except ValueError:
            return True
        # The comparison is also False for a value that is not a number.
        if not rejections > MAX_REJECTIONS:
            return True
    return False


@dataclass(frozen=True, slots=True)
class BrittleRecord:
    """What is known of one service.

    :ivar revision: rises with each change.
    :ivar places: calls that may be at one server at a time; None if the service is not
        brittle.
    """

    service: str
    revision: int
    places: int | None

    @property
    def rank(self) -> tuple[int, float]:
        """The sort key: of two records, the one with the greater rank prevails."""
        places = float("inf") if self.places is None else self.places
        return (self.revision, -places)


@dataclass(slots=True)
class _State:
    """The record of a service and what this entry saw of it.

    :ivar stated_at: when the latest call was sent whose answer states it.
    :ivar changed_at: when the record changed.
    :ivar rejected_at: when a server last rejected a call.
    :ivar ceiling: a number of calls that was too high; 0 for none.
    """

    record: BrittleRecord
    stated_at: float
    changed_at: float
    rejected_at: float = float("-inf")
    ceiling: int = 0


class BrittleServices:
    """The brittle services that one entry knows; safe to use from any thread.

    :param changed: called after each change that must be sent to others at once.
    """

    def __init__(
        self, clock: Clock, changed: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._on_change = changed
        self._states: dict[str, _State] = {}
        self._lock = threading.RLock()

    @property
    def count(self) -> int:
        """The number of services that are brittle now."""
        return sum(s.record.places is not None for s in list(self._states.values()))

    def is_brittle(self, service: str) -> bool:
        """Return whether the servers of a service are brittle."""
        return bool(self._states) and self._places(service) is not None

    def places(self, server: Server) -> int | None:
        """Return how many calls may be at a server; None for any number."""
        places = self._places(server.service)
        if places is None:
            return None
        return min(places, server.slots) if server.slots else places

    def note_answer(
        self, server: Server, stated: bool, sent_at: float, whole: bool
    ) -> BrittleRecord | None:
        """Record what an answer states; return the new record if it changes anything.

        :param sent_at: when the call was sent, in the clock's seconds.
        :param whole: whether the answer would state it if the server were brittle.
        """
        if not stated and not self._states:
            return None
        with self._lock:
            state = self._states.get(server.service)
            brittle = state is not None and state.record.places is not None
            if stated:
                if brittle:
                    state.stated_at = max(state.stated_at, sent_at)
                    return None
                revision = state.record.revision + 1 if state is not None else 1
                places = server.slots or DEFAULT_PLACES
                return self._set(BrittleRecord(server.service, revision, places))
            if not brittle or not whole:
                return None
            if sent_at < state.stated_at + DISAGREEMENT_SECONDS:
                return None
            ended = BrittleRecord(server.service, state.record.revision + 1, None)
            return self._set(ended)

    def note_rejected(self, service: str, left: int) -> BrittleRecord | None:
        """Record that a server rejected a call for want of room.

        :param left: the number of calls that were beside the rejected one.
        :returns: the new record if it changes anything.
        """
        with self._lock:
            state = self._states.get(service)
            if state is None or state.record.places is None:
                return None
            state.rejected_at = self._clock.now()
            places = max(1, left)
            known = state.record.places
            if places >= known:
                return None
            ceiling = min(state.ceiling or known, max(2, left + 1))
            record = BrittleRecord(service, state.record.revision + 1, places)
            changed = self._set(record)
            self._states[service].ceiling = ceiling
            self._states[service].rejected_at = self._clock.now()
            return changed

    def note_full(self, service: str) -> BrittleRecord | None:
        """Record that all places of a server are taken; return the record if it grew.

        Only the entry that counts the places of the server calls this.
        """
        now = self._clock.now()
        with self._lock:
            state = self._states.get(service)
            if state is None or state.record.places is None or not state.ceiling:
                return None
            quiet_since = max(state.rejected_at, state.changed_at)
            grown = state.record.places + 1
            if now - quiet_since < GROWTH_SECONDS or grown >= state.ceiling:
                return None
            return self._set(BrittleRecord(service, state.record.revision + 1, grown))

    def take(self, record: BrittleRecord) -> BrittleRecord | None:
        """Merge the record of another entry; return it if it changes anything."""
        with self._lock:
            state = self._states.get(record.service)
            if state is None and record.places is None:
                return None
            if state is not None and state.record.rank >= record.rank:
                return None
            return self._set(record)

    def records(self) -> list[BrittleRecord]:
        """Return the records that other entries must have, the latest change first."""
        if not self._states:
            return []
        now = self._clock.now()
        with self._lock:
            for service, state in list(self._states.items()):
                brittle = state.record.places is not None
                heard_at = max(state.stated_at, state.changed_at)
                expiry = EXPIRY_SECONDS if brittle else ENDED_SECONDS
                if now - heard_at > expiry:
                    del self._states[service]
            states = sorted(self._states.values(), key=lambda s: -s.changed_at)
            return [state.record for state in states]

    def _places(self, service: str) -> int | None:
        state = self._states.get(service)
        return state.record.places if state is not None else None

    def _set(self, record: BrittleRecord) -> BrittleRecord:
        now = self._clock.now()
        state = self._states.get(record.service)
        if state is None or state.record.places is None or record.places is None:
            state = self._states[record.service] = _State(record, now, now)
        state.record, state.changed_at = record, now
        self._on_change()
        return record
