"""The table of entries known to one entry.

The published list contains the existing entries and their addresses; the exchange
between entries supplies their states. Records of names that have been missing from the
list for some time are removed and not accepted again, so that they don't circulate
forever. The ``entry`` package communicates with the peers.
"""

import threading
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from boragestream.base.clock import Clock
from boragestream.policy.gossip import GossipTable
from boragestream.policy.membership import (
    Member,
    MemberState,
    as_suspect,
    prevailing_record,
    updated_own_record,
)

__all__ = ["FORGET_SECONDS", "EntryTable", "ListedEntry"]

# An entry that the list omits by mistake is kept for this time.
FORGET_SECONDS = 120.0
FAILURES_BEFORE_CONFIRMING = 2
# Entries lost at the same moment all become suspects within this time.
RECENT_LOSS_SECONDS = 5.0
# Exceeds the highest count that any caller of
# ``EntryTable.recent_loss_count`` compares with.
MAX_RECENT_LOSSES = 16


@dataclass(frozen=True, slots=True)
class ListedEntry:
    """An entry in the published list.

    :ivar host: the ``address:port`` for callers.
    :ivar peer_address: the ``address:port`` for other entries.
    :ivar leaving: whether the list marks it as leaving.
    :ivar capacity: its capacity to serve other entries; a core with a fast link has 1.
    """

    name: str
    host: str
    peer_address: str
    data_centre: str
    leaving: bool = False
    capacity: float = 1.0


