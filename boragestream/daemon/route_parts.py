"""The objects of an entry that forwards calls.

``daemon.route_assembly`` builds them; ``daemon.route_entry`` starts them.
"""

import threading
from dataclasses import dataclass

from boragestream.backend.cancellation import Watchdog
from boragestream.base.clock import Clock
from boragestream.base.route_metrics import RouteMetrics
from boragestream.base.route_settings import RouteSettings
from boragestream.daemon.account_parts import AccountParts
from boragestream.daemon.limits import SharedLimits
from boragestream.daemon.publications import Publications
from boragestream.daemon.published_servers import PublishedServers
from boragestream.daemon.reach import ReachParts
from boragestream.daemon.stream_parts import StreamParts
from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.entry.knowledge_messages import (
    AddressesAsk,
    PublishedAsk,
    QuarantineAsk,
    QuarantineReply,
)
from boragestream.entry.links import Handler
from boragestream.entry.messages import DocumentAsk, Envelope, Probe, Sender
from boragestream.entry.peers import EntryPeers
from boragestream.entry.piece_messages import (
    PiecesBook,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
from boragestream.entry.quarantine import QuarantinePart
from boragestream.entry.relay import ConfigurationRelay
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.first_knowledge import StartupReadiness
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.region_links import RegionLinks
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.servers import ServerTable
from boragestream.serving.forwarder import Forwarder
from boragestream.serving.piece_batches import PieceBatches
from boragestream.serving.piece_bookings import PieceBookings
from boragestream.serving.piece_orders import PieceOrders

__all__ = ["RouteParts"]


@dataclass(frozen=True, slots=True)
class RouteParts:
    """The objects of one entry.

    :ivar incarnation: identifies this run of the entry's process.
    :ivar book: the addresses of the other entries.
    :ivar address_sync: finds differences from the address books of other entries.
    :ivar members: the state of the other entries.
    :ivar cold: the servers that have just started.
    :ivar limits: the servers that have a limit on their requests.
    :ivar quarantine: the requests that crash servers.
    :ivar quarantine_parts: send the quarantined requests, and the blocked parts of
        prompts, to other entries.
    :ivar published_servers: applies the published list of servers.
    :ivar publications: the values of the platform's store that the entry follows.
    :ivar ended: set once the entry has ended.
    :ivar first: tells whether the first answers of the platform are still missing.
    :ivar accounts: divides shortages between client accounts.
    :ivar region_links: the links to the other regions.
    :ivar reach: which services this entry and the others reach.
    :ivar orders: the orders for pieces of this entry's requests.
    :ivar bookings: the bookings of queue positions for later orders of this entry's
        requests.
    :ivar batches: the queues of pieces that this entry owns.
    :ivar streams: what keeps streams at the software version that began them.
    """

    settings: RouteSettings
    clock: Clock
    incarnation: str
    routes: RoutesInForce
    servers: ServerTable
    loads: LoadTable
    cold: ColdServers
    limits: SharedLimits
    quarantine: Quarantine
    quarantine_parts: tuple[QuarantinePart, QuarantinePart]
    published_servers: PublishedServers
    watchdog: Watchdog
    metrics: RouteMetrics
    publications: Publications
    ended: threading.Event
    first: StartupReadiness
    sender: Sender
    book: AddressBook
    address_sync: AddressSync
    members: EntryPeers
    relay: ConfigurationRelay
    accounts: AccountParts
    region_links: RegionLinks
    reach: ReachParts
    orders: PieceOrders
    bookings: PieceBookings
    batches: PieceBatches
    streams: StreamParts
    forwarder: Forwarder

    @property
    def handlers(self) -> dict[type, Handler]:
        """The handlers for messages of other entries, by the type of the message."""
        return {
            **self.members.handlers,
            **self.limits.handlers,
            **self.reach.handlers,
            **self.streams.handlers,
            Probe: self.members.exchange.answer_probe,
            DocumentAsk: self.relay.answer,
            AddressesAsk: self.address_sync.answer,
            PublishedAsk: self.publications.relay.answer,
            QuarantineAsk: self._answer_quarantine,
            PiecesOrder: self.orders.answer_order,
            PiecesBook: self.bookings.answer_booking,
            PiecesDone: self.orders.answer_done,
            PiecesCancel: self.orders.answer_cancel,
            PiecesRelease: self.orders.answer_release,
        }

    def _answer_quarantine(
        self, envelope: Envelope, message: QuarantineAsk
    ) -> QuarantineReply:
        of_requests, of_parts = self.quarantine_parts
        part = of_parts if message.parts else of_requests
        return part.answer(envelope, message)

    def serving_entries(self) -> list[ListedEntry]:
        """Return the entries that serve callers, this one included.

        Entries that reach no server are left out, unless no entry reaches one.
        """
        serving = [entry for entry in self.members.entries.usable() if entry.host]
        return list(self.reach.cut_entries.reaching(serving, lambda e: e.name))
