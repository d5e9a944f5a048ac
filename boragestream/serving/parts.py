"""The parts for running stages, shared by all requests of an entry."""

import random
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.clock import Clock
from boragestream.base.observations import Observations
from boragestream.policy.budgets import BudgetTable
from boragestream.policy.costs import CostTable
from boragestream.policy.load import LoadTable
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.routing import Location, RoutingPolicy, routing_policies
from boragestream.policy.server_backoffs import ServerBackoffs
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.policy.times import RecentTimes
from boragestream.policy.waiting import CallQueues
from boragestream.serving.limited_servers import LimitedServers
from boragestream.serving.seated_servers import SeatedServers

__all__ = ["ServingParts", "make_parts"]


@dataclass(frozen=True, slots=True)
class ServingParts:
    """The parts for running stages.

    :ivar backoffs: which servers have asked not to be called for some time.
    :ivar limited: the servers that have a limit, and the permits to call them.
    :ivar seated: obtains seats at brittle servers.
    :ivar reach: the services that this entry reaches.
    :ivar other_servers: returns some servers other than the one given.
    :ivar quarantine: which requests crash servers.
    :ivar routing: the routing policies, by name.
    :ivar lines: the requests that wait for room on a server, by service.
    :ivar attempts: the threads for attempts outside the request's own thread.
    :ivar times: the recent times of attempts, by kind of call.
    """

    servers: ServerTable
    backoffs: ServerBackoffs
    limited: LimitedServers
    seated: SeatedServers
    reach: ServerReach
    other_servers: Callable[[Server], Sequence[Server]]
    quarantine: Quarantine
    loads: LoadTable
    routing: dict[str, RoutingPolicy]
    call_queues: CallQueues
    connections: ConnectionKeeper
    attempt_executor: ThreadPoolExecutor
    times: RecentTimes
    retries: BudgetTable
    hedges: BudgetTable
    costs: CostTable
    observations: Observations
    clock: Clock
    rng: random.Random


def make_parts(
    servers: ServerTable,
    limited: LimitedServers,
    seated: SeatedServers,
    reach: ServerReach,
    other_servers: Callable[[Server], Sequence[Server]],
    quarantine: Quarantine,
    loads: LoadTable,
    attempts: ThreadPoolExecutor,
    clock: Clock,
    rng: random.Random,
    home: Callable[[], Location],
    observations: Observations,
) -> ServingParts:
    """Return the parts of an entry.

    :param limited: the servers that have a limit, and the permits to call them.
    :param quarantine: which requests crash servers.
    :param seated: obtains seats at brittle servers.
    :param reach: the services that this entry reaches.
    :param other_servers: returns some servers other than the one given.
    :param attempts: the threads for attempts outside the request's own thread.
    :param home: returns the location of the entry.
    """
    return ServingParts(
        servers=servers,
        backoffs=ServerBackoffs(clock),
        limited=limited,
        seated=seated,
        reach=reach,
        other_servers=other_servers,
        quarantine=quarantine,
        loads=loads,
        routing=routing_policies(loads, clock, rng, home),
        call_queues=CallQueues(clock, rng),
        connections=ConnectionKeeper(),
        attempt_executor=attempts,
        times=RecentTimes(clock),
        retries=BudgetTable(),
        hedges=BudgetTable(),
        costs=CostTable(),
        observations=observations,
        clock=clock,
        rng=rng,
    )
