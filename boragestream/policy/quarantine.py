"""Requests that crash the backend servers that run them, and who may still send them.

Load pattern: one request comes again and again, at any entry and under new ids, and
each server that begins to run it ends. Whatever ran beside it is cut as well, is sent
once more, and may meet it again. Requests are told apart by a fingerprint of what
decides what runs.

What is counted are crashes in a row: an attempt that is cut by a crash raises the count
to one more than was known when it was sent. Servers that are lost together so count
once for a request that ran on all of them, and an answer of any server ends the row.
With the second crash in a row a request is quarantined. One crash less would strike all
that ran beside the cause; one more would cost a small service its last server.

After the first crash whatever was cut goes on at once. Other copies of the request, at
whatever entry, take turns: several entries that hold one each would lose a server each.
A quarantine ends with a probe, and there too each entry has turns of its own, so that
the outcome of one is known to the others before theirs. A probe that crashes its server
begins a longer quarantine.

Left out: how a crash is noticed (``serving.request_guard``), how entries tell one
another (``entry.quarantine``).
"""

import heapq
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

import xxhash

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure

__all__ = [
    "CrashRecord",
    "Quarantine",
    "RequestQuarantined",
    "RequestSuspected",
]

CRASHES_TO_QUARANTINE = 2
# A server that was wrongly held against a request has long been replaced by then.
FIRST_QUARANTINE_SECONDS = 30.0
# Releases that mend a server are rolled out in this time.
QUARANTINE_SECONDS = 600.0
# How long a turn is: the outcome of one entry's probe reaches all others within it.
PROBE_TURN_SECONDS = 3.0
# Callers wait for the turns of a suspect, so that they are short; what the next entry
# does not hear of in time costs one more server.
SUSPECT_TURN_SECONDS = 1.0
# With as many entries some share a turn.
MOST_SUSPECT_TURNS = 8
# Callers that were cut by a crash have come back or given up by then.
SUSPECT_SECONDS = 60.0
FORGET_SECONDS = 3600.0
FORGET_GAP_SECONDS = 1.0
MOST_RECORDS = 4096
# Each record is offered so many times; what that misses is found by comparing digests.
OFFERS = 16


@dataclass(frozen=True, slots=True)
class RequestQuarantined(Failure):
    """The request crashed the servers that ran it and is sent to none for a while.

    :ivar crashes: how many in a row.
    :ivar left_seconds: for how long.
    """

    crashes: int
    left_seconds: float


