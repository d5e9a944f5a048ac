"""The entries that are cut off from backend servers, as they announce it themselves.

Such an entry still answers its peers, so that membership keeps it as live. It must
nevertheless own no queue and grant no permit, and callers should use other entries. An
announcement applies to one incarnation of an entry. It is repeated while the entry is
cut off, and expires if the entry can't withdraw it.
"""

import threading
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import TypeVar

from boragestream.base.clock import Clock
from boragestream.policy.gossip import GossipTable

__all__ = ["ALL_SERVICES", "CutEntries", "ReachRecord"]

# In a record, in place of the names of all services.
ALL_SERVICES = "*"
REPEAT_SECONDS = 6.0
# Exceeds the time in which two announcements in a row reach all entries.
EXPIRY_SECONDS = 20.0

Entry = TypeVar("Entry")


@dataclass(frozen=True, slots=True)
class ReachRecord:
    """The announcement of one entry.

    :ivar number: rises with each announcement of this incarnation.
    :ivar services: the services from which it is cut off; empty for none.
    """

    entry: str
    incarnation: str
    number: int
    services: tuple[str, ...]

    @property
    def key(self) -> str:
        """The key of the record in the table."""
        return f"{self.entry} {self.incarnation}"


def _latest(known: ReachRecord, other: ReachRecord) -> ReachRecord:
    return other if other.number > known.number else known


class CutEntries:
    """The records of all entries, including this one's.

    :param own: this entry's name.
    :param incarnation: this entry's incarnation.
    :param incarnation_of: returns the known incarnation of an entry; empty if unknown.
    :param changed: called after each change that must be sent to others at once.
    """

    def __init__(
        self,
        own: str,
        incarnation: str,
        incarnation_of: Callable[[str], str],
        clock: Clock,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._incarnation_of = incarnation_of
        self._clock = clock
        self._on_change = changed
        self._table = GossipTable[ReachRecord](lambda r: r.key, _latest)
        self._heard_at: dict[str, float] = {}
        self._announced_at = clock.now()
        self._version = 0
        self._lock = threading.Lock()

    @property
    def version(self) -> int:
        """A number that rises with each change of a record."""
        return self._version

    @property
    def empty(self) -> bool:
        """Whether no entry has announced anything lately."""
        return not self._heard_at

    def announce(self, services: Collection[str]) -> None:
        """Announce the services from which this entry is cut off."""
        before = self._table.get(self._key)
        if before is None and not services:
            return
        number = before.number + 1 if before is not None else 1
        record = ReachRecord(
            self._own, self._incarnation, number, tuple(sorted(services))
        )
        self._announced_at = self._clock.now()
        self._merge(record)
        self._on_change()

    def take(self, record: ReachRecord) -> ReachRecord | None:
        """Merge the record of another entry; return it if its services changed."""
        if record.entry == self._own:
            return None
        before = self._table.get(record.key)
        if not self._merge(record):
            return None
        known = before.services if before is not None else ()
        if known == record.services:
            return None
        self._on_change()
        return record

    def pending_records(self, count: int) -> Sequence[ReachRecord]:
        """Return records to send to another entry now, this entry's own first."""
        if self.empty:
            return ()
        self._repeat()
        # Also after the cut, since an entry that misses the end would go by the last
        # announcement until that expires.
        own = self._table.get(self._key)
        first = [own] if own is not None and own.key in self._heard_at else []
        others = self._table.pending_records(count)
        return [*first, *(r for r in others if r not in first)][:count]

    def is_cut_off(self, entry: str, service: str = ALL_SERVICES) -> bool:
        """Return whether an entry is cut off from a service.

        :param service: by default whether it is cut off from all services.
        """
        if self.empty:
            return False
        services = self._services(entry)
        return ALL_SERVICES in services or service in services

    def reaching(
        self,
        entries: Sequence[Entry],
        name: Callable[[Entry], str],
        service: str = ALL_SERVICES,
    ) -> Sequence[Entry]:
        """Return the entries that reach a service; all of them if none does.

        :param name: returns the name of an entry.
        """
        if self.empty:
            return entries
        found = [e for e in entries if not self.is_cut_off(name(e), service)]
        return found or entries

    def cut_off(self) -> dict[str, tuple[str, ...]]:
        """Return the services from which entries are cut off, by entry."""
        names = {record.entry for record in self._table.records.values()}
        found = {name: self._services(name) for name in names}
        return {name: services for name, services in found.items() if services}

    @property
    def _key(self) -> str:
        return f"{self._own} {self._incarnation}"

    def _services(self, entry: str) -> tuple[str, ...]:
        own = entry == self._own
        incarnation = self._incarnation if own else self._incarnation_of(entry)
        key = f"{entry} {incarnation}"
        record = self._table.get(key)
        if record is None or not record.services:
            return ()
        heard_at = self._heard_at.get(key, 0.0)
        expired = not own and self._clock.now() - heard_at > EXPIRY_SECONDS
        return () if expired else record.services

    def _merge(self, record: ReachRecord) -> bool:
        with self._lock:
            if not self._table.merge(record):
                return False
            self._heard_at[record.key] = self._clock.now()
            self._version += 1
            return True

    def _repeat(self) -> None:
        """Renew the own announcement, and remove records that have expired."""
        now = self._clock.now()
        own = self._table.get(self._key)
        cut = own is not None and own.services
        if cut and now - self._announced_at >= REPEAT_SECONDS:
            self._announced_at = now
            number = own.number + 1
            self._merge(ReachRecord(self._own, self._incarnation, number, own.services))
        with self._lock:
            expired = [
                k for k, at in self._heard_at.items() if now - at > EXPIRY_SECONDS
            ]
            for key in expired:
                del self._heard_at[key]
                self._version += 1
        self._table.remove(expired)
