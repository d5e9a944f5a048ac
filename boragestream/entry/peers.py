"""This entry among the other entries: tables, exchange and the answers to peers.

It ties the decisions of ``policy`` to the links; whoever has something else to tell
other entries adds a part to the exchange.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.entry.exchange import Peer, PeerExchange
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.members import MembershipPart
from boragestream.entry.messages import Exchange, ProbeFor, Repair, RepairReply
from boragestream.policy.leaving import LeavingServer, new_leaving_table
from boragestream.policy.membership import MemberState
from boragestream.policy.peers import FORGET_SECONDS, EntryTable, ListedEntry

__all__ = ["EntryPeers"]

REPAIR_SECONDS = 2.0


class EntryPeers:
    """The other entries as this entry knows and asks them.

    :param name: this entry's name.
    :param incarnation: this entry's incarnation.
    :param data_centre: this entry's data centre.
    :param links: carries the messages.
    :param server_left: takes a leaving backend server that another entry told of.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        data_centre: str,
        links: PeerLinks,
        server_left: Callable[[LeavingServer], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._links = links
        self._clock = clock
        self._server_left = server_left
        self._entries = EntryTable(name, incarnation, clock, self._hurry)
        self._leaving = new_leaving_table()
        self._server_listed_at: dict[str, float] = {}
        self._exchange = PeerExchange(links, self, data_centre, clock, rng)
        self._members = MembershipPart(
            self._entries, self._leaving, self._take_server, self._ask_repair, clock
        )
        self._exchange.add_part(self._members)

    @property
    def entries(self) -> EntryTable:
        """What is believed of every entry."""
        return self._entries

    @property
    def exchange(self) -> PeerExchange:
        """The rounds; parts are added here."""
        return self._exchange

    @property
    def handlers(self) -> Mapping[type, Handler]:
        """What answers the messages of peers."""
        return {
            Exchange: self._exchange.answer,
            ProbeFor: self._exchange.answer_probe_for,
            Repair: self._members.answer_repair,
        }

    def address(self, name: str) -> str | None:
        """Return the peer address of an entry, None where it is not listed."""
        for entry in self._entries.listed:
            if entry.name == name:
                return entry.peer_address
        return None

    def peers(self) -> Sequence[Peer]:
        """Return every other entry that may be asked."""
        states = (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING)
        return [
            Peer(
                entry.name,
                entry.peer_address,
                entry.data_centre,
                self._entries.state(entry.name) is MemberState.SUSPECT,
                self._entries.missed(entry.name),
            )
            for entry in self._entries.in_states(states)
            if entry.name != self._name
        ]

    def note_reached(self, name: str) -> None:
        """Take that a peer answered this entry."""
        self._entries.note_reached(name)

    def note_missed(self, name: str) -> bool:
        """Take that a peer did not answer; True where others should probe it too."""
        return self._entries.note_missed(name)

    def note_unreached(self, name: str) -> None:
        """Take that another entry's probe found the peer silent as well."""
        emit(Event.ENTRY_SUSPECTED, entry=name)
        self._entries.note_unreached(name)

    def lost_lately(self) -> int:
        """Return how many entries were found silent in the last seconds."""
        return self._entries.lost_lately()

    def take_entries(self, listed: Iterable[ListedEntry]) -> None:
        """Take the published list of entries."""
        before = self._addresses()
        self._entries.take_list(listed)
        after = self._addresses()
        for address in before - after:
            self._links.forget(address)
        if after - before:
            self._hurry()

    def take_servers(self, listed: Iterable[LeavingServer]) -> None:
        """Take which backend servers are listed, before they are put to use.

        Words about servers that are not listed are kept for a while, since a list may
        omit a server by mistake and name it again.
        """
        now = self._clock.now()
        for server in listed:
            self._server_listed_at[server.key] = now
        old = [
            key
            for key, at in self._server_listed_at.items()
            if now - at > FORGET_SECONDS
        ]
        for key in old:
            del self._server_listed_at[key]
        self._leaving.drop(old)
        for server in self._leaving.records.values():
            self._server_left(server)

    def tell_leaving(self, server: LeavingServer) -> None:
        """Tell the other entries what a backend server said of itself."""
        if self._leaving.take(server):
            self._exchange.tell()

    def leave(self) -> None:
        """Tell the other entries that this one is leaving."""
        self._entries.say(MemberState.LEAVING)
        self._exchange.tell()

    def _addresses(self) -> set[str]:
        return {entry.peer_address for entry in self._entries.listed}

    def _hurry(self) -> None:
        self._exchange.hurry()

    def _take_server(self, server: LeavingServer) -> None:
        # A word about a server that is not listed here is heeded, since the list may
        # lag, but not passed on, so that it dies out.
        self._server_left(server)
        if server.key in self._server_listed_at and self._leaving.take(server):
            self._hurry()

    def _ask_repair(self, name: str) -> None:
        self._exchange.submit(partial(self._repair, name))

    def _repair(self, name: str) -> None:
        address = self.address(name)
        if address is None:
            return
        reply = self._links.ask(address, self._members.repair(), REPAIR_SECONDS)
        if isinstance(reply, RepairReply):
            self._members.take_repair(reply)
