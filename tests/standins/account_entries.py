"""The load of one service that many entries forward to, in simulated time.

It has no network and no threads: requests of several accounts arrive at random entries,
each of which decides with its own ``ServiceShares``. Servers refuse what exceeds their
places. Entries report their demand to one another; reports can be lost, and entries can
be unknown to others.
"""

import heapq
import itertools
import random

from boragestream.policy.demand import DemandTable, EntryReport
from boragestream.policy.service_shares import ServiceShares
from tests.standins.clock import SetClock

SERVICE = "service"
REPORT_SECONDS = 1.0
CALL_SECONDS = 0.5
MAX_ATTEMPTS = 5
RETURN_SECONDS = 0.3
URGENCIES = (0, 1, 2)


class AccountEntries:
    """One run of a load.

    :param count: the number of entries.
    :param places: the requests that all servers together run at once.
    :param lost: the share of reports that are lost.
    :param unknown: the share of entries that an entry does not know.
    """

    def __init__(self, count, places, lost, unknown, seed, shares=True):
        """Begin with nothing under way."""
        self.rng, self.clock = random.Random(seed), SetClock(0.0)
        self.names = [f"entry-{n}" for n in range(count)]
        self.places, self.busy, self.lost = places, 0, lost
        known = max(1, round(count * (1 - unknown)))
        self.peers = {
            name: set(self.rng.sample(self.names, known)) - {name}
            for name in self.names
        }
        self.tables = {name: DemandTable(name, self.clock) for name in self.names}
        self.shares = {
            name: ServiceShares(self.tables[name], lambda: known, self.clock)
            for name in self.names
        }
        self.active = shares
        self.numbers, self.moments = itertools.count(), []
        # By kind in the surge, and by account in the whole run.
        self.served, self.came, self.surplus = {}, {}, {}
        self.requests = 0

    def at(self, when, what, *more):
        """Have something happen at a time."""
        heapq.heappush(self.moments, (when, next(self.numbers), what, more))

    def run(self, rates, surges, surge):
        """Run to the end of the surge; return the share answered, by kind.

        :param rates: requests a second by account.
        :param surges: the multiple that each account sends in the surge.
        :param surge: its first and last second.
        """
        start, end = surge
        self.counted = surge
        for account, rate in rates.items():
            for begin, until, factor in (
                (0, start, 1.0),
                (start, end, surges(account)),
            ):
                now = begin + self.rng.expovariate(rate * factor)
                while now < until:
                    urgency = self.rng.choice(URGENCIES)
                    self.at(now, self.come, account, urgency, True)
                    now += self.rng.expovariate(rate * factor)
        for turn in range(int(end / REPORT_SECONDS)):
            self.at(turn * REPORT_SECONDS, self.report, turn)
        while self.moments:
            now, _, what, more = heapq.heappop(self.moments)
            self.clock.seconds = now
            what(now, *more)
        return {k: self.served.get(k, 0) / n for k, n in self.came.items()}

    def report(self, now, turn):
        """Have each entry report its demand."""
        for name in self.names:
            demands = self.shares[name].demands()
            report = EntryReport(name, "one", turn + 1, 0.0, demands)
            for other in self.names:
                if name in self.peers[other] and self.rng.random() >= self.lost:
                    self.tables[other].add(report, 0.0)

    def come(self, now, account, urgency, first):
        """Have a request arrive at an entry."""
        in_surge = self.counted[0] <= now < self.counted[1]
        kind = (account, urgency)
        self.requests += first
        if first and in_surge:
            self.came[kind] = self.came.get(kind, 0) + 1
        shares = self.shares[self.rng.choice(self.names)]
        if self.active:
            surplus = shares.admit(SERVICE, account, urgency)
            if surplus is not None:
                self.surplus[account] = self.surplus.get(account, 0) + 1
                if first:
                    self.at(
                        now + surplus.wait_seconds, self.come, account, urgency, False
                    )
                return
        for _ in range(MAX_ATTEMPTS):
            # A server that is chosen at random is full with this probability.
            if (
                self.busy < self.places
                and self.rng.random() >= (self.busy / self.places) ** 8
            ):
                self.busy += 1
                shares.note_served(SERVICE)
                took = CALL_SECONDS * (0.5 + self.rng.random())
                self.at(now + took, self.end)
                if in_surge:
                    self.served[kind] = self.served.get(kind, 0) + 1
                return
            shares.note_full(SERVICE)
        if first:
            self.at(now + RETURN_SECONDS, self.come, account, urgency, False)

    def end(self, now):
        """End a call."""
        self.busy -= 1
