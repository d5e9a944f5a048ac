"""The load and the accounts' demand that the entries report to one another.

A report belongs to the entry that made it and is valid for the duration of a lease.
Each report is sent with its age, since the clocks of two instances are not compared. A
listed entry without a report is expected to report within a lease, so that its share
stays reserved while it starts.
``entry.demand`` transmits the reports.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from boragestream.base.clock import Clock

__all__ = ["LEASE_SECONDS", "AccountDemand", "DemandTable", "EntryReport"]

LEASE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """The demand of a client account at one entry, and the share held for it there.

    :ivar rate: requests per second that arrive, refused ones included.
    :ivar slots: concurrent requests that would be in progress, refused ones included.
    :ivar held_rate: the entry's share of ``requests_per_second``.
    :ivar held_slots: the entry's share of ``concurrency``.
    """

    rate: float = 0.0
    slots: int = 0
    held_rate: float = 0.0
    held_slots: int = 0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """The report of one entry.

    :ivar sequence: increases with each report of an incarnation.
    :ivar load: from 0 for an idle entry to 1 for one that refuses requests.
    :ivar accounts: demand by a short form of the account's name, see ``entry.demand``.
    """

    entry: str
    incarnation: str
    sequence: int
    load: float = 0.0
    accounts: Mapping[int, AccountDemand] = field(default_factory=dict)

    @property
    def identity(self) -> tuple[str, int]:
        """Identifies the report, so that copies of it can be recognized."""
        return (self.incarnation, self.sequence)


class DemandTable:
    """The latest report of every other entry.

    :param own: this entry's name; reports under this name are ignored.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._reports: dict[str, tuple[float, EntryReport]] = {}
        self._expected: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def set_listed(self, listed: Iterable[str]) -> None:
        """Set the names of the listed entries; new ones are expected to report."""
        now = self._clock.now()
        with self._lock:
            names = frozenset(listed) - {self._own}
            for name in names - self._listed:
                self._expected[name] = now
            self._listed = names

    def reset(self) -> None:
        """Drop all reports, as after a pause, and expect one of each listed entry."""
        now = self._clock.now()
        with self._lock:
            self._reports.clear()
            self._expected = dict.fromkeys(self._listed, now)

    def add(self, report: EntryReport, age: float) -> bool:
        """Add a report; return whether it is valid and newer than the stored one.

        :param age: a lower bound of the seconds since the report was made.
        """
        if report.entry == self._own or age >= LEASE_SECONDS:
            return False
        made_at = self._clock.now() - max(0.0, age)
        with self._lock:
            stored = self._reports.get(report.entry)
            if stored is not None and not _is_newer(report, made_at, *stored):
                return False
            self._reports[report.entry] = (made_at, report)
            self._expected.pop(report.entry, None)
            return True

    def unexpired_reports(self) -> dict[str, tuple[float, EntryReport]]:
        """Return the reports whose lease has not expired, with ages in seconds."""
        now = self._clock.now()
        with self._lock:
            return {
                name: (now - made_at, report)
                for name, (made_at, report) in self._reports.items()
                if now - made_at < LEASE_SECONDS
            }

    def awaiting_first_report(self) -> set[str]:
        """Return the entries whose first report is expected."""
        now = self._clock.now()
        with self._lock:
            return {
                name for name, at in self._expected.items() if now - at < LEASE_SECONDS
            }


def _is_newer(
    report: EntryReport, made_at: float, stored_at: float, stored: EntryReport
) -> bool:
    if report.incarnation == stored.incarnation:
        return report.sequence > stored.sequence
    # Incarnations have no order, so that the later report is of the running one.
    return made_at > stored_at
