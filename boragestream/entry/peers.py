"""The other entries: their tables, the exchange with them and the answers to them.

This module connects the decisions of ``policy`` to the links. Other subjects that
entries share are added to the exchange as parts.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.entry.exchange import PeerExchange
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.members import MembershipPart
from boragestream.entry.messages import Exchange, ProbeFor, Repair, RepairReply
from boragestream.entry.peer_choice import Peer
from boragestream.entry.region_part import RegionLinksPart
from boragestream.policy.leaving import LeavingServer, new_leaving_table
from boragestream.policy.membership import MemberState
from boragestream.policy.peers import FORGET_SECONDS, EntryTable, ListedEntry
from boragestream.policy.region_links import RegionLinks

__all__ = ["EntryPeers"]

REPAIR_TIMEOUT_SECONDS = 2.0


class EntryPeers:
    """Tracks the other entries and communicates with them.

    :param name: this entry's name.
    :param incarnation: this entry's incarnation.
    :param data_centre: this entry's data centre.
    :param links: carries the messages.
    :param server_left: called with each leaving backend server that another entry
        reports.
    :param region_links: the links to other regions; None if there are no regions.
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
        region_links: RegionLinks | None = None,
    ) -> None:
        several = region_links is not None and region_links.regions.several
        self._region_links = region_links if several else None
        self._region_by_address: dict[str, str] = {}
        self._name = name
        self._links = links
        self._clock = clock
        self._on_server_leaving = server_left
        self._entries = EntryTable(
            name, incarnation, clock, self._schedule_round, self._is_hidden
        )
        self._leaving_servers = new_leaving_table()
        self._server_listed_at: dict[str, float] = {}
        self._exchange = PeerExchange(links, self, data_centre, clock, rng)
        self._membership = MembershipPart(
            self._entries,
            self._leaving_servers,
            self._add_leaving_server,
            self._submit_repair,
            clock,
        )
        self._exchange.add_part(self._membership)
        if self._region_links is not None:
            part = RegionLinksPart(self._region_links, self._is_of_own_region)
            self._exchange.add_part(part)

    @property
    def entries(self) -> EntryTable:
        """The table with the state of every entry."""
        return self._entries

    @property
    def exchange(self) -> PeerExchange:
        """The exchange with the peers, to which parts are added."""
        return self._exchange

    @property
    def handlers(self) -> Mapping[type, Handler]:
        """The handlers of messages from peers, by message class."""
        return {
            Exchange: self._exchange.answer,
            ProbeFor: self._exchange.answer_probe_for,
            Repair: self._membership.answer_repair,
        }

    def address(self, name: str) -> str | None:
        """Return the peer address of an entry; None if it is not listed."""
        for entry in self._entries.listed:
            if entry.name == name:
                return entry.peer_address
        return None

    def region_at(self, address: str) -> str:
        """Return the region of the entry at a peer address; empty if unknown."""
        return self._region_by_address.get(address, "")

    def of_own_region(self, addresses: Iterable[str]) -> list[str]:
        """Return the peer addresses of live entries that are not in another region.

        An address book keeps the addresses of lost entries. Without any other entry of
        its region, an entry has to ask those of other regions.
        """
        if self._region_links is None:
            return list(addresses)
        own = self._region_links.regions.own
        return [
            address
            for address in addresses
            if self.region_at(address) in ("", own)
            and self._entries.recorded_state(address) is MemberState.LIVE
        ]

    def region_reachable(self, region: str) -> bool:
        """Return whether any entry of another region answers this region."""
        if self._region_links is None:
            return True
        return region not in self._region_links.unreachable_regions

    def peers(self) -> Sequence[Peer]:
        """Return every other entry that may be contacted."""
        if self._region_links is not None:
            self._region_links.check()
        states = (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING)
        return [
            Peer(
                entry.name,
                entry.peer_address,
                entry.data_centre,
                self._entries.state(entry.name) is MemberState.SUSPECT,
                self._entries.last_exchange_failed(entry.name),
                self._other_region(entry),
            )
            for entry in self._entries.in_states(states)
            if entry.name != self._name
        ]

    def note_reached(self, name: str) -> None:
        """Record that a peer answered this entry."""
        self._entries.note_reached(name)

    def note_missed(self, name: str) -> bool:
        """Record that a peer did not answer; True if others should probe it too."""
        return self._entries.note_unanswered(name)

    def note_unreached(self, name: str) -> None:
        """Record that the probe of another entry also failed to reach the peer."""
        emit(Event.ENTRY_SUSPECTED, entry=name)
        self._entries.note_unreachable(name)

    def recent_losses(self) -> int:
        """Return how many entries became unreachable in the last seconds."""
        return self._entries.recent_loss_count()

    def set_listed_entries(self, listed: Iterable[ListedEntry]) -> None:
        """Replace the list of entries with the published one."""
        before = self._peer_addresses()
        self._entries.apply_list(listed)
        if self._region_links is not None:
            regions = self._region_links.regions
            self._region_by_address = {
                entry.peer_address: regions.of(entry.data_centre)
                for entry in self._entries.listed
            }
        after = self._peer_addresses()
        for address in before - after:
            self._links.forget(address)
        if after - before:
            self._schedule_round()

    def set_listed_servers(self, listed: Iterable[LeavingServer]) -> None:
        """Update which backend servers are listed, before they are put to use.

        Records of leaving servers that are not listed are kept for a while, since a
        list may omit a server by mistake and include it again.
        """
        now = self._clock.now()
        for server in listed:
            self._server_listed_at[server.key] = now
        expired = [
            key
            for key, at in self._server_listed_at.items()
            if now - at > FORGET_SECONDS
        ]
        for key in expired:
            del self._server_listed_at[key]
        self._leaving_servers.remove(expired)
        for server in self._leaving_servers.records.values():
            self._on_server_leaving(server)

    def announce_leaving_server(self, server: LeavingServer) -> None:
        """Notify the other entries of a backend server that says it is leaving."""
        if self._leaving_servers.merge(server):
            self._exchange.start_round()

    def leave(self) -> None:
        """Notify the other entries that this one is leaving."""
        self._entries.announce_state(MemberState.LEAVING)
        self._exchange.start_round()

    def _other_region(self, entry: ListedEntry) -> str:
        """Return the region of an entry; empty if it is this entry's or unknown."""
        if self._region_links is None:
            return ""
        regions = self._region_links.regions
        region = regions.of(entry.data_centre)
        return "" if region == regions.own else region

    def _is_hidden(self, entry: ListedEntry) -> bool:
        if self._region_links is None or not self._region_links.unreachable_regions:
            return False
        return self._other_region(entry) in self._region_links.unreachable_regions

    def _is_of_own_region(self, name: str) -> bool:
        if self._region_links is None:
            return False
        address = self.address(name)
        own = self._region_links.regions.own
        return address is not None and self.region_at(address) == own

    def _peer_addresses(self) -> set[str]:
        return {entry.peer_address for entry in self._entries.listed}

    def _schedule_round(self) -> None:
        self._exchange.request_round()

    def _add_leaving_server(self, server: LeavingServer) -> None:
        # A report about a server that is not listed here is applied, since the list
        # may lag, but not propagated, so that reports about removed servers stop
        # circulating.
        self._on_server_leaving(server)
        if server.key in self._server_listed_at and self._leaving_servers.merge(server):
            self._schedule_round()

    def _submit_repair(self, name: str) -> None:
        self._exchange.submit(partial(self._repair, name))

    def _repair(self, name: str) -> None:
        address = self.address(name)
        if address is None:
            return
        reply = self._links.ask(
            address, self._membership.repair(), REPAIR_TIMEOUT_SECONDS
        )
        if isinstance(reply, RepairReply):
            self._membership.merge_repair(reply)
