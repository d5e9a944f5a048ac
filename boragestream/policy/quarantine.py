"""Quarantines requests that crash the backend servers that run them.

Load pattern: one request comes repeatedly, at any entry and under new ids, and each
server that starts to run it crashes. The crash also cuts the other requests on that
server; they are sent again and may run beside the same request again. Requests are
identified by a fingerprint of the content that determines what runs.

Each entry (an instance that takes requests of callers) counts consecutive crashes per
fingerprint. When a crash cuts an attempt, the new count is the count at the time of
sending plus one, so that simultaneous crashes of several servers count once. An answer
from any server resets the count. The second consecutive crash quarantines a request. A
threshold of one would also block the requests that ran beside the cause; a threshold of
three would cost a small service its last server. A request that ran beside the cause
at two consecutive crashes is still quarantined wrongly.

A turn is a time slot in which an entry may send one copy of a request; the entries have
their turns one after another. After the first crash, the attempts that were cut are
sent again at once. Other copies, at any entry, are sent only in turns: otherwise
several entries with one copy each would lose a server each. A quarantine ends with a
probe, also sent in turns, none of which two entries share: the other entries thus learn
the outcome before their turns begin. A probe that crashes its server starts a longer
quarantine.

``serving.request_guard`` detects crashes, and ``entry.quarantine`` exchanges the
records between entries.
"""

import heapq
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace

import xxhash

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CrashRecord",
    "Quarantine",
    "RequestQuarantined",
    "RequestSuspected",
]

CRASHES_TO_QUARANTINE = 2
# Long enough to replace a server whose crash was wrongly attributed to a request.
FIRST_QUARANTINE_SECONDS = 30.0
# Releases that fix a server are rolled out within this time.
QUARANTINE_SECONDS = 600.0
# The length of a turn, within which the outcome of one entry's probe reaches all other
# entries.
PROBE_TURN_SECONDS = 3.0
# Turns of suspected requests are short because callers wait for them. Each outcome that
# does not reach the entry whose turn is next within one turn costs one more server.
SUSPECT_TURN_SECONDS = 1.0
# The maximum number of turns of a suspected request before an entry's turn comes again.
# It bounds the wait for a turn. With more entries than this, some share a turn.
MAX_SUSPECT_TURNS = 8
# Callers whose requests were cut by a crash have returned or given up by then.
SUSPECT_RETENTION_SECONDS = 60.0
RETENTION_SECONDS = 3600.0
EXPIRY_CHECK_SECONDS = 1.0
MAX_RECORDS = 4096
# The number of times that each record is offered. Entries that miss all offers detect
# the difference by comparing digests.
OFFERS_PER_RECORD = 16


@dataclass(frozen=True, slots=True)
class RequestQuarantined(Failure):
    """The request crashed the servers that ran it and is sent to none for a while.

    :ivar crashes: the number of consecutive crashes.
    :ivar left_seconds: the seconds until this entry may send the request.
    """

    crashes: int
    left_seconds: float


