"""Plays one seed: servers change while random faults strike the store and the entries.

No entry may use a server's old value later than the bound after the change, and none
may use it again. This holds for changes that were published while the store was well
for some time, and for entries that have been reached by the store and by others for as
long. The entries and the store are those of ``tests.standins.following``.
"""

import random
from dataclasses import dataclass, field

from tests.standins.following import TICK_SECONDS, SimulatedSite

# By the number of entries: data centres, the bound, and how long store and entries have
# to be well until the bound holds again. In seconds.
DEPLOYMENTS = {6: (3, 2.0, 3.0), 62: (2, 4.0, 4.0), 86: (4, 3.0, 4.0)}
SERVERS = 40
READY = b"ready"
DRAINING = b"draining"
# The watches that each entry holds from its start have ended by then.
SETTLED_SECONDS = 60.0
# A change is looked at for this long.
WATCHED_SECONDS = 15.0
MIN_DROP_GAP_SECONDS = 6.0


@dataclass(frozen=True)
class Late:
    """An old value that an entry uses later than it may."""

    server: str
    entry: str
    changed_at: float
    seconds: float
    again: bool


@dataclass
class Change:
    """A change that has to be in force within the bound.

    :ivar known: the call schedules of the entries that have used another value since;
        an entry has a new one after each start.
    """

    at: float
    server: str
    old: bytes
    known: set = field(default_factory=set)


