"""Compares ways to hold a server's request limit over all entries.

Usage:
  bench.server_limits [--seeds N] [--costs]
  bench.server_limits --help

Options:
  --seeds N  How many seeds of each load [default: 3].
  --costs    Measure what the permits cost an entry instead.

Every way meets the same loads in simulated time: three servers with the same limit, of
which callers ask for more than they take. Printed as JSON, for each load and way: by
how many requests the worst four seconds are over the promise, the share of the limits
that was used, and the questions between entries in a second.
"""

import json
import math
import random
import sys
import time
from collections import deque
from types import SimpleNamespace

from docopt import docopt

from boragestream.base.clock import SystemClock
from boragestream.entry.limits import LimitsPart
from boragestream.policy.granters import Granters
from boragestream.policy.limit_records import LimitRecord, server_key
from boragestream.policy.queue_owners import owner_ranking
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server
from boragestream.policy.shares import next_share, split
from boragestream.policy.token_bucket import TokenBucket
from tests.standins.limit_crowd import LimitCrowd

SERVERS = 3
SECONDS = 16.0
SETTLED_SECONDS = 4.0
WINDOW_SECONDS = 4.0
TICK_SECONDS = 0.01
# Reports of demand reach all other entries in about this time.
REPORT_SECONDS = 1.5
# How long callers stay at one entry where they move.
STAY_SECONDS = 3.0
# Entries, limit, requests a second of all callers, and where these come in.
LOADS = {
    "6 entries, spread": (6, 2.0, 18.0, "spread"),
    "6 entries, callers at one": (6, 2.0, 18.0, "one"),
    "6 entries, callers move": (6, 2.0, 18.0, "moving"),
    "195 entries, spread": (195, 2.0, 60.0, "spread"),
    "195 entries, callers at one": (195, 2.0, 60.0, "one"),
    "6 entries in halves": (6, 2.0, 18.0, "halves"),
}
ROUNDS = 2000
LIMITED_SERVERS = 670


class OwnBuckets:
    """Each entry holds the whole limit by itself."""

    def __init__(self, entries, limit, halves):
        """Make a bucket for each entry and server."""
        self.buckets = [[TokenBucket(0.0) for _ in range(SERVERS)] for _ in entries]
        for buckets in self.buckets:
            for bucket in buckets:
                bucket.set_rate(limit, 0.0)

    def take(self, entry, now, rng):
        """Return the server that an entry may call; None for none."""
        for server in rng.sample(range(SERVERS), SERVERS):
            if self.buckets[entry][server].take(now):
                return server
        return None