@dataclass(frozen=True, slots=True)
class RequestSuspected(Failure):
    """A server has crashed under a copy of the request, and another one is awaited.

    :ivar left_seconds: the seconds until this entry may send the request.
    """

    left_seconds: float


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The crash history of one request.

    :ivar quarantines_ended: the number of quarantines that an answer has ended.
    :ivar sequences_ended: the number of crash sequences too short for a quarantine
        that an answer has ended since the last quarantine.
    :ivar crashes: the number of consecutive crashes since the last answer.
    :ivar threshold: the number of consecutive crashes that lead to a quarantine.
    """

    fingerprint: bytes
    quarantines_ended: int = 0
    sequences_ended: int = 0
    crashes: int = 0
    threshold: int = CRASHES_TO_QUARANTINE

    @property
    def rank(self) -> tuple[int, int, int]:
        """The order of records of one request; the greatest rank prevails."""
        return (self.quarantines_ended, self.sequences_ended, self.crashes)

    @property
    def quarantined(self) -> bool:
        """Whether the request is in quarantine."""
        return self.crashes >= self.threshold

    @property
    def replicated(self) -> bool:
        """Whether every entry must have the record, including entries that start later.

        An entry that missed the end of a quarantine would reintroduce it at the others.
        """
        return self.quarantined or self.quarantines_ended > 0

    def after_crash(self) -> "CrashRecord":
        """Return the record after one more consecutive crash."""
        return replace(self, crashes=self.crashes + 1)

    def after_answer(self) -> "CrashRecord":
        """Return the record after an answer, which resets the crash count."""
        if self.quarantined:
            ended = self.quarantines_ended + 1
            return replace(self, quarantines_ended=ended, sequences_ended=0, crashes=0)
        return replace(self, sequences_ended=self.sequences_ended + 1, crashes=0)


@dataclass(slots=True)
class _StoredRecord:
    record: CrashRecord
    crashed_at: float
    offers_left: int = OFFERS_PER_RECORD
    # The last turn that this entry used; turns are numbered from 0.
    last_turn: int = -1


@dataclass(slots=True)
class Quarantine:
    """The crash records that one entry has.

    :ivar own: this entry's name.
    :ivar entries: returns the names of the entries that may serve callers, also of
        those that can't be reached from here.
    :ivar changed: called after each change, which other entries must get at once.
    :ivar threshold: the number of consecutive crashes that lead to a quarantine.
    """

    own: str
    entries: Callable[[], Collection[str]]
    clock: Clock
    changed: Callable[[], None] = lambda: None
    threshold: int = CRASHES_TO_QUARANTINE
    _records: dict[bytes, _StoredRecord] = field(default_factory=dict)
    _digest: int = 0
    _next_expiry_check: float = 0.0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def empty(self) -> bool:
        """Whether there is no record of any request."""
        return not self._records

    @property
    def count(self) -> int:
        """The number of quarantined requests."""
        return sum(stored.record.quarantined for stored in list(self._records.values()))

    def record_for(self, fingerprint: bytes) -> CrashRecord:
        """Return the record of a request; an empty record if there is none."""
        stored = self._records.get(fingerprint)
        return stored.record if stored is not None else self.new_record(fingerprint)

    def new_record(
        self,
        fingerprint: bytes,
        quarantines_ended: int = 0,
        sequences_ended: int = 0,
        crashes: int = 0,
    ) -> CrashRecord:
        """Return a record with the threshold of this table."""
        return CrashRecord(
            fingerprint, quarantines_ended, sequences_ended, crashes, self.threshold
        )

    def admit(
        self, fingerprint: bytes, was_cut: bool = False
    ) -> RequestQuarantined | RequestSuspected | None:
        """Return why a request may not be sent now; None if it may.

        A permission given in one of this entry's turns uses up that turn.

        :param was_cut: whether this copy of the request was itself cut by the crash.
        """
        with self._lock:
            stored = self._records.get(fingerprint)
            if stored is None or not stored.record.crashes:
                return None
            if was_cut and not stored.record.quarantined:
                return None
            turn, left = self._next_turn(stored)
            if left <= 0:
                stored.last_turn = turn
                return None
            return _refusal(stored.record, left)

    def refusal_of(
        self, fingerprint: bytes
    ) -> RequestQuarantined | RequestSuspected | None:
        """Return why a newly arrived request may not be sent now; None if it may.

        Unlike ``admit``, this does not use up a turn.
        """
        with self._lock:
            stored = self._records.get(fingerprint)
            if stored is None or not stored.record.crashes:
                return None
            _, left = self._next_turn(stored)
            return _refusal(stored.record, left) if left > 0 else None

    def last_turn(self, fingerprint: bytes) -> int:
        """Return the number of the turn that this entry last used; -1 if none."""
        stored = self._records.get(fingerprint)
        return -1 if stored is None else stored.last_turn

    def has_ended(self, fingerprint: bytes, turn: int) -> bool:
        """Return whether a turn has ended in which a request was admitted.

        :param turn: the turn's number; -1 if the request was admitted in none.
        """
        with self._lock:
            stored = self._records.get(fingerprint)
            if stored is None or turn < 0:
                return False
            length, elapsed = self._turn_timing(stored)
        return elapsed >= (turn + 1) * length

    def note_crash(self, sent_with: CrashRecord) -> CrashRecord | None:
        """Record that a server crashed while it ran a request.

        :param sent_with: the request's record right before the request was sent.
        :returns: the new record; None if the crash changes nothing.
        """
        current = self.record_for(sent_with.fingerprint)
        # If an answer was recorded after the request was sent, the count starts anew.
        same_sequence = sent_with.rank[:2] == current.rank[:2]
        before = sent_with if same_sequence else replace(current, crashes=0)
        record = before.after_crash()
        return record if self.merge(record, 0.0) else None

    def note_answered(self, fingerprint: bytes) -> None:
        """Record that a server answered a request, which resets its crash count."""
        stored = self._records.get(fingerprint)
        if stored is not None and stored.record.crashes:
            self.merge(stored.record.after_answer(), 0.0)

    def merge(self, record: CrashRecord, age_seconds: float) -> bool:
        """Merge a record; return False if it changes nothing.

        :param age_seconds: the time since the crash or answer that led to the record.
        """
        if age_seconds >= _retention_seconds(record):
            return False
        with self._lock:
            stored = self._records.get(record.fingerprint)
            if stored is not None and stored.record.rank >= record.rank:
                return False
            if stored is None and len(self._records) >= MAX_RECORDS:
                self._evict_one()
            since = self.clock.now() - age_seconds
            self._put(_StoredRecord(record, since))
        self.changed()
        return True

    def next_offers(self, max_records: int) -> list[tuple[CrashRecord, float]]:
        """Return records to offer, at most ``max_records``, each with its age.

        Each call counts as one offer of the returned records. Records with the most
        consecutive crashes come first, then those that were offered least often.
        """
        with self._lock:
            self._drop_expired()
            fresh = (
                stored for stored in self._records.values() if stored.offers_left > 0
            )
            offered = heapq.nsmallest(max_records, fresh, key=_offer_order)
            for stored in offered:
                stored.offers_left -= 1
            return self._with_ages(offered)

    def replicated_records(self) -> list[tuple[CrashRecord, float]]:
        """Return the records that every entry must have, each with its age."""
        with self._lock:
            self._drop_expired()
            return self._with_ages(
                k for k in self._records.values() if k.record.replicated
            )

    @property
    def digest(self) -> int:
        """A 32-bit digest of the records that every entry must have."""
        return self._digest

    def _put(self, stored: _StoredRecord) -> None:
        fingerprint = stored.record.fingerprint
        if fingerprint in self._records:
            self._drop(fingerprint)
        self._records[fingerprint] = stored
        self._digest ^= _digest(stored.record)

    def _drop(self, fingerprint: bytes) -> None:
        self._digest ^= _digest(self._records.pop(fingerprint).record)

    def _with_ages(
        self, records: Iterable[_StoredRecord]
    ) -> list[tuple[CrashRecord, float]]:
        now = self.clock.now()
        return [(each.record, now - each.crashed_at) for each in records]

    def _next_turn(self, stored: _StoredRecord) -> tuple[int, float]:
        """Return this entry's next turn, and the seconds until it begins."""
        record = stored.record
        length, elapsed = self._turn_timing(stored)
        names = {*self.entries(), self.own}
        digests = sorted(_turn_digest(name, record) for name in names)
        own, turns = digests.index(_turn_digest(self.own, record)), len(digests)
        if not record.quarantined:
            turns = min(turns, MAX_SUSPECT_TURNS)
        turn = max(0, int(elapsed // length))
        turn += (own - turn) % turns
        if turn <= stored.last_turn:
            turn += turns
        return turn, max(0.0, turn * length - elapsed)

    def _turn_timing(self, stored: _StoredRecord) -> tuple[float, float]:
        """Return the length of a turn, and the seconds since the first one began."""
        record = stored.record
        length = PROBE_TURN_SECONDS if record.quarantined else SUSPECT_TURN_SECONDS
        return length, self.clock.now() - stored.crashed_at - _pause_seconds(record)

    def _drop_expired(self) -> None:
        now = self.clock.now()
        if now < self._next_expiry_check:
            return
        self._next_expiry_check = now + EXPIRY_CHECK_SECONDS
        for fingerprint, stored in list(self._records.items()):
            if now - stored.crashed_at >= _retention_seconds(stored.record):
                self._drop(fingerprint)

    def _evict_one(self) -> None:
        """Drop the oldest record of a request not in quarantine, else the oldest."""
        not_quarantined = (
            key for key, k in self._records.items() if not k.record.quarantined
        )
        self._drop(next(not_quarantined, next(iter(self._records))))


def _refusal(record: CrashRecord, left: float) -> RequestQuarantined | RequestSuspected:
    if record.quarantined:
        return RequestQuarantined(record.crashes, left)
    return RequestSuspected(left)


def _pause_seconds(record: CrashRecord) -> float:
    """Return the seconds from a request's last crash to the first turn."""
    if not record.quarantined:
        # The first turn belongs to the attempts that were cut.
        return SUSPECT_TURN_SECONDS
    first = record.crashes == record.threshold
    return FIRST_QUARANTINE_SECONDS if first else QUARANTINE_SECONDS


def _retention_seconds(record: CrashRecord) -> float:
    return RETENTION_SECONDS if record.replicated else SUSPECT_RETENTION_SECONDS


def _offer_order(stored: _StoredRecord) -> tuple[int, int]:
    return (-stored.record.crashes, -stored.offers_left)


def _digest(record: CrashRecord) -> int:
    """Return a record's part of the common digest; 0 if it is not part of it."""
    if not record.replicated:
        return 0
    text = f"{record.rank} ".encode()
    return xxhash.xxh32_intdigest(text + record.fingerprint)


def _turn_digest(entry: str, record: CrashRecord) -> int:
    return xxhash.xxh3_64_intdigest(record.fingerprint + entry.encode())
