"""Acquires and grants permits to call servers that have a limit.

All live entries compute the same ranking of entries for a server. The first entry
grants the server's permits; while it does not answer, the second does. A permit is
valid for a short time from a given moment. Its validity is counted from the time of the
request for it, so that a permit that was delayed on the network, or that a suspended
process holds, expires unused.

An entry that has never agreed with other entries on the set of live entries neither
requests nor grants permits: entries that start together would each consider themselves
the first. Entries whose lists differ by a few entries later on still compute the same
ranking, except possibly for its first places.

The number of permits is decided in ``policy.server_limits``.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.identifiers import grant_numbers
from boragestream.base.outcomes import Failure
from boragestream.entry.limits import log_limit_change, pack_limit, unpack_limit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope, ProbeReply
from boragestream.entry.owner_questions import OwnerRequests
from boragestream.entry.permit_messages import PermitAsk, PermitReply, PermitReturn
from boragestream.policy.granters import GrantingEntries
from boragestream.policy.limit_records import LimitRecord, server_key
from boragestream.policy.server_limits import PERMIT_SECONDS, ServerLimits
from boragestream.policy.servers import Server

__all__ = ["Permit", "PermitRefused", "ServerPermits"]

# If the granting entry does not answer a return in time, only that permit is lost.
RETURN_TIMEOUT_SECONDS = 0.3
# Entries take about this time to agree on the live entries or to detect a silent one.
UNSETTLED_RETRY_SECONDS = 0.5
# Grants are remembered this long; no caller waits longer for a permit.
GRANT_KEEP_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to a server.

    :ivar server: the server's key (``policy.limit_records.server_key``).
    :ivar begins: the clock time in seconds from which the permit is valid.
    :ivar expires: the clock time in seconds at which the permit expires.
    :ivar granted_by: the entry that granted the permit.
    :ivar number: identifies the permit at the granting entry.
    """

    server: bytes
    begins: float
    expires: float
    granted_by: str
    number: int


@dataclass(frozen=True, slots=True)
class PermitRefused(Failure):
    """There is no permit in time.

    :ivar left_seconds: the time until a permit is available.
    """

    left_seconds: float


@dataclass(frozen=True, slots=True)
class _Grant:
    server: bytes
    moment: float