class EntryTable:
    """One entry's view of the states of all entries, including itself.

    :param name: this entry's name.
    :param incarnation: this entry's incarnation.
    :param clock: gives the time at which a name was last listed.
    :param changed: called after each change that should be sent to others at once.
    :param hidden: returns whether an entry that is recorded as live can't be reached
        because of its region. It counts as a suspect here, but its record does not
        change: it returns at once with its region, and has no suspicion to refute.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        clock: Clock,
        changed: Callable[[], None] = lambda: None,
        hidden: Callable[[ListedEntry], bool] = lambda entry: False,
    ) -> None:
        self._name = name
        self._hidden = hidden
        self._clock = clock
        self._changed = changed
        self._own = Member(name, incarnation)
        self._members = GossipTable[Member](
            lambda member: member.name, prevailing_record
        )
        self._members.merge(self._own)
        self._listed: dict[str, ListedEntry] = {}
        self._listed_at: dict[str, float] = {}
        # The incarnation known when the list first marked the entry as leaving. The
        # mark does not apply to a successor under the same name.
        self._leaving_incarnations: dict[str, str] = {}
        self._outranked_incarnations: set[str] = set()
        self._failed_exchanges: dict[str, int] = {}
        # The times at which entries became suspects here.
        self._suspected_at: deque[float] = deque(maxlen=MAX_RECENT_LOSSES)
        self._lock = threading.RLock()

    @property
    def own(self) -> Member:
        """This entry's own record."""
        return self._own

    @property
    def table(self) -> GossipTable[Member]:
        """The table of records, for the exchange with other entries."""
        return self._members

    @property
    def listed(self) -> tuple[ListedEntry, ...]:
        """All entries of the latest list and of the lists of ``FORGET_SECONDS``."""
        return tuple(self._listed.values())

    def apply_list(self, listed: Iterable[ListedEntry]) -> None:
        """Apply a published list.

        An entry listed twice is leaving if either item says so.
        """
        now = self._clock.now()
        with self._lock:
            current: dict[str, ListedEntry] = {}
            for entry in listed:
                before = current.get(entry.name)
                leaving = entry.leaving or (before is not None and before.leaving)
                current[entry.name] = replace(entry, leaving=leaving)
            for name, entry in current.items():
                self._listed[name] = entry
                self._listed_at[name] = now
                self._record_leaving_mark(entry)
            self._remove_unlisted(now)

    def merge(self, member: Member) -> None:
        """Merge a record received from another entry."""
        with self._lock:
            if member.name == self._name:
                self._update_own_record(member)
                return
            known = self._members.get(member.name)
            if member.name not in self._listed or not self._members.merge(member):
                return
            # A new live entry can wait for the next exchange. The loss or recovery of
            # an entry is sent at once.
            if member.state is MemberState.SUSPECT:
                self._suspected_at.append(self._clock.now())
            if known is not None or member.state is not MemberState.LIVE:
                self._changed()

    def note_reached(self, name: str) -> None:
        """Record a message from an entry.

        A suspicion remains until the entry itself refutes it.
        """
        self._failed_exchanges.pop(name, None)

    def note_unanswered(self, name: str) -> bool:
        """Record that an entry did not answer.

        :returns: whether other entries should try to reach it too.
        """
        with self._lock:
            self._failed_exchanges[name] = self._failed_exchanges.get(name, 0) + 1
            live = self.state(name) is MemberState.LIVE
            return live and self._failed_exchanges[name] >= FAILURES_BEFORE_CONFIRMING

    def note_unreachable(self, name: str) -> None:
        """Record that neither this entry nor another one could reach an entry."""
        with self._lock:
            # An entry that never sent a record is suspected under a placeholder
            # incarnation that every real one outranks.
            known = self._members.get(name) or Member(name, "", generation=0)
            if name in self._listed and self._members.merge(as_suspect(known)):
                self._suspected_at.append(self._clock.now())
                self._changed()

    def recent_loss_count(self) -> int:
        """Return the number of entries suspected within ``RECENT_LOSS_SECONDS``.

        The count is at most ``MAX_RECENT_LOSSES``.
        """
        since = self._clock.now() - RECENT_LOSS_SECONDS
        with self._lock:
            return sum(at > since for at in self._suspected_at)

    def last_exchange_failed(self, name: str) -> bool:
        """Return whether the last exchange with an entry failed."""
        return name in self._failed_exchanges

    def announce_state(self, state: MemberState) -> None:
        """Announce that this entry is leaving or gone."""
        with self._lock:
            self._own = replace(self._own, state=state)
            self._members.merge(self._own)
        self._changed()

    def state(self, name: str) -> MemberState:
        """Return the believed state of an entry, combined with its mark in the list."""
        state = self.recorded_state(name)
        listed = self._listed.get(name)
        if state is MemberState.LIVE and listed is not None and self._hidden(listed):
            return MemberState.SUSPECT
        return state

    def recorded_state(self, name: str) -> MemberState:
        """Return the state of an entry whether or not its region can be reached."""
        if name == self._name:
            return self._own.state
        member = self._members.get(name)
        state = MemberState.LIVE if member is None else member.state
        listed = self._listed.get(name)
        if listed is None or not listed.leaving:
            return state
        incarnation = "" if member is None else member.incarnation
        succeeded = self._leaving_incarnations.get(name, "") not in ("", incarnation)
        return state if succeeded else max(state, MemberState.LEAVING)

    def usable(self) -> tuple[ListedEntry, ...]:
        """Return the entries that callers should use."""
        return self.in_states((MemberState.LIVE,))

    def recorded_live(self) -> tuple[ListedEntry, ...]:
        """Return the live entries, also of regions that can't be reached."""
        live = MemberState.LIVE
        return tuple(e for e in self.listed if self.recorded_state(e.name) is live)

    def in_states(self, states: Collection[MemberState]) -> tuple[ListedEntry, ...]:
        """Return the listed entries whose state is one of those given."""
        return tuple(e for e in self.listed if self.state(e.name) in states)

    def _update_own_record(self, received: Member) -> None:
        updated = updated_own_record(self._own, received, self._outranked_incarnations)
        self._members.merge(received, spread=False)
        if updated != self._own:
            self._outranked_incarnations.add(received.incarnation)
            self._own = updated
            self._members.merge(updated)
            self._changed()

    def _record_leaving_mark(self, entry: ListedEntry) -> None:
        if not entry.leaving:
            self._leaving_incarnations.pop(entry.name, None)
            return
        member = self._members.get(entry.name)
        self._leaving_incarnations.setdefault(
            entry.name, "" if member is None else member.incarnation
        )

    def _remove_unlisted(self, now: float) -> None:
        expired = [n for n, at in self._listed_at.items() if now - at > FORGET_SECONDS]
        for name in expired:
            self._listed.pop(name)
            self._listed_at.pop(name)
            self._leaving_incarnations.pop(name, None)
            self._failed_exchanges.pop(name, None)
        self._members.remove(name for name in expired if name != self._name)
