"""The entries and leaving backend servers that one entry knows.

The published list says who exists and where; the exchange says how they are. Records
of names that no list has named for a while are forgotten and not taken again, so that
they do not travel for ever. Asking peers is left to the ``entry`` package.
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
    answer_to,
    later,
    suspected,
)

__all__ = ["FORGET_SECONDS", "EntryTable", "ListedEntry"]

# A list that omits an entry by mistake costs nothing within this time.
FORGET_SECONDS = 120.0
MISSES_BEFORE_CONFIRMING = 2
# Others that were lost in the same moment are found out within this time.
LOST_SECONDS = 5.0
# More than anybody asks about.
LOST_KEPT = 16


@dataclass(frozen=True, slots=True)
class ListedEntry:
    """An entry as the published list names it.

    :ivar host: ``address:port`` towards callers.
    :ivar peer_address: ``address:port`` towards other entries.
    :ivar leaving: whether the list says that it is leaving.
    :ivar capacity: what it can do for others; a core with a fast link has 1.
    """

    name: str
    host: str
    peer_address: str
    data_centre: str
    leaving: bool = False
    capacity: float = 1.0


class EntryTable:
    """What one entry believes of all entries, itself included.

    :param name: its own name.
    :param incarnation: its own incarnation.
    :param clock: tells when a name was last listed.
    :param changed: called after each change that others should hear at once.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        clock: Clock,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._clock = clock
        self._changed = changed
        self._own = Member(name, incarnation)
        self._members = GossipTable[Member](lambda member: member.name, later)
        self._members.take(self._own)
        self._listed: dict[str, ListedEntry] = {}
        self._listed_at: dict[str, float] = {}
        # The incarnation that was known when the list first said "leaving": the
        # list's word is not about a successor under the same name.
        self._left: dict[str, str] = {}
        self._outranked: set[str] = set()
        self._misses: dict[str, int] = {}
        # When entries became suspects here.
        self._lost_at: deque[float] = deque(maxlen=LOST_KEPT)
        self._lock = threading.RLock()

    @property
    def own(self) -> Member:
        """This entry's own record."""
        return self._own

    @property
    def table(self) -> GossipTable[Member]:
        """The records, to be exchanged."""
        return self._members

    @property
    def listed(self) -> tuple[ListedEntry, ...]:
        """Every entry of the list and of the lists of the last while."""
        return tuple(self._listed.values())

    def take_list(self, listed: Iterable[ListedEntry]) -> None:
        """Take a published list; of entries that stand twice, "leaving" prevails."""
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
                self._note_listed_state(entry)
            self._forget(now)

    def take(self, member: Member) -> None:
        """Merge a record that another entry offered."""
        with self._lock:
            if member.name == self._name:
                self._answer(member)
                return
            known = self._members.get(member.name)
            if member.name not in self._listed or not self._members.take(member):
                return
            # That an entry is there can wait for the next round; that it is not, or
            # is again, cannot.
            if member.state is MemberState.SUSPECT:
                self._lost_at.append(self._clock.now())
            if known is not None or member.state is not MemberState.LIVE:
                self._changed()

    def note_reached(self, name: str) -> None:
        """Take that an entry answered or asked; a suspicion is its own to refute."""
        self._misses.pop(name, None)

    def note_missed(self, name: str) -> bool:
        """Take that an entry did not answer; True where others should try too."""
        with self._lock:
            self._misses[name] = self._misses.get(name, 0) + 1
            live = self.state(name) is MemberState.LIVE
            return live and self._misses[name] >= MISSES_BEFORE_CONFIRMING

    def note_unreached(self, name: str) -> None:
        """Take that neither this entry nor another one got an answer."""
        with self._lock:
            # An entry that was never heard is suspected under an incarnation that
            # every real one outranks.
            known = self._members.get(name) or Member(name, "", generation=0)
            if name in self._listed and self._members.take(suspected(known)):
                self._lost_at.append(self._clock.now())
                self._changed()

    def lost_lately(self) -> int:
        """Return how many entries became suspects in the last seconds."""
        since = self._clock.now() - LOST_SECONDS
        with self._lock:
            return sum(at > since for at in self._lost_at)

    def missed(self, name: str) -> bool:
        """Return whether the last exchange with an entry failed."""
        return name in self._misses

    def say(self, state: MemberState) -> None:
        """Say of this entry itself that it is leaving or gone."""
        with self._lock:
            self._own = replace(self._own, state=state)
            self._members.take(self._own)
        self._changed()

    def state(self, name: str) -> MemberState:
        """Return what is believed of an entry, the list's word included."""
        if name == self._name:
            return self._own.state
        member = self._members.get(name)
        state = MemberState.LIVE if member is None else member.state
        listed = self._listed.get(name)
        if listed is None or not listed.leaving:
            return state
        incarnation = "" if member is None else member.incarnation
        succeeded = self._left.get(name, "") not in ("", incarnation)
        return state if succeeded else max(state, MemberState.LEAVING)

    def usable(self) -> tuple[ListedEntry, ...]:
        """Return the entries that callers should use now."""
        return self.in_states((MemberState.LIVE,))

    def in_states(self, states: Collection[MemberState]) -> tuple[ListedEntry, ...]:
        """Return the listed entries that are in one of some states."""
        return tuple(e for e in self.listed if self.state(e.name) in states)

    def _answer(self, received: Member) -> None:
        answer = answer_to(self._own, received, self._outranked)
        self._members.take(received, spread=False)
        if answer != self._own:
            self._outranked.add(received.incarnation)
            self._own = answer
            self._members.take(answer)
            self._changed()

    def _note_listed_state(self, entry: ListedEntry) -> None:
        if not entry.leaving:
            self._left.pop(entry.name, None)
            return
        member = self._members.get(entry.name)
        self._left.setdefault(entry.name, "" if member is None else member.incarnation)

    def _forget(self, now: float) -> None:
        old = [n for n, at in self._listed_at.items() if now - at > FORGET_SECONDS]
        for name in old:
            self._listed.pop(name)
            self._listed_at.pop(name)
            self._left.pop(name, None)
            self._misses.pop(name, None)
        self._members.drop(name for name in old if name != self._name)
