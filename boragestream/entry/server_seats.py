"""Takes and grants seats at brittle servers, which bear no rejected calls.

The entry that ranks first for a server grants its seats; while it does not answer, the
second does. The second grants none while the first answers it: an asking entry that
does not reach the first would otherwise get seats that the first grants to others as
well. An entry that has just started, or become the first, does not know the
seats that were granted before, and grants only half of the places at first. Each
request for a seat names the seats that the asking entry has at the server, and those
that the granting entry does not know count as calls without a seat.
``policy.server_places`` counts the seats, ``policy.brittle_services`` decides how many
there are.
"""

import math
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.identifiers import grant_numbers
from boragestream.base.outcomes import Failure
from boragestream.entry.brittle import (
    log_brittle_change,
    pack_brittle,
    unpack_brittle,
)
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope, ProbeReply
from boragestream.entry.owner_questions import OwnerRequests
from boragestream.entry.seat_messages import SeatAsk, SeatReply, SeatReturn
from boragestream.policy.brittle_services import BrittleRecord, BrittleServices
from boragestream.policy.granters import GrantingEntries, Standing
from boragestream.policy.limit_records import server_key
from boragestream.policy.server_places import ServerPlaces
from boragestream.policy.servers import Server

__all__ = ["Seat", "SeatRefused", "ServerSeats"]

RETURN_TIMEOUT_SECONDS = 0.3
# Entries take about this time to agree on the live entries or to detect a silent one.
UNSETTLED_RETRY_SECONDS = 0.5
# A server may work on for this long after its call was cancelled or cut off.
LINGER_SECONDS = 0.5
# A seat outlives its call's deadline by this, in case its return is lost.
EXPIRY_MARGIN_SECONDS = 1.0
MAX_HOLD_SECONDS = 120.0
DIVIDED_SHARE = 0.5
# With more seats or servers than this, those that are no longer in use are forgotten.
MAX_SEATS = 4096
MAX_SERVERS = 1024


@dataclass(frozen=True, slots=True)
class Seat:
    """The right to have one call at a server.

    :ivar granted_by: the entry that granted it.
    :ivar number: identifies it there.
    """

    server: Server
    granted_by: str
    number: int


@dataclass(frozen=True, slots=True)
class SeatRefused(Failure):
    """All places at the server are taken.

    :ivar left_seconds: the expected time until one is free.
    """

    left_seconds: float


