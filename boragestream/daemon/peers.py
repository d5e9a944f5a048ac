"""Puts an entry among the other entries: membership, exchange and relay together."""

import random
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from boragestream.base.clock import Clock
from boragestream.base.settings import EntrySettings
from boragestream.daemon.tasks import take_document
from boragestream.entry.knowledge_messages import QuarantineAsk
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.messages import DocumentAsk
from boragestream.entry.peers import EntryPeers
from boragestream.entry.quarantine import QuarantinePart
from boragestream.entry.relay import ConfigurationRelay
from boragestream.platform.instances import Instance
from boragestream.policy.configuration import ConfigurationInForce
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.membership import MemberState
from boragestream.policy.peers import EntryTable
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.servers import ServerTable
from boragestream.policy.watching import direct_read_seconds, is_watcher

__all__ = [
    "InitialSync",
    "Peers",
    "WatchDuty",
    "join_peers",
    "join_quarantine",
    "listed_states",
]

# Longer than one question to a peer, so that a peer that is gone does not count.
INITIAL_SYNC_SECONDS = 2.5
CHECK_SECONDS = 0.01


class WatchDuty:
    """Says when this entry watches the configuration service.

    An entry without a document always does, since no peer may have one either.

    :param who: this entry's name and data centre.
    """

    def __init__(
        self,
        who: EntrySettings,
        entries: EntryTable,
        configuration: ConfigurationInForce,
        rng: random.Random,
    ) -> None:
        self._who = who
        self._entries = entries
        self._configuration = configuration
        self._rng = rng

    def watches(self) -> bool:
        """Return whether to watch now."""
        if self._configuration.current is None:
            return True
        usable = self._entries.usable()
        if not usable:
            return False
        return is_watcher(self._who.name, self._who.data_centre, usable)

    def read_gap_seconds(self) -> float:
        """Return how long to wait between two reads while not watching."""
        return direct_read_seconds(len(self._entries.usable()), self._rng)


class InitialSync:
    """Hears the peers before a fresh entry takes the service's document.

    The service can be stale. An entry that came into service with what the service
    has would revert what its predecessor had in force.

    :param members: tells when the first round is over, or that there are no peers.
    :param relay: tells whether a peer's document is on its way.
    """

    def __init__(self, members: EntryPeers, relay: ConfigurationRelay) -> None:
        self._members = members
        self._relay = relay

    def wait(self, clock: Clock, stopping: threading.Event) -> None:
        """Return once the peers of a round have been heard, or after the limit."""
        limit = clock.now() + INITIAL_SYNC_SECONDS
        while clock.now() < limit and not stopping.is_set():
            alone = self._members.entries.listed and not self._members.peers()
            met = alone or self._members.exchange.met.is_set()
            if met and not self._relay.asking:
                return
            stopping.wait(CHECK_SECONDS)


@dataclass(frozen=True, slots=True)
class Peers:
    """What the daemon needs of the other entries.

    :ivar members: the other entries, and the exchange that parts can be added to.
    :ivar duty: when to watch the configuration service.
    :ivar initial_sync: what a fresh entry waits for before it takes a document.
    :ivar quarantine: which requests crash servers.
    :ivar handlers: what answers the messages of peers.
    """

    members: EntryPeers
    duty: WatchDuty
    initial_sync: InitialSync
    quarantine: Quarantine
    handlers: Mapping[type, Handler]


def join_peers(
    who: EntrySettings,
    incarnation: str,
    links: PeerLinks,
    configuration: ConfigurationInForce,
    servers: ServerTable,
    clock: Clock,
    rng: random.Random,
) -> Peers:
    """Put an entry among the others; nothing runs yet."""

    def server_left(server: LeavingServer) -> None:
        servers.take_notice((server.name, server.host, server.incarnation))

    def take_text(text: bytes, source: str) -> bool:
        return take_document(text, configuration, source) is not None

    members = EntryPeers(
        who.name, incarnation, who.data_centre, links, server_left, clock, rng
    )
    relay = ConfigurationRelay(
        configuration, take_text, links, members.address, members.exchange.submit
    )
    members.exchange.add_part(relay)
    configuration.when_taken(members.exchange.hurry)
    duty = WatchDuty(who, members.entries, configuration, rng)
    quarantine, part = join_quarantine(who.name, members, links, clock)
    handlers = {
        **members.handlers,
        DocumentAsk: relay.answer,
        QuarantineAsk: part.answer,
    }
    initial_sync = InitialSync(members, relay)
    return Peers(members, duty, initial_sync, quarantine, handlers)


def join_quarantine(
    own: str, members: EntryPeers, links: PeerLinks, clock: Clock
) -> tuple[Quarantine, QuarantinePart]:
    """Have the entries tell one another which requests crash servers.

    :param own: this entry's name.
    """

    def entries() -> list[str]:
        return [entry.name for entry in members.entries.usable()]

    quarantine = Quarantine(own, entries, clock, members.exchange.hurry)
    part = QuarantinePart(quarantine, links, members.address, members.exchange.submit)
    members.exchange.add_part(part)
    return quarantine, part


def listed_states(
    listed: Iterable[Instance], entries: EntryTable
) -> tuple[Instance, ...]:
    """Return the listed entries with what is believed of each as its state."""
    return tuple(replace(i, state=_word(entries.state(i.name))) for i in listed)


def _word(state: MemberState) -> str:
    return state.name.lower()