class Holders(OwnBuckets):
    """The first entry by rank alone calls a server, for its own callers."""

    def __init__(self, entries, limit, halves):
        """Rank the entries, each half by itself where they are apart."""
        super().__init__(entries, limit, halves)
        names = [f"e-{n}" for n in entries]
        groups = [names[: len(names) // 2], names[len(names) // 2 :]]
        groups = groups if halves else [names]
        self.first = [
            {owner_ranking(f"s-{server}", group)[0] for group in groups}
            for server in range(SERVERS)
        ]

    def take(self, entry, now, rng):
        """Return the server that an entry may call; None for none."""
        for server in rng.sample(range(SERVERS), SERVERS):
            holds = f"e-{entry}" in self.first[server]
            if holds and self.buckets[entry][server].take(now):
                return server
        return None


class Shares(OwnBuckets):
    """Each entry holds a share of the limit that follows reported demand."""

    def __init__(self, entries, limit, halves):
        """Begin with even shares."""
        super().__init__(entries, limit, halves)
        self.limit, self.halves, self.count = limit, halves, len(entries)
        self.arrived = [0] * len(entries)
        self.reported = [0.0] * len(entries)
        self.held = [limit / len(entries)] * len(entries)
        self.report_at = REPORT_SECONDS
        self.hold()

    def hold(self):
        """Set the buckets to the shares that are held."""
        for entry, share in enumerate(self.held):
            for bucket in self.buckets[entry]:
                bucket.set_rate(share, self.report_at - REPORT_SECONDS)

    def take(self, entry, now, rng):
        """Return the server that an entry may call; None for none."""
        self.arrived[entry] += 1
        if now >= self.report_at:
            self.report(now)
        return super().take(entry, now, rng)

    def report(self, now):
        """Have all entries know what the others asked for and held."""
        demands = [count / REPORT_SECONDS / SERVERS for count in self.arrived]
        groups = [range(self.count)]
        if self.halves:
            middle = self.count // 2
            groups = [range(middle), range(middle, self.count)]
        held = list(self.held)
        for group in groups:
            targets = split(self.limit, {e: self.reported[e] for e in group})
            for entry in group:
                others = sum(held[e] for e in group if e != entry)
                target = targets[entry]
                self.held[entry] = next_share(self.limit, target, held[entry], others)
        self.reported, self.arrived = demands, [0] * self.count
        self.report_at = now + REPORT_SECONDS
        self.hold()


class LocalWay:
    """Plays a way that asks nobody."""

    def __init__(self, make):
        """Take what makes the way."""
        self.make = make

    def play(self, entries, limit, rate, where, seed):
        """Return the arrivals by server, and the questions a second."""
        rng = random.Random(seed)
        way = self.make(range(entries), limit, where == "halves")
        arrivals = [[] for _ in range(SERVERS)]
        for tick in range(round(SECONDS / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            for _ in range(comes(rng, rate)):
                entry = entry_of(rng, entries, where, now)
                server = way.take(entry, now, rng)
                if server is not None:
                    arrivals[server].append(now)
        return arrivals, 0.0


class Permits:
    """Plays permits, with the project's own code."""

    def play(self, entries, limit, rate, where, seed):
        """Return the arrivals by server, and the questions a second."""
        crowd = LimitCrowd(entries, SERVERS, [limit] * SERVERS, seed)
        names, rng = crowd.names(), random.Random(seed)
        if where == "halves":
            for number, name in enumerate(names):
                first = number < entries // 2
                middle = entries // 2
                known = names[:middle] if first else names[middle:]
                crowd.entries[name].known = known
                # The others are silent for it.
                crowd.entries[name].divided = True
        began = crowd.clock.now()
        for tick in range(round(SECONDS / TICK_SECONDS)):
            crowd.run(TICK_SECONDS)
            for _ in range(comes(rng, rate)):
                entry = entry_of(rng, entries, where, tick * TICK_SECONDS)
                crowd.give(crowd.entries[names[entry]])
        arrivals = [
            [at - began for at, _ in crowd.arrivals[server.name]]
            for server in crowd.servers
        ]
        return arrivals, crowd.asked / SECONDS


def comes(rng, rate):
    """Return how many requests come in a tick."""
    whole, rest = divmod(rate * TICK_SECONDS, 1.0)
    return int(whole) + (rng.random() < rest)


def entry_of(rng, entries, where, now):
    """Return the entry at which a request comes in."""
    if where == "one":
        return 0
    if where == "moving":
        return int(now // STAY_SECONDS) % entries
    return rng.randrange(entries)


def worst_excess(arrivals, limit):
    """Return by how many requests the worst window is over the promise, if any."""
    worst = None
    for moments in arrivals:
        within = deque()
        for at in (m for m in moments if m >= SETTLED_SECONDS):
            within.append(at)
            while within[0] <= at - WINDOW_SECONDS:
                within.popleft()
            excess = len(within) - (1.5 * WINDOW_SECONDS * limit + 5)
            worst = excess if worst is None else max(worst, excess)
    return worst


def used_share(arrivals, limit):
    """Return the share of the limits that was used."""
    count = sum(m >= SETTLED_SECONDS for moments in arrivals for m in moments)
    return count / (SERVERS * limit * (SECONDS - SETTLED_SECONDS))


WAYS = {
    "each entry by itself": LocalWay(OwnBuckets),
    "shares by demand": LocalWay(Shares),
    "holders by rank": LocalWay(Holders),
    "permits": Permits(),
}


def compare(seeds):
    """Return the figures of each way at each load."""
    table = {}
    for load, (entries, limit, rate, where) in LOADS.items():
        for name, way in WAYS.items():
            plays = [
                way.play(entries, limit, rate, where, seed)
                for seed in range(1, seeds + 1)
            ]
            row = {
                "worst_excess": max(
                    (worst_excess(a, limit) for a, _ in plays),
                    key=lambda excess: -math.inf if excess is None else excess,
                ),
                "used": round(sum(used_share(a, limit) for a, _ in plays) / seeds, 3),
                "asked_per_second": round(sum(asked for _, asked in plays) / seeds, 1),
            }
            table.setdefault(load, {})[name] = row
    return table


def micros(work, rounds=ROUNDS):
    """Return the microseconds of one call."""
    began = time.perf_counter()
    for _ in range(rounds):
        work()
    return round((time.perf_counter() - began) / rounds * 1e6, 2)


def costs():
    """Return what limits cost an entry of 370 where 670 of 6,700 servers have one."""
    entries = [f"10.0.{n // 250}.{n % 250}:8741" for n in range(370)]
    servers = [
        Server(f"i-{n:010x}", f"s-{n % 40}", f"10.9.{n // 250}.{n % 250}:80", "h", "1")
        for n in range(10 * LIMITED_SERVERS)
    ]
    limits = ServerLimits(SystemClock())
    limits.take_list(servers)
    service = [server for server in servers if server.service == "s-1"]
    free = micros(lambda: limits.split(service))
    answer_free = micros(lambda: limits.note_answer(servers[1], None, 0.0, True))
    for server in servers[::10]:
        limits.take(LimitRecord(server_key(server), 1, 150))
    granters = Granters(lambda: entries, lambda server: server.name, SystemClock())
    granters.for_server(servers[0])
    part = LimitsPart(limits, SimpleNamespace(ask=None), lambda n: None, lambda w: None)
    news = len(part.offer(250))
    limits.table.pending_records(10**6)
    while limits.table.pending_records(LIMITED_SERVERS):
        pass
    reply = part.answer(None, SimpleNamespace(digests=(0,) * 16))
    return {
        "split_170_servers_none_limited_us": free,
        "split_170_servers_us": micros(lambda: limits.split(service)),
        "answer_none_limited_us": answer_free,
        "answer_us": micros(lambda: limits.note_answer(servers[0], 1.5, 0.0, True)),
        "rank_370_entries_us": micros(
            lambda: owner_ranking("server", entries)[:2], ROUNDS // 10
        ),
        "granters_known_us": micros(lambda: granters.for_server(servers[0])),
        "offer_with_new_records_bytes": news,
        "offer_agreed_bytes": len(part.offer(250)),
        "offer_agreed_us": micros(lambda: part.offer(250)),
        "records_of_16_buckets": len(reply.records),
        "list_of_6700_us": micros(lambda: limits.take_list(servers), 20),
    }


def main():
    """Measure and print."""
    arguments = docopt(__doc__)
    if arguments["--costs"]:
        print(json.dumps(costs()))
    else:
        print(json.dumps(compare(int(arguments["--seeds"]))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
