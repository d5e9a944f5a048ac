"""Entries in two regions, in simulated time, without a process or socket.

Each entry has the project's own exchange, table, links between regions and their meter.
What is simulated are the rounds, the connections and the network: its delay, and what
it drops. A request on a new connection takes two round trips more.
"""

import itertools
import random
from collections import Counter, deque
from functools import partial

import msgspec

from boragestream.entry.exchange import (
    EXCHANGE_THREADS,
    FAN_OUT,
    ROUND_SECONDS,
    URGENT_BURST,
    URGENT_FAN_OUT,
    URGENT_GAP_SECONDS,
    URGENT_REFILL_SECONDS,
)
from boragestream.entry.link_meter import RegionMeter
from boragestream.entry.links import PeerUnreachable
from boragestream.entry.messages import Envelope, Exchange, Probe
from boragestream.entry.peers import EntryPeers
from boragestream.policy.membership import MemberState
from boragestream.policy.peers import ListedEntry
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.regions import Regions
from tests.standins.clock import SetClock
from tests.standins.cooperative_threads import Scheduler

REGION_BY_CENTRE = {
    "hall-a": "valley",
    "hall-b": "valley",
    "hall-c": "valley",
    "pier-a": "coast",
    "pier-b": "coast",
    "pier-c": "coast",
}
# One way, within a region and between two.
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.012
MAX_IDLE = 2


class RegionNetwork:
    """Carries requests; ``dropped`` names pairs of regions, the sender's first."""

    def __init__(self, crowd):
        """Start with both directions open."""
        self.crowd = crowd
        self.far_seconds = FAR_SECONDS
        self.dropped = set()
        # Requests between regions by kind of message.
        self.crossed = Counter()

    def delay(self, a, b):
        """Return the seconds one way."""
        return NEAR_SECONDS if a.region == b.region else self.far_seconds

    def passes(self, a, b):
        """Return whether packets from one entry reach another."""
        return (a.region, b.region) not in self.dropped


class CrowdLinks:
    """The requests of one entry."""

    def __init__(self, entry):
        """Start without connections."""
        self.entry = entry
        self.idle = Counter()
        self._lost_next = set()

    def lose_next(self, address):
        """Lose the next exchange with an entry."""
        self._lost_next.add(address)

    def ask(self, address, message, seconds):
        """Send a message to an entry and wait for its answer."""
        entry, crowd = self.entry, self.entry.crowd
        other, network = crowd.entries[address], crowd.network
        seconds += entry.meter.allowance_seconds(address, message)
        size = len(msgspec.msgpack.encode(message))
        if other.region != entry.region:
            network.crossed[type(message).__name__] += 1
        began = crowd.clock.now()
        answer, measured = self._request(other, message, seconds)
        if answer is None:
            left = began + seconds - crowd.clock.now()
            crowd.scheduler.sleep(max(0.0, left))
            if entry.alive:
                entry.meter.note_missed(address, message, size, seconds)
            return PeerUnreachable(address, "Timeout")
        self.idle[address] = min(MAX_IDLE, self.idle[address] + 1)
        size += len(msgspec.msgpack.encode(answer))
        entry.meter.note_answer(address, message, size, measured)
        return answer

    def forget(self, address):
        """Close the connections to an entry."""
        self.idle.pop(address, None)

    def _request(self, other, message, seconds):
        """Return the answer and its time; None if there is none in time."""
        entry, crowd = self.entry, self.entry.crowd
        network, sleep = crowd.network, crowd.scheduler.sleep
        began, delay = crowd.clock.now(), network.delay(self.entry, other)
        if isinstance(message, Exchange) and other.name in self._lost_next:
            self._lost_next.discard(other.name)
            return None, 0.0
        if self.idle[other.name]:
            self.idle[other.name] -= 1
        else:
            open_path = network.passes(entry, other) and network.passes(other, entry)
            if not (open_path and other.alive) or 4 * delay > seconds:
                return None, 0.0
            sleep(4 * delay)
        sent_at = crowd.clock.now()
        if not network.passes(entry, other):
            return None, 0.0
        sleep(delay)
        if not (entry.alive and other.alive):
            return None, 0.0
        handler = other.peers.handlers.get(type(message), other.answer_probe)
        envelope = Envelope(1, "routes", entry.name, entry.incarnation, b"", b"")
        answer = handler(envelope, message)
        if not (other.alive and network.passes(other, entry)):
            return None, 0.0
        sleep(delay)
        if crowd.clock.now() - began > seconds or not entry.alive:
            return None, 0.0
        return answer, crowd.clock.now() - sent_at


class CrowdExecutor:
    """Runs the tasks of one entry's exchange, as many at a time as it has threads."""

    def __init__(self, scheduler):
        """Start without tasks."""
        self._scheduler = scheduler
        self._waiting = deque()
        self._running = 0

    def submit(self, function, *arguments):
        """Run a task as soon as a thread is free."""
        self._waiting.append(partial(function, *arguments))
        self._begin()

    def _begin(self):
        if self._waiting and self._running < EXCHANGE_THREADS:
            self._running += 1
            self._scheduler.start(partial(self._run, self._waiting.popleft()))

    def _run(self, task):
        try:
            task()
        finally:
            self._running -= 1
            self._begin()


