"""What is used of published values in place of what the platform's store says.

Two things keep a value in use that the store does not have. Entries that lapse while
the store is out of reach come back if their servers live; they are kept for a moment
after its return. And a store that comes back from a copy says old things as if they
were new: a key that the copy lacks is kept until its writer has had time to write it
again, and a write that is known to have been superseded is not believed for longer
still. Both end by themselves, so that nothing stays wrong if nobody writes again; what
is written after the return prevails at once.

What is stored is left to ``policy.published_table``, which guards this with its lock.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import msgspec
import xxhash

from boragestream.policy.publication import Held, Relayed, Write
from boragestream.policy.superseded import SupersededWrites

__all__ = ["OPERATOR_RETENTION", "SERVER_RETENTION", "HeldValues", "Retention"]


@dataclass(frozen=True, slots=True)
class Retention:
    """How long values are used against what a returned store says.

    :ivar missing_seconds: for which a value is kept that the store lacks.
    :ivar superseded_seconds: for which a write is not believed that was superseded.
    """

    missing_seconds: float
    superseded_seconds: float


# A server that lives writes its entry again within two seconds of the store's return;
# of one that does not the store drops the entry after a few seconds of silence.
SERVER_RETENTION = Retention(2.2, 8.0)
# Operators need longer to find out what was lost and to publish it again. An order that
# was given or taken back holds meanwhile.
OPERATOR_RETENTION = Retention(30.0, 30.0)


@dataclass(frozen=True, slots=True)
class _Kept:
    """What is used of a key.

    :ivar until: in the clock's seconds.
    :ivar used: None where the key counts as removed.
    :ivar returned: whether the store's return from a copy is the reason.
    """

    until: float
    used: Write | None
    returned: bool = False


class HeldValues:
    """What is used in place of what is stored; not thread-safe.

    :param now: returns the clock's seconds.
    :param stored: what the store says, by key; its owner changes it.
    """

    def __init__(
        self,
        now: Callable[[], float],
        retention: Retention,
        stored: dict[str, Write],
    ) -> None:
        self._now = now
        self._retention = retention
        self._stored = stored
        self._kept: dict[str, _Kept] = {}
        self._superseded = SupersededWrites(now)
        # When the era was first seen, by any entry; None where that is unknown.
        self._era_began: float | None = None

    @property
    def used(self) -> dict[str, Write]:
        """The writes in use by key."""
        used = dict(self._stored)
        for key, kept in self._kept.items():
            if kept.used is None:
                used.pop(key, None)
            else:
                used[key] = kept.used
        return used

    @property
    def values(self) -> dict[str, bytes]:
        """The values in use by key."""
        return {key: write.value for key, write in self.used.items()}

    @property
    def lapsed(self) -> dict[str, tuple[Write, float]]:
        """What the store lacks and is used, with the seconds for which it is."""
        now = self._now()
        return {
            key: (kept.used, max(0.0, kept.until - now))
            for key, kept in self._kept.items()
            if key not in self._stored and kept.used is not None
        }

    @property
    def held(self) -> tuple[Held, ...]:
        """What is used against what a returned store says."""
        now = self._now()
        return tuple(
            Held(key, max(0.0, kept.until - now), kept.used, self._stored.get(key))
            for key, kept in sorted(self._kept.items())
            if kept.returned
        )

    @property
    def digest(self) -> int:
        """What ``held`` says, but for the times; 0 for nothing."""
        held = [(h.key, h.used, h.stored) for h in self.held]
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(held)) if held else 0

    @property
    def era_seconds(self) -> float | None:
        """How long ago the era was first seen; None where that is unknown."""
        return None if self._era_began is None else self._now() - self._era_began

    def note_written(self, key: str, before: Write | None) -> None:
        """Take that a key was written in place of another write."""
        if before is not None:
            self._superseded.note(key, before)
        self._kept.pop(key, None)

    def note_removed(self, key: str, before: Write, until: float | None) -> None:
        """Take that a key was removed.

        :param until: until when what is used of it is kept; None for not at all.
        """
        self._superseded.note(key, before)
        kept = self._kept.pop(key, None)
        used = before if kept is None else kept.used
        if until is not None and used is not None:
            self._kept[key] = _Kept(until, used)

    def keep(self, key: str, write: Write, until: float) -> None:
        """Keep a value that lapsed, as another entry does."""
        if key not in self._stored:
            self._kept.setdefault(key, _Kept(until, write))

    def begin_era(self, used: Mapping[str, Write], began: float) -> None:
        """Take that the store has come back from a copy, whose values are stored now.

        :param used: what was in use before.
        :param began: when that was first seen.
        """
        self._era_began = began
        missing = began + self._retention.missing_seconds
        superseded = began + self._retention.superseded_seconds
        kept: dict[str, _Kept] = {}
        for key in used.keys() | self._stored.keys():
            write, stands = used.get(key), self._stored.get(key)
            if stands is None:
                kept[key] = _Kept(missing, write, returned=True)
            elif self._undoes(key, stands, write):
                kept[key] = _Kept(superseded, write, returned=True)
        now = self._now()
        self._kept = {key: one for key, one in kept.items() if one.until > now}

    def adopt(self, relayed: Relayed) -> bool:
        """Take what another entry uses at the same position.

        :returns: whether any of it was not used here.
        """
        self._adopt_era(relayed.era_seconds)
        now = self._now()
        adopted = False
        for held in relayed.held:
            known = self._kept.get(held.key)
            until = min(now + held.seconds, self._latest_end(held.key))
            if self._stored.get(held.key) != held.stored or until <= now:
                # Written since, or known to be over.
                continue
            if known is not None and known.returned:
                continue
            if held.used and self._superseded.includes(held.key, held.used):
                continue
            if held.stored is not None:
                self._superseded.note(held.key, held.stored)
            self._kept[held.key] = _Kept(until, held.used, returned=True)
            adopted = True
        return adopted

    def drop_ended(self) -> bool:
        """Believe the store again where the time is over; True where any was."""
        now = self._now()
        ended = [key for key, kept in self._kept.items() if now >= kept.until]
        for key in ended:
            del self._kept[key]
        return bool(ended)

    def _undoes(self, key: str, stands: Write, used: Write | None) -> bool:
        """Tell whether what a copy says of a key would undo what is used."""
        if used is not None and used.value == stands.value:
            return False
        return self._superseded.includes(key, stands)

    def _adopt_era(self, era_seconds: float | None) -> None:
        """Take the earliest moment at which the era was seen, and end by it."""
        if era_seconds is None:
            return
        began, known = self._now() - era_seconds, self._era_began
        self._era_began = began if known is None else min(began, known)
        for key, kept in self._kept.items():
            if kept.returned:
                until = min(kept.until, self._latest_end(key))
                self._kept[key] = replace(kept, until=until)

    def _latest_end(self, key: str) -> float:
        """Return until when a key may be used against what the store says."""
        seconds = self._retention.superseded_seconds
        if key not in self._stored:
            seconds = self._retention.missing_seconds
        began = self._now() if self._era_began is None else self._era_began
        return began + seconds
