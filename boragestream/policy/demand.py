"""What the entries tell one another of their load and of the accounts' demand.

A report belongs to the entry that made it and is valid for a lease. Ages travel with
the reports, since the clocks of two instances are not compared. An entry that is listed
and has not reported yet is expected for a lease, so that nobody takes its share while
it starts. How reports travel is left to ``entry.demand``.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from boragestream.base.clock import Clock

__all__ = ["LEASE_SECONDS", "AccountDemand", "DemandTable", "EntryReport"]

LEASE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """What one client account asks of one entry, and the share held for it there.

    :ivar rate: requests that arrive in a second, refused ones included.
    :ivar slots: requests that would be in hand at once, refused ones included.
    :ivar held_rate: the entry's share of ``requests_per_second``.
    :ivar held_slots: the entry's share of ``concurrency``.
    """

    rate: float = 0.0
    slots: int = 0
    held_rate: float = 0.0
    held_slots: int = 0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """What one entry reports.

    :ivar sequence: rises with each report of an incarnation.
    :ivar load: 0 for an idle entry to 1 for one that refuses.
    :ivar accounts: by the account's name in a short form, see ``entry.demand``.
    """

    entry: str
    incarnation: str
    sequence: int
    load: float = 0.0
    accounts: Mapping[int, AccountDemand] = field(default_factory=dict)

    @property
    def identity(self) -> tuple[str, int]:
        """What two copies of one report share."""
        return (self.incarnation, self.sequence)


class DemandTable:
    """The latest report of every other entry.

    :param own: this entry's name; reports under it are left alone.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._reports: dict[str, tuple[float, EntryReport]] = {}
        self._expected: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def expect(self, listed: Iterable[str]) -> None:
        """Take the names of the entries that are listed."""
        now = self._clock.now()
        with self._lock:
            names = frozenset(listed) - {self._own}
            for name in names - self._listed:
                self._expected[name] = now
            self._listed = names

    def expect_again(self) -> None:
        """Forget every report, as after a pause; all listed entries are expected."""
        now = self._clock.now()
        with self._lock:
            self._reports.clear()
            self._expected = dict.fromkeys(self._listed, now)

    def take(self, report: EntryReport, age: float) -> bool:
        """Take a report; True where it is news.

        :param age: seconds since it was made, at the least.
        """
        if report.entry == self._own or age >= LEASE_SECONDS:
            return False
        made_at = self._clock.now() - max(0.0, age)
        with self._lock:
            known = self._reports.get(report.entry)
            if known is not None and not _is_newer(report, made_at, *known):
                return False
            self._reports[report.entry] = (made_at, report)
            self._expected.pop(report.entry, None)
            return True

    def fresh(self) -> dict[str, tuple[float, EntryReport]]:
        """Return the reports whose lease has not expired, with their ages."""
        now = self._clock.now()
        with self._lock:
            return {
                name: (now - made_at, report)
                for name, (made_at, report) in self._reports.items()
                if now - made_at < LEASE_SECONDS
            }

    def awaited(self) -> set[str]:
        """Return the entries that are expected to report for the first time."""
        now = self._clock.now()
        with self._lock:
            return {
                name for name, at in self._expected.items() if now - at < LEASE_SECONDS
            }


def _is_newer(
    report: EntryReport, made_at: float, known_at: float, known: EntryReport
) -> bool:
    if report.incarnation == known.incarnation:
        return report.sequence > known.sequence
    # Incarnations have no order; the later report is of the one that runs.
    return made_at > known_at
