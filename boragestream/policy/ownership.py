"""Which entry gives orders to a backend server, without asking anybody.

The owner is worked out by rendezvous hashing from the published instance list, so that
two entries which hold the list of the same index agree. That index is the fencing
number: a newer list outranks an owner that still believes an older one.

Servers that ignore fencing numbers are protected by time. An owner gives orders only
while it has confirmed its list within ``LEASE_SECONDS``; an entry that becomes owner
waits until every lease on an earlier list has run out. Reading the list and giving the
orders are left out here.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import xxhash

__all__ = [
    "LEASE_SECONDS",
    "WAIT_SECONDS",
    "Candidate",
    "Ownership",
    "Standing",
    "owner_of",
]

LEASE_SECONDS = 20.0
# Clocks of two entries run at rates that differ a little, and an order takes time.
MARGIN_SECONDS = 5.0
WAIT_SECONDS = LEASE_SECONDS + MARGIN_SECONDS


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that the list names as live."""

    name: str
    data_centre: str


class Standing(Enum):
    """Whether an entry may order a server now."""

    OWNER = "it owns the server and its lease runs"
    WAITING = "it owns the server, an earlier owner's lease may still run"
    EXPIRED = "it has not confirmed its list for too long"
    OTHER = "another entry owns the server"


def owner_of(
    server: str, data_centre: str, candidates: Iterable[Candidate]
) -> str | None:
    """Return the name of the entry that owns a server, None without candidates.

    :param server: the server's name.
    :param data_centre: the server's; entries there come first.
    :param candidates: the live entries of one list.
    """
    ranked = (
        (c.data_centre == data_centre, _weight(server, c), c.name) for c in candidates
    )
    best = max(ranked, default=None)
    return best[2] if best else None


class Ownership:
    """One entry's view of what it owns.

    :param me: this entry's name.
    """

    def __init__(self, me: str) -> None:
        self._me = me
        self._index = 0
        self._confirmed_at: float | None = None
        self._owned_since: dict[str, float] = {}

    @property
    def fencing_number(self) -> int:
        """The index of the list; goes with each order."""
        return self._index

    def confirm(
        self,
        index: int,
        candidates: Iterable[Candidate],
        servers: Iterable[tuple[str, str]],
        asked_at: float,
        answered_at: float,
    ) -> None:
        """Take what the platform answered to a read of the list.

        :param index: the list's index; one below the known index is not taken.
        :param servers: name and data centre of each listed server.
        :param asked_at: when the read was sent. The list was the newest at some time
            after it, so that the lease counts from here.
        :param answered_at: when the answer was there. No earlier owner confirmed an
            older list after it, so that the wait counts from here.
        """
        if index < self._index:
            return
        lapsed = self._lapsed(answered_at)
        confirmed_at, self._confirmed_at = self._confirmed_at, asked_at
        if index == self._index and confirmed_at is not None and not lapsed:
            return
        # Lists that were never seen may have named another owner, whose lease may
        # still run; only the very next list keeps what was owned before.
        kept = self._owned_since if index <= self._index + 1 and not lapsed else {}
        self._index = index
        near = _by_data_centre(candidates)
        self._owned_since = {
            name: kept.get(name, answered_at)
            for name, data_centre in servers
            if owner_of(name, data_centre, near(data_centre)) == self._me
        }

    def standing(self, server: str, now: float) -> Standing:
        """Return whether this entry may order a server; asked before each order."""
        since = self._owned_since.get(server)
        if since is None:
            return Standing.OTHER
        if self._lapsed(now):
            return Standing.EXPIRED
        return Standing.OWNER if now - since >= WAIT_SECONDS else Standing.WAITING

    def _lapsed(self, now: float) -> bool:
        at = self._confirmed_at
        return at is None or now - at >= LEASE_SECONDS


def _by_data_centre(
    candidates: Iterable[Candidate],
) -> Callable[[str], list[Candidate]]:
    """Return a look-up of the candidates that can own a data centre's servers."""
    everybody = list(candidates)
    centres: dict[str, list[Candidate]] = {}
    for candidate in everybody:
        centres.setdefault(candidate.data_centre, []).append(candidate)
    return lambda data_centre: centres.get(data_centre, everybody)


def _weight(server: str, candidate: Candidate) -> int:
    return xxhash.xxh64_intdigest(f"order {server} {candidate.name}".encode())