class ServerPermits:
    """Acquires permits for this entry and grants permits to other entries.

    :param own: this entry's name.
    :param granters: the entries that grant the permits of each server.
    :param address: returns an entry's peer address, given its name.
    :param agreed: returns whether the other entries know the same live entries.
    :param submit: runs a callable, which sends a message, in the background.
    :param ended: called after each acquisition with the server's service and whether a
        permit was granted.
    """

    def __init__(
        self,
        own: str,
        limits: ServerLimits,
        granters: GrantingEntries,
        address: Callable[[str], str | None],
        agreed: Callable[[], bool],
        links: PeerLinks,
        submit: Callable[[Callable[[], None]], None],
        clock: Clock,
        ended: Callable[[str, bool], None] = lambda service, granted: None,
    ) -> None:
        self._own = own
        self._limits = limits
        self._granters = granters
        self._address = address
        self._agreed = agreed
        self._links = links
        self._submit = submit
        self._clock = clock
        self._on_acquired = ended
        self._settled = False
        self._owner_requests = OwnerRequests(links, clock)
        self._numbers = grant_numbers()
        self._grants: dict[int, _Grant] = {}
        self._lock = threading.Lock()

    def grants(self, server: Server) -> bool:
        """Return whether this entry grants the permits of a server."""
        return self._is_settled() and self._granters.for_server(server)[:1] == [
            self._own
        ]

    def acquire(self, server: Server, wait_seconds: float) -> Permit | PermitRefused:
        """Return a permit, or a refusal with the time until one is available.

        :param wait_seconds: the longest acceptable wait until the permit is valid.
        """
        result = self._acquire(server, wait_seconds)
        refused = isinstance(result, PermitRefused)
        self._on_acquired(server.service, not refused)
        if refused:
            self._limits.note_unavailable(server, result.left_seconds)
        return result

    def is_valid(self, server: Server, permit: Permit | None) -> bool:
        """Return whether a request may be sent to a server now.

        :param permit: the permit to call the server; None if there is none.
        """
        if self._limits.limit(server) is None:
            return True
        if permit is None or permit.server != server_key(server):
            return False
        return self._clock.now() < permit.expires

    def release(self, permit: Permit) -> None:
        """Return an unused permit to the entry that granted it."""
        if permit.granted_by == self._own:
            self._release(permit.number)
            return
        address = self._address(permit.granted_by)
        if address is not None:
            message = PermitReturn(permit.number)
            self._submit(
                lambda: self._links.ask(address, message, RETURN_TIMEOUT_SECONDS)
            )

    def answer(self, envelope: Envelope, message: PermitAsk) -> PermitReply:
        """Grant a permit to another entry, or refuse it."""
        record, age = unpack_limit(message.limit)
        log_limit_change(self._limits.take(record, age), envelope.sender, age)
        name, host, service = message.server, message.host, message.service
        centre = message.data_centre
        server = Server(name, service, host, centre, message.incarnation)
        if not self._is_settled() or self._own not in self._granters.for_server(server):
            return PermitReply(0, int(UNSETTLED_RETRY_SECONDS * 1000))
        number, delay = self._grant(server, message.wait_ms / 1000)
        # Rounded up, so that no permit is valid too early.
        return PermitReply(number, int(delay * 1000) + 1)

    def answer_return(self, envelope: Envelope, message: PermitReturn) -> ProbeReply:
        """Accept a permit that another entry returns unused."""
        self._release(message.number)
        return ProbeReply(0)

    def _is_settled(self) -> bool:
        self._settled = self._settled or self._agreed()
        return self._settled

    def _acquire(self, server: Server, wait_seconds: float) -> Permit | PermitRefused:
        record = self._limits.record(server)
        if record is None or not self._is_settled():
            return PermitRefused(UNSETTLED_RETRY_SECONDS)
        for entry in self._granters.for_server(server):
            requested_at = self._clock.now()
            if entry == self._own:
                number, delay = self._grant(server, wait_seconds)
            elif self._owner_requests.is_skipped(entry):
                continue
            else:
                reply = self._request_permit(entry, server, record, wait_seconds)
                if reply is None:
                    continue
                number, delay = reply.number, reply.wait_ms / 1000
            if not number:
                return PermitRefused(delay)
            begins = self._clock.now() + delay
            expires = requested_at + delay + PERMIT_SECONDS
            return Permit(record.server, begins, expires, entry, number)
        return PermitRefused(UNSETTLED_RETRY_SECONDS)

    def _request_permit(
        self, entry: str, server: Server, record: LimitRecord, wait_seconds: float
    ) -> PermitReply | None:
        address = self._address(entry)
        if address is None:
            return None
        message = PermitAsk(
            server.name,
            server.host,
            server.incarnation,
            server.service,
            pack_limit(record, self._limits.age(record)),
            int(wait_seconds * 1000),
            server.data_centre,
        )
        return self._owner_requests.request(entry, address, message, PermitReply)

    def _grant(self, server: Server, wait_seconds: float) -> tuple[int, float]:
        """Return a permit's number, 0 if refused, and the seconds until it is valid."""
        key = server_key(server)
        standing = self._granters.standing(server, self._own)
        moment, delay = self._limits.reserve(key, wait_seconds, standing)
        if moment is None:
            return 0, delay
        with self._lock:
            self._drop_old_grants()
            number = next(self._numbers)
            self._grants[number] = _Grant(key, moment)
        return number, delay

    def _release(self, number: int) -> None:
        with self._lock:
            granted = self._grants.pop(number, None)
        if granted is not None:
            self._limits.release(granted.server, granted.moment)

    def _drop_old_grants(self) -> None:
        oldest = self._clock.now() - GRANT_KEEP_SECONDS
        for number in list(
            itertools.takewhile(lambda n: self._grants[n].moment < oldest, self._grants)
        ):
            del self._grants[number]
