"""Entries that tell one another of crashes, in simulated time, without a process.

Each has the project's own table and part of the exchange. What is simulated are the
rounds and the questions between entries, and messages that are lost.
"""

import heapq
import itertools
import random
from types import SimpleNamespace

from boragestream.entry.exchange import (
    FAN_OUT,
    ROUND_SECONDS,
    URGENT_BURST,
    URGENT_FAN_OUT,
    URGENT_GAP_SECONDS,
    URGENT_REFILL_SECONDS,
)
from boragestream.entry.quarantine import QuarantinePart
from boragestream.policy.quarantine import Quarantine
from tests.standins.clock import SetClock

# One way between entries, their work included.
LINK_SECONDS = 0.01
# What other parts of the exchange leave of a message.
ROOM = 250


class CrashEntry:
    """One entry: its table and its rounds."""

    def __init__(self, name, crowd):
        """Start with nothing known."""
        self.name, self.crowd = name, crowd
        self.urgent = False
        self.urgent_left = float(URGENT_BURST)
        self.round_at = 0.0
        self.links = SimpleNamespace(ask=self.ask)
        self.part = self.make_part()

    def make_part(self):
        """Return its part of the exchange."""
        names, clock = self.crowd.names, self.crowd.clock
        self.quarantine = Quarantine(self.name, names, clock, self.hurry)
        return QuarantinePart(self.quarantine, self.links, lambda n: n, self.submit)

    def ask(self, address, message, seconds):
        """Ask another entry; the answer is there at once."""
        other = self.crowd.entries[address]
        return None if self.crowd.loses() else other.part.answer(None, message)

    def submit(self, work):
        """Have a question asked."""
        self.crowd.after(2 * LINK_SECONDS, work)

    def hurry(self):
        """Bring the next round forward."""
        if not self.urgent and self.urgent_left >= 1:
            self.crowd.after(0.0, self.round)
        self.urgent = True

    def round(self):
        """Swap messages with a few others, and plan the next round."""
        now = self.crowd.clock.now()
        if now < self.round_at:
            self.crowd.after(self.round_at - now, self.round)
            return
        earned = (now - self.round_at) / URGENT_REFILL_SECONDS
        self.urgent_left = min(URGENT_BURST, self.urgent_left + earned) - self.urgent
        count = URGENT_FAN_OUT if self.urgent else FAN_OUT
        self.urgent = False
        self.round_at = now + URGENT_GAP_SECONDS
        others = [e for e in self.crowd.entries.values() if e is not self]
        for other in self.crowd.rng.sample(others, min(count, len(others))):
            self.crowd.after(LINK_SECONDS, lambda other=other: self.swap(other))
        pause = ROUND_SECONDS * (0.75 + 0.5 * self.crowd.rng.random())
        self.crowd.after(pause, self.round)

    def swap(self, other):
        """Swap messages, of which any may be lost."""
        mine = self.part.offer(ROOM)
        if self.crowd.loses():
            return
        other.part.take(self.name, mine)
        theirs = other.part.offer(ROOM)
        if not self.crowd.loses():
            self.part.take(other.name, theirs)


class CrashCrowd:
    """Entries that know one another."""

    entry_type = CrashEntry

    def __init__(self, count, seed):
        """Start all of them."""
        self.clock = SetClock()
        self.rng = random.Random(seed)
        self.lost_share = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.entries = {}
        for number in range(count):
            self.start(f"10.0.{number}.7:8741")

    def names(self):
        """Return the names of all entries."""
        return list(self.entries)

    def start(self, name):
        """Start an entry anew."""
        entry = self.entries[name] = self.entry_type(name, self)
        self.after(self.rng.random() * ROUND_SECONDS, entry.round)
        return entry

    def loses(self):
        """Tell whether the next message is lost."""
        return self.rng.random() < self.lost_share

    def after(self, seconds, work):
        """Have something done after some time."""
        at = self.clock.now() + seconds
        heapq.heappush(self._events, (at, next(self._numbers), work))

    def run(self, seconds):
        """Let time pass."""
        until = self.clock.now() + seconds
        while self._events and self._events[0][0] <= until:
            at, _, work = heapq.heappop(self._events)
            self.clock.seconds = max(self.clock.seconds, at)
            work()
        self.clock.seconds = until
