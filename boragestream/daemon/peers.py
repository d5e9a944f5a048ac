"""Connects an entry to its peers: membership, exchange, relay and quarantine."""

import random
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from boragestream.base.clock import Clock
from boragestream.base.settings import EntrySettings
from boragestream.daemon.tasks import apply_document
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
from boragestream.policy.prompt_parts import CRASHES_TO_BLOCK, PartCrashes
from boragestream.policy.quarantine import CRASHES_TO_QUARANTINE, Quarantine
from boragestream.policy.servers import ServerTable
from boragestream.policy.watchers import is_watcher
from boragestream.policy.watching import direct_read_seconds

__all__ = [
    "InitialSync",
    "Peers",
    "WatchDuty",
    "make_part_crashes",
    "make_quarantine",
    "entries_with_states",
    "make_peers",
]

# Longer than the time-out of one message to a peer, so that one unreachable peer does
# not use up the limit.
INITIAL_SYNC_SECONDS = 2.5
POLL_SECONDS = 0.01


class WatchDuty:
    """Decides when this entry watches the configuration service.

    An entry without a document always watches, since its peers may have none either.

    :param who: the settings with this entry's name and data centre.
    """

    def __init__(
        self,
        who: EntrySettings,
        entries: EntryTable,
        configuration: ConfigurationInForce,
        rng: random.Random,
    ) -> None:
        self._entry_settings = who
        self._entries = entries
        self._configuration = configuration
        self._rng = rng

    def watches(self) -> bool:
        """Return whether this entry should watch the service now."""
        if self._configuration.current is None:
            return True
        usable = self._entries.usable()
        if not usable:
            return False
        return is_watcher(
            self._entry_settings.name, self._entry_settings.data_centre, usable
        )

    def read_gap_seconds(self) -> float:
        """Return the seconds between two direct reads while not watching."""
        return direct_read_seconds(len(self._entries.usable()), self._rng)


class InitialSync:
    """Syncs a new entry with its peers before it reads the configuration service.

    The document of the service can be stale. An entry that started with a stale
    document would revert the configuration that its predecessor had in force.

    :param members: reports the end of the first exchange round, or the lack of peers.
    :param relay: reports whether a document is being fetched from a peer.
    """

    def __init__(self, members: EntryPeers, relay: ConfigurationRelay) -> None:
        self._members = members
        self._relay = relay

    def wait(self, clock: Clock, stopping: threading.Event) -> None:
        """Block until the first exchange round is complete or the limit has passed."""
        limit = clock.now() + INITIAL_SYNC_SECONDS
        while clock.now() < limit and not stopping.is_set():
            alone = self._members.entries.listed and not self._members.peers()
            round_done = alone or self._members.exchange.round_completed.is_set()
            if round_done and not self._relay.request_in_progress:
                return
            stopping.wait(POLL_SECONDS)


@dataclass(frozen=True, slots=True)
class Peers:
    """The components that connect an entry to its peers.

    :ivar members: the other entries, and the exchange that parts can be added to.
    :ivar duty: decides when to watch the configuration service.
    :ivar initial_sync: delays the first read of the document in a new entry.
    :ivar quarantine: the requests that crash servers.
    :ivar handlers: the handlers of peer messages, by message type.
    """

    members: EntryPeers
    duty: WatchDuty
    initial_sync: InitialSync
    quarantine: Quarantine
    handlers: Mapping[type, Handler]


def make_peers(
    who: EntrySettings,
    incarnation: str,
    links: PeerLinks,
    configuration: ConfigurationInForce,
    servers: ServerTable,
    clock: Clock,
    rng: random.Random,
) -> Peers:
    """Build the components that connect an entry to its peers; start nothing."""

    def on_server_left(server: LeavingServer) -> None:
        servers.note_leaving_identity((server.name, server.host, server.incarnation))

    def apply_text(text: bytes, source: str) -> bool:
        return apply_document(text, configuration, source) is not None

    members = EntryPeers(
        who.name, incarnation, who.data_centre, links, on_server_left, clock, rng
    )
    relay = ConfigurationRelay(
        configuration, apply_text, links, members.address, members.exchange.submit
    )
    members.exchange.add_part(relay)
    configuration.add_listener(members.exchange.request_round)
    duty = WatchDuty(who, members.entries, configuration, rng)
    quarantine, part = make_quarantine(who.name, members, links, clock)
    handlers = {
        **members.handlers,
        DocumentAsk: relay.answer,
        QuarantineAsk: part.answer,
    }
    initial_sync = InitialSync(members, relay)
    return Peers(members, duty, initial_sync, quarantine, handlers)


def make_quarantine(
    own: str,
    members: EntryPeers,
    links: PeerLinks,
    clock: Clock,
    of_parts: bool = False,
) -> tuple[Quarantine, QuarantinePart]:
    """Build the quarantine, which shares crashing requests among the entries.

    :param own: this entry's name.
    :param of_parts: whether it is that of parts of prompts.
    """

    def entries_with_turns() -> list[str]:
        # An entry that is unreachable from here may serve its callers, and has turns.
        states = (MemberState.LIVE, MemberState.SUSPECT)
        return [entry.name for entry in members.entries.in_states(states)]

    quarantine = Quarantine(
        own,
        entries_with_turns,
        clock,
        members.exchange.request_round,
        CRASHES_TO_BLOCK if of_parts else CRASHES_TO_QUARANTINE,
    )
    part = QuarantinePart(
        quarantine, links, members.address, members.exchange.submit, of_parts
    )
    members.exchange.add_part(part)
    return quarantine, part


def make_part_crashes(
    own: str, members: EntryPeers, links: PeerLinks, clock: Clock
) -> tuple[PartCrashes, QuarantinePart]:
    """Build the records of the parts of prompts that crash servers.

    :param own: this entry's name.
    """
    quarantine, part = make_quarantine(own, members, links, clock, of_parts=True)
    return PartCrashes(quarantine, clock), part


def entries_with_states(
    listed: Iterable[Instance], entries: EntryTable
) -> tuple[Instance, ...]:
    """Return the listed entries, each with its membership state as known here."""
    return tuple(replace(i, state=_state_name(entries.state(i.name))) for i in listed)


def _state_name(state: MemberState) -> str:
    return state.name.lower()
