"""What an entry follows of the platform's store, built once.

These are the servers, and what operators publish: the configuration and, where the
settings name a bound for them, the drained data centres.

Building starts nothing. Each publication is run as a task of its own by
``daemon.route_entry``; between entries they travel by ``entry.published_relay``.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from boragestream.base.clock import Clock
from boragestream.base.events import Event
from boragestream.base.route_settings import StoreSettings
from boragestream.daemon.publication import Publication
from boragestream.entry.links import PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.published_relay import PublishedRelay
from boragestream.platform.store import (
    CONFIGURATION_KEY,
    DRAINED_PREFIX,
    OPERATOR_PREFIX,
    SERVERS_PREFIX,
    Store,
)
from boragestream.policy.confirming import Confirming
from boragestream.policy.first_knowledge import FirstKnowledge
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.watching import (
    StoreFollowing,
    is_first_watcher,
    is_watcher,
)

__all__ = ["AWAITED", "Publications", "make_publications"]

# What must be known before requests can be served.
AWAITED = (CONFIGURATION_KEY, SERVERS_PREFIX)
# Changes of servers that are kept for entries that are behind: some minutes of a
# rolling release of thousands of servers, half a megabyte.
KEPT_CHANGES = 2048
# At the start of a deployment its servers are listed one by one, and each change would
# be an answer of its own to each watcher. A server that leaves serves on for seconds.
SERVERS_GAP_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Publications:
    """What is followed.

    :ivar following: when this entry asks the store itself.
    :ivar confirming: when it makes sure of what it knows.
    :ivar operators: follows what operators publish.
    :ivar relay: the part of the exchange that carries what is published.
    :ivar stopping: set once the entry ends.
    """

    following: StoreFollowing
    confirming: Confirming
    operators: Publication
    servers: Publication
    relay: PublishedRelay
    stopping: threading.Event

    def held_count(self) -> int:
        """Return how many values are used against what a returned store says."""
        return len(self.servers.table.held) + len(self.operators.table.held)

    def confirm(self) -> None:
        """Make sure of what is known until the entry ends."""
        while not self.stopping.wait(self.confirming.pause_seconds()):
            # One question shows whether the store is there.
            if self.operators.confirm():
                self.servers.confirm()
            else:
                # What lapses meanwhile comes back; without this every server was gone
                # for half a second to two at the end of an outage that no watch met.
                self.servers.table.note_failure()


def make_publications(
    settings: StoreSettings,
    data_centre: str,
    own: str,
    members: EntryPeers,
    links: PeerLinks,
    routes: RoutesInForce,
    take_operators: Callable[[dict[str, bytes]], None],
    take_servers: Callable[[dict[str, bytes]], None],
    first: FirstKnowledge,
    stopping: threading.Event,
    clock: Clock,
    rng: random.Random,
) -> Publications:
    """Build what follows the store; nothing runs yet.

    :param own: this entry's name among the entries.
    :param stopping: set once the entry ends.
    """
    prefix = CONFIGURATION_KEY if settings.draining_ms is None else OPERATOR_PREFIX

    def designated() -> bool:
        return is_watcher(own, data_centre, members.entries.usable())

    following = StoreFollowing(
        clock,
        rng,
        {prefix: False, SERVERS_PREFIX: True},
        settings.bound_seconds,
        designated,
        lambda: len(members.entries.usable()) + 1,
    )

    def first_watcher() -> bool:
        return is_first_watcher(own, members.entries.usable())

    prefixes = (prefix, SERVERS_PREFIX)
    confirming = Confirming(clock, rng, prefixes, settings.bound_seconds, first_watcher)
    servers_table = PublishedTable(clock.now, KEPT_CHANGES)
    follow = partial(
        Publication,
        store=Store(settings.address),
        watch_seconds=settings.watch_seconds,
        following=following,
        confirming=confirming,
        changed=members.exchange.hurry,
        # Whatever it was asked about: a watch of the servers that outlives an outage
        # answers only with their next change, which can be a long time after.
        answered=servers_table.note_answer,
        stopping=stopping,
        clock=clock,
        failed=first.note_unreachable,
    )
    operators = follow(
        prefix=prefix,
        table=OperatorTable(clock.now, DRAINED_PREFIX),
        take=take_operators,
        unreachable=Event.CONFIGURATION_UNREACHABLE,
        known=partial(first.note_known, CONFIGURATION_KEY),
    )
    servers = follow(
        prefix=SERVERS_PREFIX,
        table=servers_table,
        take=take_servers,
        unreachable=Event.INSTANCES_UNREACHABLE,
        known=partial(first.note_known, SERVERS_PREFIX),
        gap_seconds=SERVERS_GAP_SECONDS,
    )
    relay = PublishedRelay(
        following,
        confirming,
        servers.table,
        operators.table,
        lambda: routes.current,
        servers.take_relayed,
        operators.take_relayed,
        links,
        members.address,
        members.exchange.submit,
        clock,
    )
    return Publications(following, confirming, operators, servers, relay, stopping)
