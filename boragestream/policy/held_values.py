"""Published values that are used temporarily instead of the store's values.

Two cases keep a value in use that the store lacks. First, keys that lapse during an
outage of the store are written again if their servers are live; their values are kept
briefly after the outage. Second, a store restored from a copy returns old writes as
current ones. A key that the copy lacks is kept until its writer has had time to write
it again; a write known to have been superseded is ignored for a longer time. Both
exceptions expire, so that no wrong value remains if nobody writes the key again. A
write after the restore takes effect at once.

``policy.published_table`` holds the stored values and guards this module's objects with
its lock.
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
    """How long values override those of a restored store.

    :ivar missing_seconds: how long a value that the store lacks is kept.
    :ivar superseded_seconds: how long a superseded write is ignored.
    """

    missing_seconds: float
    superseded_seconds: float


# A live server writes its key again within two seconds of the store's restore. The
# store drops the key of a dead server after a few seconds without a renewal.
SERVER_RETENTION = Retention(2.2, 8.0)
# Operators need longer to detect which writes were lost and to publish them again. An
# order that was published or withdrawn stays in effect during this time.
OPERATOR_RETENTION = Retention(30.0, 30.0)


@dataclass(frozen=True, slots=True)
class _Override:
    """The write used for a key instead of the stored one.

    :ivar until: the end of use, in the clock's seconds.
    :ivar used: the write in use; None if the key counts as removed.
    :ivar returned: whether a restore of the store is the reason.
    """

    until: float
    used: Write | None
    returned: bool = False


class HeldValues:
    """The writes used instead of the stored ones; not thread-safe.

    :param now: returns the clock's seconds.
    :param stored: the stored writes by key; the owner of this object updates it.
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
        self._overrides: dict[str, _Override] = {}
        self._superseded = SupersededWrites(now)
        # The time at which any entry first saw the era; None if unknown.
        self._era_began_at: float | None = None

    @property
    def used(self) -> dict[str, Write]:
        """The writes in use by key."""
        used = dict(self._stored)
        for key, override in self._overrides.items():
            if override.used is None:
                used.pop(key, None)
            else:
                used[key] = override.used
        return used

    @property
    def values(self) -> dict[str, bytes]:
        """The values in use by key."""
        return {key: write.value for key, write in self.used.items()}

    @property
    def lapsed(self) -> dict[str, tuple[Write, float]]:
        """The writes in use that the store lacks, with their remaining seconds."""
        now = self._now()
        return {
            key: (override.used, max(0.0, override.until - now))
            for key, override in self._overrides.items()
            if key not in self._stored and override.used is not None
        }

    @property
    def lapsed_seconds(self) -> dict[str, float]:
        """The remaining seconds of the keys that lapsed in an outage, by key."""
        return {
            key: seconds_left
            for key, (_, seconds_left) in self.lapsed.items()
            if not self._overrides[key].returned
        }

    @property
    def held(self) -> tuple[Held, ...]:
        """The writes that override those of a restored store."""
        now = self._now()
        return tuple(
            Held(
                key,
                max(0.0, override.until - now),
                override.used,
                self._stored.get(key),
            )
            for key, override in sorted(self._overrides.items())
            if override.returned
        )

    @property
    def digest(self) -> int:
        """A digest of ``held`` without its times; 0 if ``held`` is empty."""
        held = [(h.key, h.used, h.stored) for h in self.held]
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(held)) if held else 0

    @property
    def era_seconds(self) -> float | None:
        """The time since any entry first saw the era; None if unknown."""
        return None if self._era_began_at is None else self._now() - self._era_began_at

    def note_written(self, key: str, before: Write | None) -> None:
        """Record that a key was written.

        :param before: the write that it replaces; None if the key was not stored.
        """
        if before is not None:
            self._superseded.note(key, before)
        self._overrides.pop(key, None)

    def note_removed(self, key: str, before: Write, until: float | None) -> None:
        """Record that a key was removed.

        :param until: the time until which its value stays in use; None to end the use
            at once.
        """
        self._superseded.note(key, before)
        override = self._overrides.pop(key, None)
        used = before if override is None else override.used
        if until is not None and used is not None:
            self._overrides[key] = _Override(until, used)

    def keep(self, key: str, write: Write, until: float) -> None:
        """Keep a lapsed value that another entry keeps."""
        if key not in self._stored:
            self._overrides.setdefault(key, _Override(until, write))

    def begin_era(self, used: Mapping[str, Write], began: float) -> None:
        """Record that the store was restored from a copy, whose values are now stored.

        :param used: the writes that were in use before.
        :param began: the time at which the new era was first seen.
        """
        self._era_began_at = began
        missing = began + self._retention.missing_seconds
        superseded = began + self._retention.superseded_seconds
        overrides: dict[str, _Override] = {}
        for key in used.keys() | self._stored.keys():
            write, stored = used.get(key), self._stored.get(key)
            if stored is None:
                overrides[key] = _Override(missing, write, returned=True)
            elif self._reverts(key, stored, write):
                overrides[key] = _Override(superseded, write, returned=True)
        now = self._now()
        self._overrides = {
            key: override for key, override in overrides.items() if override.until > now
        }

    def adopt(self, relayed: Relayed) -> bool:
        """Adopt the writes that another entry uses at the same position.

        :returns: whether any of them was not in use here.
        """
        self._adopt_era(relayed.era_seconds)
        now = self._now()
        adopted = False
        for held in relayed.held:
            known = self._overrides.get(held.key)
            until = min(now + held.seconds, self._latest_retention_end(held.key))
            if self._stored.get(held.key) != held.stored or until <= now:
                # The key was written again, or its retention has ended.
                continue
            if known is not None and known.returned:
                continue
            if held.used and self._superseded.includes(held.key, held.used):
                continue
            if held.stored is not None:
                self._superseded.note(held.key, held.stored)
            self._overrides[held.key] = _Override(until, held.used, returned=True)
            adopted = True
        return adopted

    def drop_expired(self) -> bool:
        """Use the stored writes again where retention has ended.

        :returns: whether retention had ended for any key.
        """
        now = self._now()
        ended = [
            key for key, override in self._overrides.items() if now >= override.until
        ]
        for key in ended:
            del self._overrides[key]
        return bool(ended)

    def _reverts(self, key: str, stored: Write, used: Write | None) -> bool:
        """Return whether the copy's write of a key would revert the write in use."""
        if used is not None and used.value == stored.value:
            return False
        return self._superseded.includes(key, stored)

    def _adopt_era(self, era_seconds: float | None) -> None:
        """Adopt an earlier start of the era and shorten the retention accordingly."""
        if era_seconds is None:
            return
        began, known = self._now() - era_seconds, self._era_began_at
        self._era_began_at = began if known is None else min(began, known)
        for key, override in self._overrides.items():
            if override.returned:
                until = min(override.until, self._latest_retention_end(key))
                self._overrides[key] = replace(override, until=until)

    def _latest_retention_end(self, key: str) -> float:
        """Return until when a key's write may override the stored one."""
        seconds = self._retention.superseded_seconds
        if key not in self._stored:
            seconds = self._retention.missing_seconds
        began = self._now() if self._era_began_at is None else self._era_began_at
        return began + seconds
