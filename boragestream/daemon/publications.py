"""Builds the objects that follow the platform's store for an entry.

An entry follows the list of servers and the values that operators publish: the
configuration and, if the settings give a bound for them, the drained data centres.

Building starts nothing. ``daemon.route_entry`` runs each publication as a task of its
own, and ``entry.published_relay`` relays the published values between entries.
"""

import random
import threading
from collections.abc import Callable, Sequence
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
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.publication import Change
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.region_watching import confirms_watches, watches_store
from boragestream.policy.regions import Regions
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.watching import StoreCallSchedule

__all__ = ["AWAITED_KEYS", "Publications", "make_publications"]

# The entry needs the first answer for each of these before it can serve requests.
AWAITED_KEYS = (CONFIGURATION_KEY, SERVERS_PREFIX)
# The number of changes of servers that are kept for entries that are behind. It covers
# some minutes of a rolling release of thousands of servers and takes half a megabyte.
MAX_KEPT_CHANGES = 2048
# At the start of a deployment its servers are listed one by one, and without the gap
# each watcher would get a separate answer for each change. The delay does no harm when
# a server leaves, since it still serves requests for seconds.
SERVERS_GAP_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Publications:
    """The publications that an entry follows.

    :ivar following: decides when this entry sends watches and reads to the store.
    :ivar confirming: decides when this entry confirms its values by a further read.
    :ivar operators: follows the values that operators publish.
    :ivar relay: the part of the exchange that carries published values.
    :ivar stopping: set once the entry ends.
    """

    following: StoreCallSchedule
    confirming: ConfirmationSchedule
    operators: Publication
    servers: Publication
    relay: PublishedRelay
    stopping: threading.Event

    def held_count(self) -> int:
        """Return the number of held values, which differ from a restored store's."""
        return len(self.servers.table.held) + len(self.operators.table.held)

    def confirm(self) -> None:
        """Confirm the values by reads of the store until the entry ends."""
        while not self.stopping.wait(self.confirming.pause_seconds()):
            # One read shows whether the store is reachable.
            if self.operators.confirm():
                self.servers.confirm()
            else:
                # Servers that lapse during the outage are published again after it.
                # Without this call, every server was missing for 0.5 s to 2 s at the
                # end of an outage that no watch had noticed.
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
    first: StartupReadiness,
    stopping: threading.Event,
    clock: Clock,
    rng: random.Random,
    regions: Regions | None = None,
    note_servers: Callable[[Sequence[Change]], None] = lambda changes: None,
    note_gap: Callable[[], None] = lambda: None,
) -> Publications:
    """Build the objects that follow the store, without starting any.

    :param own: this entry's name among the entries.
    :param stopping: set once the entry ends.
    :param regions: if there are several, the watchers are selected by region.
    :param note_servers: see ``note_changes`` of ``PublishedTable``.
    :param note_gap: see ``PublishedTable``.
    """
    if regions is None:
        regions = Regions(data_centre)
    prefix = CONFIGURATION_KEY if settings.draining_ms is None else OPERATOR_PREFIX

    def is_designated() -> bool:
        return watches_store(own, regions, members.entries.usable())

    following = StoreCallSchedule(
        clock,
        rng,
        {prefix: False, SERVERS_PREFIX: True},
        settings.bound_seconds,
        is_designated,
        lambda: len(members.entries.usable()) + 1,
    )

    def is_first() -> bool:
        return confirms_watches(own, regions, members.entries.usable())

    prefixes = (prefix, SERVERS_PREFIX)
    confirming = ConfirmationSchedule(
        clock, rng, prefixes, settings.bound_seconds, is_first
    )
    leaving_seconds = settings.leaving_ms / 1000

    def recently_confirmed() -> bool:
        # A server that leaves in order stays listed for this time.
        return confirming.confirmed_since(SERVERS_PREFIX, clock.now() - leaving_seconds)

    servers_table = PublishedTable(
        clock.now,
        MAX_KEPT_CHANGES,
        bound_seconds=leaving_seconds,
        note_changes=note_servers,
        note_gap=note_gap,
        recently_confirmed=recently_confirmed,
    )

    def note_answer() -> None:
        # Each answer counts, whichever prefix it is for: a watch of the servers that
        # stays open during an outage is answered only at the next change of a server,
        # which can be a long time later.
        servers_table.note_answer(clock.now(), confirming.last_answered_at)

    follow = partial(
        Publication,
        store=Store(settings.address),
        watch_seconds=settings.watch_seconds,
        following=following,
        confirming=confirming,
        on_change=members.exchange.request_round,
        before_answer=note_answer,
        stopping=stopping,
        clock=clock,
        on_failure=first.note_unreachable,
    )
    operators = follow(
        prefix=prefix,
        table=OperatorTable(clock.now, DRAINED_PREFIX),
        take=take_operators,
        unreachable=Event.CONFIGURATION_UNREACHABLE,
        on_answer=partial(first.note_known, CONFIGURATION_KEY),
    )
    servers = follow(
        prefix=SERVERS_PREFIX,
        table=servers_table,
        take=take_servers,
        unreachable=Event.INSTANCES_UNREACHABLE,
        on_answer=partial(first.note_known, SERVERS_PREFIX),
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