@dataclass(frozen=True, slots=True)
class RequestSuspected(Failure):
    """A server has crashed under a copy of the request, and another one is awaited.

    :ivar left_seconds: until this entry may send it.
    """

    left_seconds: float


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What is known of one request.

    :ivar freed: how many quarantines have been ended by an answer.
    :ivar cleared: how many shorter rows of crashes have been ended by an answer since.
    :ivar crashes: crashes in a row since.
    """

    fingerprint: bytes
    freed: int = 0
    cleared: int = 0
    crashes: int = 0

    @property
    def rank(self) -> tuple[int, int, int]:
        """The record with the greater rank prevails."""
        return (self.freed, self.cleared, self.crashes)

    @property
    def quarantined(self) -> bool:
        """Whether the request is sent to no server for a while."""
        return self.crashes >= CRASHES_TO_QUARANTINE

    @property
    def lasting(self) -> bool:
        """Whether every entry must know it, also one that starts later.

        An entry that missed the end of a quarantine would bring it back to the others.
        """
        return self.quarantined or self.freed > 0

    def after_crash(self) -> "CrashRecord":
        """Return the record after one more crash in the row."""
        return replace(self, crashes=self.crashes + 1)

    def after_answer(self) -> "CrashRecord":
        """Return the record after an answer, which ends the row."""
        if self.quarantined:
            return CrashRecord(self.fingerprint, self.freed + 1)
        return replace(self, cleared=self.cleared + 1, crashes=0)


@dataclass(slots=True)
class _Kept:
    record: CrashRecord
    since: float
    offers: int = OFFERS
    # The last turn that this entry used, counted from the first one.
    used: int = -1


@dataclass(slots=True)
class Quarantine:
    """The crashes that one entry knows of.

    :ivar own: this entry's name.
    :ivar entries: returns the names of the entries that serve.
    :ivar changed: called after each change that others should hear at once.
    """

    own: str
    entries: Callable[[], Collection[str]]
    clock: Clock
    changed: Callable[[], None] = lambda: None
    _kept: dict[bytes, _Kept] = field(default_factory=dict)
    _digest: int = 0
    _forget_at: float = 0.0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def empty(self) -> bool:
        """Whether nothing is held against any request."""
        return not self._kept

    @property
    def count(self) -> int:
        """How many requests are quarantined."""
        return sum(kept.record.quarantined for kept in list(self._kept.values()))

    def known(self, of: bytes) -> CrashRecord:
        """Return what is known of a request."""
        kept = self._kept.get(of)
        return kept.record if kept is not None else CrashRecord(of)

    def admit(
        self, of: bytes, was_cut: bool = False
    ) -> RequestQuarantined | RequestSuspected | None:
        """Return why a request may not be sent now; None where it may.

        :param was_cut: whether it is a copy that was itself cut by the crash.
        """
        with self._lock:
            kept = self._kept.get(of)
            if kept is None or not kept.record.crashes:
                return None
            if was_cut and not kept.record.quarantined:
                return None
            turn, left = self._next_turn(kept)
            if left <= 0:
                kept.used = turn
                return None
            return _held(kept.record, left)

    def held(self, of: bytes) -> RequestQuarantined | RequestSuspected | None:
        """Return why a request that has just come is not sent; uses no turn up."""
        with self._lock:
            kept = self._kept.get(of)
            if kept is None or not kept.record.crashes:
                return None
            _, left = self._next_turn(kept)
            return _held(kept.record, left) if left > 0 else None

    def note_crash(self, sent_with: CrashRecord) -> CrashRecord | None:
        """Take that a server crashed while it ran a request.

        :param sent_with: what was known right before the request was sent.
        :returns: the new record; None where it says nothing new.
        """
        known = self.known(sent_with.fingerprint)
        # What was sent before an answer begins the next row.
        same_row = sent_with.rank[:2] == known.rank[:2]
        before = sent_with if same_row else replace(known, crashes=0)
        record = before.after_crash()
        return record if self.take(record, 0.0) else None

    def note_answered(self, of: bytes) -> None:
        """Take that a server answered a request, which ends its row of crashes."""
        known = self._kept.get(of)
        if known is not None and known.record.crashes:
            self.take(known.record.after_answer(), 0.0)

    def take(self, record: CrashRecord, age_seconds: float) -> bool:
        """Merge a record; False where it says nothing new.

        :param age_seconds: how long ago its last crash was noticed.
        """
        if age_seconds >= _keep_seconds(record):
            return False
        with self._lock:
            known = self._kept.get(record.fingerprint)
            if known is not None and known.record.rank >= record.rank:
                return False
            if known is None and len(self._kept) >= MOST_RECORDS:
                self._make_room()
            since = self.clock.now() - age_seconds
            self._put(_Kept(record, since))
        self.changed()
        return True

    def news(self, most: int) -> list[tuple[CrashRecord, float]]:
        """Return records to offer, each with its age, and count the offer.

        The longest rows go first, and what was offered least often.
        """
        with self._lock:
            self._forget()
            fresh = (kept for kept in self._kept.values() if kept.offers > 0)
            offered = heapq.nsmallest(most, fresh, key=_offer_order)
            for kept in offered:
                kept.offers -= 1
            return self._aged(offered)

    def lasting(self) -> list[tuple[CrashRecord, float]]:
        """Return the records that every entry must know, each with its age."""
        with self._lock:
            self._forget()
            return self._aged(k for k in self._kept.values() if k.record.lasting)

    @property
    def digest(self) -> int:
        """A 32-bit digest of the records that every entry must know."""
        return self._digest

    def _put(self, kept: _Kept) -> None:
        of = kept.record.fingerprint
        if of in self._kept:
            self._drop(of)
        self._kept[of] = kept
        self._digest ^= _digest(kept.record)

    def _drop(self, of: bytes) -> None:
        self._digest ^= _digest(self._kept.pop(of).record)

    def _aged(self, kept: Iterable[_Kept]) -> list[tuple[CrashRecord, float]]:
        now = self.clock.now()
        return [(each.record, now - each.since) for each in kept]

    def _next_turn(self, kept: _Kept) -> tuple[int, float]:
        """Return this entry's next turn, and the seconds until it begins."""
        record = kept.record
        length = PROBE_TURN_SECONDS if record.quarantined else SUSPECT_TURN_SECONDS
        digests = sorted(_turn_digest(name, record) for name in self._all_entries())
        own, turns = digests.index(_turn_digest(self.own, record)), len(digests)
        if not record.quarantined:
            turns = min(turns, MOST_SUSPECT_TURNS)
        elapsed = self.clock.now() - kept.since - _pause_seconds(record)
        turn = max(0, int(elapsed // length))
        turn += (own - turn) % turns
        if turn <= kept.used:
            turn += turns
        return turn, max(0.0, turn * length - elapsed)

    def _all_entries(self) -> set[str]:
        return {*self.entries(), self.own}

    def _forget(self) -> None:
        now = self.clock.now()
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_GAP_SECONDS
        for of, kept in list(self._kept.items()):
            if now - kept.since >= _keep_seconds(kept.record):
                self._drop(of)

    def _make_room(self) -> None:
        """Forget the oldest record that quarantines nothing, or else the oldest."""
        passing = (of for of, k in self._kept.items() if not k.record.quarantined)
        self._drop(next(passing, next(iter(self._kept))))


def _held(record: CrashRecord, left: float) -> RequestQuarantined | RequestSuspected:
    if record.quarantined:
        return RequestQuarantined(record.crashes, left)
    return RequestSuspected(left)


def _pause_seconds(record: CrashRecord) -> float:
    """Return for how long a request is sent to no server after its last crash."""
    if not record.quarantined:
        # What was cut is sent in the first turn.
        return SUSPECT_TURN_SECONDS
    first = record.crashes == CRASHES_TO_QUARANTINE
    return FIRST_QUARANTINE_SECONDS if first else QUARANTINE_SECONDS


def _keep_seconds(record: CrashRecord) -> float:
    return FORGET_SECONDS if record.lasting else SUSPECT_SECONDS


def _offer_order(kept: _Kept) -> tuple[int, int]:
    return (-kept.record.crashes, -kept.offers)


def _digest(record: CrashRecord) -> int:
    """Return the part of a record in the digest of all; 0 where it is left out."""
    if not record.lasting:
        return 0
    text = f"{record.rank} ".encode()
    return xxhash.xxh32_intdigest(text + record.fingerprint)


def _turn_digest(entry: str, record: CrashRecord) -> int:
    return xxhash.xxh3_64_intdigest(record.fingerprint + entry.encode())