class EarlyRounds:
    """Takes the place of the event that starts a round early."""

    def __init__(self, hurry):
        """Take what starts a round."""
        self.set = hurry


class CrowdEntry:
    """One entry."""

    def __init__(self, name, centre, crowd, regions):
        """Build its parts; ``begin`` starts its rounds."""
        self.name, self.centre, self.crowd = name, centre, crowd
        self.region = REGION_BY_CENTRE[centre]
        self.listed = ListedEntry(name, f"host of {name}", name, centre)
        self.begin(regions)

    def begin(self, regions):
        """Start, or start again without any state."""
        crowd = self.crowd
        self.alive = True
        self.incarnation = f"life {next(crowd.numbers)}"
        self.urgent_left = float(URGENT_BURST)
        self.urgent = False
        self.round_at = crowd.clock.now()
        self.suspicions = set()
        self.statuses = []
        self.links = RegionLinks(
            Regions(self.centre, regions),
            crowd.clock,
            random.Random(f"{crowd.seed} {self.incarnation}"),
            self.statuses.append,
        )
        self.meter = RegionMeter(self.links, lambda a: self.peers.region_at(a))
        self.requests = CrowdLinks(self)
        self.peers = EntryPeers(
            self.name,
            self.incarnation,
            self.centre,
            self.requests,
            lambda server: None,
            crowd.clock,
            crowd.rng,
            self.links,
        )
        exchange = self.peers.exchange
        exchange._executor = CrowdExecutor(crowd.scheduler)
        exchange._urgent = EarlyRounds(self.hurry)
        life = self.incarnation
        crowd.scheduler.after(
            crowd.rng.random() * ROUND_SECONDS, lambda: self.round(life)
        )

    def answer_probe(self, envelope, message):
        """Answer a probe as the daemon does."""
        assert isinstance(message, Probe)
        return self.peers.exchange.answer_probe(envelope, message)

    def hurry(self):
        """Bring the next round forward."""
        if self.urgent:
            return
        self.urgent = True
        if self.urgent_left >= 1:
            life = self.incarnation
            gap = max(0.0, self.round_at - self.crowd.clock.now())
            self.crowd.scheduler.after(gap, lambda: self.round(life, early=True))

    def round(self, life, early=False):
        """Begin one round; a regular one plans the next."""
        now = self.crowd.clock.now()
        if not self.alive or life != self.incarnation:
            return
        earned = (now - self.round_at) / URGENT_REFILL_SECONDS
        self.urgent_left = min(URGENT_BURST, self.urgent_left + earned - self.urgent)
        count = URGENT_FAN_OUT if self.urgent else FAN_OUT
        self.urgent = False
        self.round_at = now + URGENT_GAP_SECONDS
        self.peers.exchange.round(count)
        if not early:
            pause = ROUND_SECONDS * (0.75 + 0.5 * self.crowd.rng.random())
            self.crowd.scheduler.after(pause, lambda: self.round(life))

    def named(self):
        """Return the names that it would give to callers of all regions."""
        self.links.check()
        return {entry.name for entry in self.peers.entries.usable()}

    def suspected_by_record(self):
        """Return the names of the entries that are recorded as suspects."""
        entries = self.peers.entries
        return {
            entry.name
            for entry in entries.listed
            if entries.recorded_state(entry.name) is MemberState.SUSPECT
        }


class RegionCrowd:
    """Entries of two regions that know one another."""

    def __init__(self, count, seed=1, regions=None):
        """Start all of them."""
        self.seed = seed
        self.clock = SetClock()
        self.scheduler = Scheduler(self.clock)
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.network = RegionNetwork(self)
        self.regions = REGION_BY_CENTRE if regions is None else regions
        centres = list(REGION_BY_CENTRE)
        names = [f"10.{n % 6}.{n // 6}.7:8741" for n in range(count)]
        self.entries = {
            name: CrowdEntry(name, centres[n % 6], self, self.regions)
            for n, name in enumerate(names)
        }
        for entry in self.entries.values():
            self.list_all(entry)

    def list_all(self, entry):
        """Give an entry the list of all."""
        entry.peers.set_listed_entries([e.listed for e in self.entries.values()])

    def restart(self, entry):
        """Start an entry again without any state."""
        entry.begin(self.regions)
        self.list_all(entry)

    def running(self, region=None):
        """Return the entries that run."""
        entries = self.entries.values()
        return [e for e in entries if e.alive and region in (None, e.region)]

    def run(self, seconds, until=lambda: False):
        """Let time pass; return whether a condition held before its end."""
        return self.scheduler.run(seconds, until)

    def names(self, region=None):
        """Return the names of the running entries."""
        return {entry.name for entry in self.running(region)}

    def all_name(self, names, region=None):
        """Return whether each running entry of a region names just these."""
        return all(entry.named() == names for entry in self.running(region))

    def settle(self, seconds, condition):
        """Let time pass until a condition holds; return the seconds or None."""
        began = self.clock.now()
        while self.clock.now() - began < seconds:
            if condition():
                return self.clock.now() - began
            self.run(0.25)
        return self.clock.now() - began if condition() else None
