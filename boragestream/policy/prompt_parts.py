"""Finds the parts of prompts that crash the servers that begin to answer them.

Load pattern: requests that have one part of their prompts in common crash each server
that begins to write an answer, whatever else they hold. No two of them are alike, so
that a quarantine of requests never applies, and sound requests share all other parts.

A crash puts the parts of each prompt under suspicion that was there and whose answer
had not begun. An answer that has begun clears all parts of its prompt. Parts that were
cleared shortly before the request was sent are not suspected: what most prompts share
is cleared all the time. If some suspected parts were at crashes before, only those with
the most crashes in a row are counted again, since one of them explains the crash. The
third crash in a row blocks a part: with one crash, each part that was there by chance
would be blocked, with two, those of a request that is cut again when it is sent again.

The records are those of ``policy.quarantine``, in a table of their own, with the same
probes. The last part of a prompt belongs to its request alone and is never suspected.
``serving.prompt_guard`` applies this to a request.
"""

import math
import threading
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.policy.fingerprints import fingerprint
from boragestream.policy.quarantine import CrashRecord, Quarantine

__all__ = [
    "CRASHES_TO_BLOCK",
    "PartCrashes",
    "PartQuarantined",
    "PartsAtSend",
    "part_fingerprint",
]

CRASHES_TO_BLOCK = 3
# A part that was cleared this long before a request was sent may have turned bad since.
CLEARED_SECONDS = 3.0
# The parts that most prompts share are few; the oldest ones are dropped.
MAX_CLEARED = 16_384


@dataclass(frozen=True, slots=True)
class PartQuarantined(Failure):
    """A part of the prompt crashed the servers that answered it and is sent to none.

    :ivar part: the part's identity.
    :ivar crashes: the number of consecutive crashes.
    :ivar left_seconds: the seconds until this entry may send a request with the part.
    """

    service: str
    part: str
    crashes: int
    left_seconds: float


@dataclass(frozen=True, slots=True)
class PartsAtSend:
    """What was recorded of a prompt's parts right before it was sent.

    :ivar at: when it was sent, in the clock's seconds.
    :ivar records: the records of those parts that had one, by fingerprint.
    """

    at: float = -math.inf
    records: Mapping[bytes, CrashRecord] = field(default_factory=dict)


@lru_cache(maxsize=8192)
def part_fingerprint(service: str, part: str) -> bytes:
    """Return the fingerprint of a part of prompts at a service."""
    return fingerprint("part", service, part)


class PartCrashes:
    """The crash records of the parts of prompts at one entry; thread-safe.

    :param quarantine: holds the records, with the threshold ``CRASHES_TO_BLOCK``.
    """

    def __init__(self, quarantine: Quarantine, clock: Clock) -> None:
        self._quarantine = quarantine
        self._clock = clock
        # When an answer to a prompt with the part last began, oldest first.
        self._cleared: OrderedDict[bytes, float] = OrderedDict()
        self._lock = threading.Lock()

    @property
    def blocked(self) -> int:
        """The number of blocked parts."""
        return self._quarantine.count

    def crashes(self, part: bytes) -> int:
        """Return the consecutive crashes that are recorded of a part."""
        return self._quarantine.record_for(part).crashes

    def refused(self, parts: Sequence[bytes]) -> tuple[bytes, int, float] | None:
        """Return why a request may not be sent now; None if it may.

        A permission given for a probe uses up a turn of this entry for each blocked
        part.

        :param parts: the fingerprints of the parts.
        :returns: a blocked part, its consecutive crashes and the seconds until this
            entry may send it.
        """
        blocked = self._blocked(parts)
        refusals = [(part, self._quarantine.refusal_of(part)) for part in blocked]
        refusals = refusals + [
            (part, self._quarantine.admit(part))
            for part in blocked
            if not any(refusal for _, refusal in refusals)
        ]
        for part, refusal in refusals:
            if refusal is not None:
                crashes = self._quarantine.record_for(part).crashes
                return part, crashes, refusal.left_seconds
        return None

    def ranks(self, parts: Sequence[bytes]) -> dict[bytes, tuple[int, int, int]]:
        """Return the ranks of the records of the blocked parts."""
        return {p: self._quarantine.record_for(p).rank for p in self._blocked(parts)}

    def turns(self, parts: Sequence[bytes]) -> dict[bytes, int]:
        """Return the turn of this entry that each blocked part last used."""
        return {p: self._quarantine.last_turn(p) for p in self._blocked(parts)}

    def has_ended(self, turns: Mapping[bytes, int]) -> bool:
        """Return whether any turn has ended in which a part was admitted."""
        return any(self._quarantine.has_ended(p, turn) for p, turn in turns.items())

    def at_send(self, parts: Sequence[bytes]) -> PartsAtSend:
        """Return what is recorded of a prompt's parts right before it is sent."""
        records = {}
        if not self._quarantine.empty:
            known = ((part, self._quarantine.record_for(part)) for part in parts)
            records = {part: record for part, record in known if any(record.rank)}
        return PartsAtSend(self._clock.now(), records)

    def note_crash(
        self, parts: Iterable[bytes], at_send: PartsAtSend
    ) -> list[CrashRecord]:
        """Count a crash of a server that had not begun to answer a prompt.

        :param parts: the fingerprints of the prompt's parts.
        :returns: the records that changed.
        """
        since = at_send.at - CLEARED_SECONDS
        with self._lock:
            suspects = [p for p in parts if self._cleared.get(p, -math.inf) < since]
        counts = {part: self._quarantine.record_for(part).crashes for part in suspects}
        most = max(counts.values(), default=0)
        changed = []
        for part in (part for part, count in counts.items() if count == most):
            before = at_send.records.get(part) or self._quarantine.new_record(part)
            record = self._quarantine.note_crash(before)
            if record is not None:
                changed.append(record)
        return changed

    def note_began(self, parts: Iterable[bytes]) -> None:
        """Record that a server has begun to answer a prompt without crashing."""
        now = self._clock.now()
        parts = tuple(parts)
        with self._lock:
            for part in parts:
                self._cleared[part] = now
                self._cleared.move_to_end(part)
            while len(self._cleared) > MAX_CLEARED:
                self._cleared.popitem(last=False)
        if not self._quarantine.empty:
            for part in parts:
                self._quarantine.note_answered(part)

    def _blocked(self, parts: Iterable[bytes]) -> list[bytes]:
        if self._quarantine.empty:
            return []
        return [p for p in parts if self._quarantine.record_for(p).quarantined]