class Play:
    """One seed."""

    def __init__(self, count, seed, faults):
        """Start the entries, and let them settle."""
        centres, self.bound, self.well_seconds = DEPLOYMENTS[count]
        self.site = SimulatedSite(count, centres, self.bound, seed)
        self.site.used = True
        self.rng = random.Random(seed)
        self.faults = [getattr(self, f"strike_{fault}") for fault in faults]
        self.agenda, self.changes, self.events, self.late = [], [], [], []
        for number in range(SERVERS):
            self.site.publish(f"server-{number}", READY)
        self.site.run(SETTLED_SECONDS)
        self.began = self.now()
        self.store_ill_at = self.dropped_at = float("-inf")
        self.entry_ill_at = dict.fromkeys(
            (entry.name for entry in self.site.entries), float("-inf")
        )

    def now(self):
        """Return the simulated time."""
        return self.site.clock.now()

    def later(self, seconds, action):
        """Have something done later."""
        self.agenda.append((self.now() + seconds, action))

    def note(self, *event):
        """Keep an event for the report."""
        self.events.append((round(self.now() - self.began, 1), *event))

    def run(self, seconds):
        """Play; return what was used too late."""
        self.change_often()
        self.strike_often()
        while self.now() - self.began < seconds and not self.late:
            now = self.now()
            due = [item for item in self.agenda if item[0] <= now]
            self.agenda = [item for item in self.agenda if item[0] > now]
            for _, action in sorted(due, key=lambda item: item[0]):
                action()
            self.site.run(TICK_SECONDS)
            self.note_ill()
            self.check()
        return self.late

    def change_often(self):
        """Have a server leave, and again and again."""
        self.change()
        self.later(self.rng.uniform(0.3, 4.0), self.change_often)

    def strike_often(self):
        """Have a fault strike, and again and again."""
        self.rng.choice(self.faults)()
        self.later(self.rng.uniform(0.5, 7.0), self.strike_often)

    def change(self):
        """Have a server say that it leaves, or remove it; list it again later."""
        store = self.site.store
        listed = [key for key, value in store.values.items() if value[:5] == READY]
        if not listed:
            return
        server = self.rng.choice(listed)
        old, drains = store.values[server], self.rng.random() < 0.4
        self.site.publish(server, DRAINING if drains else None)
        held = self.is_store_well()
        self.note("drains" if drains else "removed", server, held)
        if held:
            self.changes.append(Change(self.now(), server, old))
        if drains:
            self.later(self.rng.uniform(1, 6), lambda: self.remove(server))
        again = READY + str(store.revision).encode()
        self.later(self.rng.uniform(12, 20), lambda: self.list_again(server, again))

    def remove(self, server):
        """Remove a server that drains."""
        if server in self.site.store.values:
            self.site.publish(server, None)

    def list_again(self, server, value):
        """List a server that was removed."""
        if server not in self.site.store.values:
            self.site.publish(server, value)

    def strike_drop(self):
        """Tell no watch anything for a moment, then drop the history."""
        if self.now() - self.dropped_at < MIN_DROP_GAP_SECONDS:
            return
        self.dropped_at = self.now()
        self.note("watches hear nothing")
        self.site.store.silent = True
        self.later(self.rng.uniform(0.0, 1.0), self.change)
        self.later(self.rng.choice([0.3, 1.0]), self.drop)

    def drop(self):
        """Drop the history and cut all watches."""
        self.note("history dropped")
        self.site.store.drop_history(self.site.running())

    def strike_outage(self):
        """Have the store refuse or lose all calls for some time."""
        kind = self.rng.choice(["down", "loses"])
        seconds = self.rng.choice([0.5, 1.5, 2.5, 5.0, 9.0])
        self.note(kind, seconds)
        setattr(self.site.store, kind, True)
        self.later(seconds, lambda: setattr(self.site.store, kind, False))
        self.later(seconds + self.well_seconds + self.rng.random(), self.change)

    def strike_kill(self):
        """Kill some watchers; start them again."""
        watching = self.site.watching()
        killed = self.rng.sample(watching, self.rng.randint(1, len(watching)))
        if len(killed) > len(self.site.running()) - 2:
            killed = killed[:1]
        self.note("killed", *(entry.name for entry in killed))
        for entry in killed:
            entry.alive = False
            entry.pending.clear()
            entry.lost.clear()
            self.later(self.rng.uniform(0.5, 3.0), entry.starts)

    def strike_alone(self):
        """Cut some entries off from all others for some time."""
        cut = self.rng.sample(self.site.running(), 1 + len(self.site.entries) // 8)
        seconds = self.rng.uniform(1, 6)
        self.note("alone", seconds, *(entry.name for entry in cut))
        self.set_alone(cut, True)
        self.later(seconds, lambda: self.set_alone(cut, False))

    def set_alone(self, entries, alone):
        """Cut entries off, or end this."""
        for entry in entries:
            entry.alone = alone

    def strike_refusal(self):
        """Have the store turn a third of the entries away for some time."""
        entries = self.rng.sample(self.site.entries, len(self.site.entries) // 3)
        self.turn_away({entry.name for entry in entries})

    def strike_watchers(self):
        """Have the store turn all watchers away for some time."""
        self.turn_away({entry.name for entry in self.site.watching()})

    def turn_away(self, names):
        """Have the store turn entries away for some time."""
        seconds = self.rng.uniform(1, 8)
        self.note("turned away", seconds, *sorted(names))
        store = self.site.store
        store.turned_away = store.turned_away | names
        self.later(seconds, lambda: self.serve_again(names))

    def serve_again(self, names):
        """End a refusal."""
        self.site.store.turned_away = self.site.store.turned_away - names

    def is_store_well(self):
        """Tell whether the store has answered for some time."""
        return self.now() - self.store_ill_at >= self.well_seconds

    def note_ill(self):
        """Note whom faults strike now."""
        store = self.site.store
        if store.down or store.loses:
            self.store_ill_at = self.now()
        for entry in self.site.entries:
            if not entry.alive or entry.alone or not store.serves(entry.name):
                self.entry_ill_at[entry.name] = self.now()

    def check(self):
        """Look for old values in use."""
        now = self.now()
        self.changes = [c for c in self.changes if now - c.at < WATCHED_SECONDS]
        for change in self.changes:
            due = now - change.at > self.bound + TICK_SECONDS and self.is_store_well()
            for entry in self.site.running():
                schedule = entry.following
                if entry.table.values.get(change.server) != change.old:
                    change.known.add(schedule)
                    continue
                well = now - self.entry_ill_at[entry.name] >= self.well_seconds
                again = schedule in change.known
                if again or (due and well):
                    self.note_late(change, entry, again)

    def note_late(self, change, entry, again):
        """Keep an old value in use."""
        at, seconds = change.at - self.began, self.now() - change.at
        late = Late(change.server, entry.name, round(at, 1), round(seconds, 1), again)
        self.late.append(late)
