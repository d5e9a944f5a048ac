"""Client accounts that send requests to entries of two regions, in simulated time.

Each request runs ``serving.stage_pieces`` in a task of its own. A call of a stage
server takes its usual time; a server that is lost takes no call.
"""

import random
import unittest.mock
from collections import Counter, defaultdict
from dataclasses import dataclass
from types import SimpleNamespace

from boragestream.backend.failures import ConnectFailed, Ran, ServerCold
from boragestream.base.failures import AccountOverShare
from boragestream.base.outcomes import Failure
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.queue_owners import StageQueue, owner_ranking
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.stage_servers import Batch
from tests.standins.cooperative_threads import Scheduler
from tests.standins.stage_network import (
    ENTRIES_PER_CENTRE,
    LIMITS,
    REGIONS,
    SERVICES,
    StageCalls,
    StageNetwork,
)

CENTRE_SERVERS = 2
# The pieces a second that the servers of a service in a region make at most.
CALL_SECONDS = LIMITS.call_seconds + LIMITS.batch * LIMITS.piece_seconds
REGION_PIECES = 2 * CENTRE_SERVERS * LIMITS.batch / CALL_SECONDS
CHECK_SECONDS = 0.1
WAKE_SECONDS = 0.1


class Wake:
    """Takes the place of the event that wakes a request's task."""

    def __init__(self, scheduler):
        """Let waiting tasks sleep in simulated time."""
        self.scheduler = scheduler

    def wait(self, seconds):
        """Sleep."""
        self.scheduler.sleep(WAKE_SECONDS)

    def set(self):
        """Do nothing; the task looks again soon."""

    def clear(self):
        """Do nothing."""


class TimedCalls(StageCalls):
    """Lets a call of a stage server take its usual time."""

    def __init__(self, network, entry):
        """Make the calls of one entry."""
        super().__init__(network)
        self.entry = entry

    def submit(self, work, *arguments):
        """Begin a call, or do other work at once."""
        batch = arguments[-1]
        if not isinstance(batch, Batch):
            work(*arguments)
            return
        lost = batch.server.data_centre in self.network.lost
        admitted = not lost and self.entry.cold.admit(batch.server)
        if not admitted:
            self.network.turned_away.add(id(batch))
        seconds = batch.seconds if admitted else 0.0
        self.network.scheduler.after(seconds, lambda: work(*arguments))

    def make(self, batch):
        """End a call."""
        name = batch.server.name
        if id(batch) not in self.network.turned_away:
            return super().make(batch)
        self.network.turned_away.discard(id(batch))
        if batch.server.data_centre in self.network.lost:
            return ConnectFailed(name, Ran.NOT_SENT, "lost")
        return ServerCold(name, Ran.NOT_SENT)


@dataclass(frozen=True)
class Served:
    """A request that has ended.

    :ivar came_at: when it came.
    :ivar outcome: the results of its chain, or why it was refused.
    """

    region: str
    account: str
    request_id: str
    came_at: float
    outcome: object

    @property
    def answered(self):
        """Whether its stages were done."""
        return not isinstance(self.outcome, Failure)

    @property
    def is_surplus(self):
        """Whether it was refused as surplus."""
        return isinstance(self.outcome, AccountOverShare)


class RegionLoad(StageNetwork):
    """The entries and stage servers of two regions under the load of accounts.

    :param cold_bound: the load that cold servers tolerate; None if none is bounded.
    :param stages: the services that each request needs, one after the other.
    """

    def __init__(self, seed=1, cold_bound=None, stages=SERVICES):
        """Begin without requests."""
        self.rng, self.stages = random.Random(seed), stages
        self.cold_bound = cold_bound
        self.ended = []
        # The batches that no server takes.
        self.turned_away = set()
        self.lost, self.drained = set(), set()
        # The pieces a second that owners divided, by region.
        self.divided = defaultdict(list)
        # Orders that an owner holds behind all others as surplus.
        self.surplus_orders = set()
        super().__init__(REGIONS, CENTRE_SERVERS)
        self.scheduler = Scheduler(self.clock)
        for entry in self.entries.values():
            entry.calls = entry.batches._calls = TimedCalls(self, entry)
        self.check()

    def new_shares(self, region=""):
        """Return the shares of a new queue, which note what they divide."""
        shares = QueueShares()
        judge, divided = shares.judge, self.divided[region]

        def noted(request, capacity, *more):
            divided.append(capacity)
            return judge(request, capacity, *more)

        shares.judge = noted
        return shares

    def new_cold_servers(self, name):
        """Return the cold servers of an entry, which all entries agree on."""

        def ranked(server):
            key = StageQueue(server.service, server.region).ranking_key
            return owner_ranking(key, self.eligible(server.region))

        bound = self.cold_bound
        return ColdServers(name, lambda s: bound, ranked, lambda: True, self.clock)

    def pass_time(self, seconds):
        """Let the sender wait; the others go on."""
        self.scheduler.sleep(seconds)

    def live(self, service):
        """Return the live servers of a service."""
        live = super().live(service)
        return [s for s in live if s.data_centre not in self.drained]

    def check(self):
        """Have all entries check their queues, and note what they hold as surplus."""
        for entry in self.entries.values():
            if entry.name not in self.killed:
                entry.batches.update_queues()
                for queue in entry.batches._queues.values():
                    held = [*queue.orders.items(), *queue._bookings.items()]
                    self.surplus_orders.update(k for k, q in held if q.surplus)
        self.scheduler.after(CHECK_SECONDS, self.check)

    def run(self, seconds, rates):
        """Have requests come for some time, and let the last of them end.

        :param rates: the requests a second by region and account.
        """
        for (region, account), rate in rates.items():
            after = self.rng.expovariate(rate)
            while after < seconds:
                self.come_after(after, region, account)
                after += self.rng.expovariate(rate)
        event = SimpleNamespace(Event=lambda: Wake(self.scheduler))
        module = "boragestream.serving.stage_run.threading"
        with unittest.mock.patch(module, event):
            self.scheduler.run(seconds)

    def come_after(self, seconds, region, account):
        """Have a request come to an entry of a region after some time."""
        entry = self.entry(region, self.rng.randrange(2 * ENTRIES_PER_CENTRE))

        def work():
            began = self.clock.now()
            request_id, outcome = self.request(entry, self.stages, account=account)
            self.ended.append(Served(region, account, request_id, began, outcome))
            if not isinstance(outcome, Failure):
                entry.stages.release(outcome.results)

        self.scheduler.after(seconds, lambda: self.scheduler.start(work))

    def attainment(self, since, until=float("inf")):
        """Return the part of the requests answered, by region and account."""
        come, answered = Counter(), Counter()
        for one in self.ended:
            if since <= one.came_at < until:
                come[one.region, one.account] += 1
                answered[one.region, one.account] += one.answered
        return {key: answered[key] / count for key, count in come.items()}