class ServerSeats:
    """Takes seats for this entry's calls, and grants them to other entries.

    :param own: this entry's name.
    :param granters: the entries that grant the seats of each server.
    :param address: returns an entry's peer address, given its name.
    :param agreed: returns whether the other entries know the same live entries.
    :param submit: runs a callable, which sends a message, in the background.
    :param open_calls: returns the number of this entry's calls at a server.
    """

    def __init__(
        self,
        own: str,
        services: BrittleServices,
        granters: GrantingEntries,
        address: Callable[[str], str | None],
        agreed: Callable[[], bool],
        links: PeerLinks,
        submit: Callable[[Callable[[], None]], None],
        clock: Clock,
        open_calls: Callable[[Server], int] = lambda server: 0,
    ) -> None:
        self._own = own
        self._services = services
        self._granters = granters
        self._address = address
        self._agreed = agreed
        self._links = links
        self._submit = submit
        self._clock = clock
        self._open_calls = open_calls
        self._settled = False
        self._requests = OwnerRequests(links, clock)
        self._numbers = grant_numbers()
        # The numbers of the seats that this entry holds, by server.
        self._held: dict[bytes, set[int]] = {}
        # Until when the places of a server are expected to be taken.
        self._full_until: dict[bytes, float] = {}
        self._granted: dict[bytes, ServerPlaces] = {}
        self._servers: dict[int, Server] = {}
        self._lock = threading.Lock()

    @property
    def services(self) -> BrittleServices:
        """The brittle services that this entry knows."""
        return self._services

    def seconds_left(self, server: Server) -> float:
        """Return the expected seconds until a seat is free; 0 if one may be now."""
        until = self._full_until.get(server_key(server), 0.0)
        return max(0.0, until - self._clock.now())

    def acquire(self, server: Server, seconds: float) -> Seat | SeatRefused:
        """Return a seat for a call.

        :param seconds: how long the call may take.
        """
        key = server_key(server)
        result = self._acquire(server, min(MAX_HOLD_SECONDS, seconds))
        if isinstance(result, Seat):
            with self._lock:
                self._held.setdefault(key, set()).add(result.number)
        else:
            self._full_until[key] = self._clock.now() + result.left_seconds
        return result

    def release(self, seat: Seat, rejected: bool = False, cut: bool = False) -> None:
        """Return a seat after its call has ended.

        :param rejected: whether the server rejected the call for want of room.
        :param cut: whether the server may still work on the call.
        """
        key = server_key(seat.server)
        with self._lock:
            held = self._held.get(key, set())
            held.discard(seat.number)
            if not held:
                self._held.pop(key, None)
        linger = LINGER_SECONDS if cut else 0.0
        if seat.granted_by == self._own:
            self._release(seat.number, linger, rejected)
            return
        if rejected:
            # Lowered here as well, in case the message is lost.
            log_brittle_change(self._lower(seat.server.service, None))
        address = self._address(seat.granted_by)
        if address is not None:
            message = SeatReturn(seat.number, int(linger * 1000), rejected)
            self._submit(
                lambda: self._links.ask(address, message, RETURN_TIMEOUT_SECONDS)
            )

    def answer(self, envelope: Envelope, message: SeatAsk) -> SeatReply:
        """Grant a seat to another entry, or refuse it."""
        change = self._services.take(unpack_brittle(message.record))
        log_brittle_change(change, envelope.sender)
        server = Server(
            message.server,
            message.service,
            message.host,
            message.data_centre,
            message.incarnation,
            slots=message.slots,
        )
        if not self._is_settled() or not self._may_grant(server):
            return SeatReply(0, int(UNSETTLED_RETRY_SECONDS * 1000))
        hold, sender = message.hold_ms / 1000, envelope.sender
        number, wait = self._grant(server, hold, sender, message.unseated, message.held)
        return SeatReply(number, math.ceil(wait * 1000))

    def answer_return(self, envelope: Envelope, message: SeatReturn) -> ProbeReply:
        """Accept a seat that another entry returns."""
        self._release(message.number, message.linger_ms / 1000, message.rejected)
        return ProbeReply(0)

    def _is_settled(self) -> bool:
        self._settled = self._settled or self._agreed()
        return self._settled

    def _may_grant(self, server: Server) -> bool:
        """Return whether this entry may grant the seats of a server to others."""
        granting = self._granters.for_server(server)
        if self._own not in granting:
            return False
        first = granting[0]
        address = self._address(first) if first != self._own else None
        return address is None or not self._requests.answers(first, address)

    def _acquire(self, server: Server, seconds: float) -> Seat | SeatRefused:
        places = self._services.places(server)
        if places is None or not self._is_settled():
            return SeatRefused(UNSETTLED_RETRY_SECONDS)
        hold = seconds + EXPIRY_MARGIN_SECONDS
        with self._lock:
            held = tuple(self._held.get(server_key(server), ()))
        unseated = max(0, self._open_calls(server) - len(held))
        for entry in self._granters.for_server(server):
            if entry == self._own:
                number, wait = self._grant(server, hold, self._own, unseated, held)
            elif self._requests.is_skipped(entry):
                continue
            else:
                reply = self._ask(entry, server, places, hold, unseated, held)
                if reply is None:
                    continue
                number, wait = reply.number, reply.wait_ms / 1000
            return Seat(server, entry, number) if number else SeatRefused(wait)
        return SeatRefused(UNSETTLED_RETRY_SECONDS)

    def _ask(
        self,
        entry: str,
        server: Server,
        places: int,
        hold: float,
        unseated: int,
        held: tuple[int, ...],
    ) -> SeatReply | None:
        address = self._address(entry)
        if address is None:
            return None
        record = next(
            (r for r in self._services.records() if r.service == server.service),
            BrittleRecord(server.service, 1, places),
        )
        message = SeatAsk(
            server.name,
            server.host,
            server.incarnation,
            server.service,
            server.data_centre,
            pack_brittle(record),
            server.slots,
            int(hold * 1000),
            unseated,
            held,
        )
        return self._requests.request(entry, address, message, SeatReply)

    def _grant(
        self,
        server: Server,
        hold: float,
        entry: str,
        unseated: int,
        held: Collection[int],
    ) -> tuple[int, float]:
        """Return a seat's number, 0 if refused, and the wait until one is free.

        :param unseated: the calls of the asking entry that have no seat.
        :param held: the numbers of its seats, also of those that others granted.
        """
        places = self._services.places(server)
        if places is None:
            # The service has just ceased to be brittle; the seat counts nothing.
            return next(self._numbers), 0.0
        if self._granters.standing(server, self._own) is not Standing.FIRST:
            places = max(1, int(places * DIVIDED_SHARE))
        now = self._clock.now()
        with self._lock:
            granted = self._granted.setdefault(server_key(server), ServerPlaces())
            elsewhere = sum(number not in granted.taken for number in held)
            granted.unseated[entry] = (unseated + elsewhere, now)
            number = next(self._numbers)
            if granted.take(number, places, now, hold):
                self._servers[number] = server
                full = granted.in_use(now) >= places
                wait = 0.0
            else:
                number, full = 0, False
                wait = granted.seconds_until_free(places)
            self._forget_expired(now)
        if full:
            log_brittle_change(self._services.note_full(server.service))
        return number, wait

    def _release(self, number: int, linger_seconds: float, rejected: bool) -> None:
        now = self._clock.now()
        with self._lock:
            server = self._servers.pop(number, None)
            granted = self._granted.get(server_key(server)) if server else None
            if granted is None:
                return
            if rejected:
                left = granted.release_rejected(number, now)
            else:
                granted.release(number, now, linger_seconds)
        if rejected:
            log_brittle_change(self._lower(server.service, left))

    def _lower(self, service: str, left: int | None) -> BrittleRecord | None:
        """Lower the places of a service after a rejection.

        :param left: the calls that were beside the rejected one; None if unknown here.
        """
        if left is None:
            record = next(
                (r for r in self._services.records() if r.service == service), None
            )
            if record is None or record.places is None:
                return None
            left = record.places - 1
        return self._services.note_rejected(service, left)

    def _forget_expired(self, now: float) -> None:
        """Forget expired seats and servers without any; the caller holds the lock."""
        if len(self._servers) < MAX_SEATS and len(self._granted) < MAX_SERVERS:
            return
        for key, granted in list(self._granted.items()):
            if not granted.in_use(now):
                del self._granted[key]
        for number, server in list(self._servers.items()):
            granted = self._granted.get(server_key(server))
            if granted is None or number not in granted.taken:
                del self._servers[number]
        self._full_until = {k: at for k, at in self._full_until.items() if at > now}
