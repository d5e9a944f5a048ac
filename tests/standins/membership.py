"""Entries that find out who is gone, in simulated time, without a process or socket.

Each has the project's own table of entries, part of the exchange and choice of peers.
What is simulated are the rounds and the questions: one to an entry that is gone is
given up after the time that the exchange waits for an answer.
"""

import heapq
import itertools
import random

from boragestream.entry.exchange import (
    FAN_OUT,
    MAX_EXTRA_PEERS,
    ROUND_SECONDS,
    URGENT_BURST,
    URGENT_FAN_OUT,
    URGENT_GAP_SECONDS,
    URGENT_REFILL_SECONDS,
)
from boragestream.entry.members import MembershipPart
from boragestream.entry.parts import EXCHANGE_BYTES
from boragestream.entry.peer_choice import Peer, choose_peers
from boragestream.entry.peer_probes import (
    EXCHANGE_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    RECENTLY_REACHED_SECONDS,
)
from boragestream.policy.leaving import new_leaving_table
from boragestream.policy.membership import MemberState
from boragestream.policy.peers import EntryTable, ListedEntry
from tests.standins.clock import SetClock

# One way between entries.
LINK_SECONDS = 0.002


class MemberEntry:
    """One entry: its table and its rounds."""

    def __init__(self, name, centre, crowd):
        """Start."""
        self.name, self.centre, self.crowd = name, centre, crowd
        self.alive = True
        self.asked = set()
        self.reached_at = {}
        self.urgent = False
        self.urgent_left = float(URGENT_BURST)
        self.round_at = 0.0
        self.table = EntryTable(name, f"life of {name}", crowd.clock, self.hurry)
        self.part = MembershipPart(
            self.table,
            new_leaving_table(),
            lambda server: None,
            self.ask_repair,
            crowd.clock,
        )

    def hurry(self):
        """Bring the next round forward."""
        if self.urgent or self.urgent_left < 1:
            self.urgent = True
            return
        self.urgent = True
        self.crowd.after(0.0, self.round)

    def run(self):
        """Begin the rounds."""
        self.crowd.after(self.crowd.rng.random() * ROUND_SECONDS, self.round)

    def round(self):
        """Begin one round, and plan the next."""
        now = self.crowd.clock.now()
        if not self.alive or now < self.round_at:
            return
        self.urgent_left = min(
            URGENT_BURST,
            self.urgent_left + (now - self.round_at) / URGENT_REFILL_SECONDS,
        )
        count = URGENT_FAN_OUT if self.urgent else FAN_OUT
        count += min(MAX_EXTRA_PEERS, self.table.recent_loss_count())
        self.urgent_left -= self.urgent
        self.urgent = False
        self.round_at = now + URGENT_GAP_SECONDS
        for peer in choose_peers(self.peers(), self.centre, count, self.crowd.rng):
            if peer.name not in self.asked:
                self.asked.add(peer.name)
                self.exchange(self.crowd.entries[peer.name])
        pause = ROUND_SECONDS * (0.75 + 0.5 * self.crowd.rng.random())
        self.crowd.after(pause, self.round)

    def peers(self):
        """Return every other entry that may be asked."""
        states = (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING)
        return [
            Peer(
                entry.name,
                entry.peer_address,
                entry.data_centre,
                self.table.state(entry.name) is MemberState.SUSPECT,
                self.table.last_exchange_failed(entry.name),
            )
            for entry in self.table.in_states(states)
            if entry.name != self.name
        ]

    def exchange(self, other):
        """Swap messages, or give the other up after a while."""
        if other.alive:
            self.crowd.after(LINK_SECONDS, lambda: self.swap(other))
        else:
            self.crowd.after(EXCHANGE_TIMEOUT_SECONDS, lambda: self.miss(other))

    def swap(self, other):
        """Swap messages with an entry that is there."""
        self.asked.discard(other.name)
        if not (self.alive and other.alive):
            return
        mine, theirs = self.part.offer(EXCHANGE_BYTES), other.part.offer(EXCHANGE_BYTES)
        other.part.take(self.name, mine)
        self.part.take(other.name, theirs)
        self.table.note_reached(other.name)
        self.reached_at[other.name] = self.crowd.clock.now()
        other.table.note_reached(self.name)

    def miss(self, silent):
        """Take that an entry did not answer, and ask it once more."""
        self.table.note_unanswered(silent.name)
        self.crowd.after(
            PROBE_TIMEOUT_SECONDS, lambda: self.probe_through_other(silent)
        )

    def probe_through_other(self, silent):
        """Ask through another entry."""
        if not self.alive or not self.table.note_unanswered(silent.name):
            self.asked.discard(silent.name)
            return
        others = [
            peer
            for peer in self.peers()
            if not (peer.suspect or peer.missed or peer.name == silent.name)
        ]
        since = self.crowd.clock.now() - RECENTLY_REACHED_SECONDS
        there = [p for p in others if self.reached_at.get(p.name, 0) > since]
        took = 0.0
        if others:
            other = self.crowd.entries[self.crowd.rng.choice(there or others).name]
            took = (
                PROBE_TIMEOUT_SECONDS
                if other.alive
                else PROBE_TIMEOUT_SECONDS + EXCHANGE_TIMEOUT_SECONDS
            )
        self.crowd.after(took, lambda: self.give_up(silent))

    def give_up(self, silent):
        """Take that nobody reaches an entry."""
        self.asked.discard(silent.name)
        if self.alive and not silent.alive:
            self.table.note_unreachable(silent.name)

    def ask_repair(self, name):
        """Ask another entry for what differs."""
        other = self.crowd.entries[name]
        if other.alive:
            reply = other.part.answer_repair(None, self.part.repair())
            self.crowd.after(2 * LINK_SECONDS, lambda: self.part.merge_repair(reply))

    def named(self):
        """Return the names that it would tell callers."""
        return {entry.name for entry in self.table.usable()}


class MemberCrowd:
    """Entries in three data centres."""

    def __init__(self, count, seed=1):
        """Start all of them, and have them know one another."""
        self.clock = SetClock()
        self.rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        names = [f"10.{n % 3}.{n // 3}.7:8741" for n in range(count)]
        listed = [ListedEntry(n, f"host of {n}", n, n.split(".")[1]) for n in names]
        self.entries = {
            e.name: MemberEntry(e.name, e.data_centre, self) for e in listed
        }
        for entry in self.entries.values():
            entry.table.apply_list(listed)
            entry.run()

    def after(self, seconds, work):
        """Have something done after some time."""
        at = self.clock.now() + seconds
        heapq.heappush(self._events, (at, next(self._numbers), work))

    def run(self, seconds):
        """Let time pass."""
        began = self.clock.now()
        while self._events and self._events[0][0] <= began + seconds:
            at, _, work = heapq.heappop(self._events)
            self.clock.seconds = max(self.clock.seconds, at)
            work()
        self.clock.seconds = began + seconds

    def running(self):
        """Return the entries that run."""
        return [entry for entry in self.entries.values() if entry.alive]

    def kill(self, count):
        """Kill some of the entries at once."""
        for entry in self.rng.sample(self.running(), count):
            entry.alive = False

    def naming_gone(self):
        """Return the share of running entries that name one that is gone."""
        gone = {name for name, entry in self.entries.items() if not entry.alive}
        running = self.running()
        return sum(bool(e.named() & gone) for e in running) / len(running)
