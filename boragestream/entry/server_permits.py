"""Permits to call servers with a limit, from the entry that grants them.

The live entries rank each other alike for a server, and the first grants its permits;
while it is silent the second does. A permit begins at a moment and is valid for a short
while. Its time is counted from the question, so that one that travelled for long, or
that a suspended process holds, is not used.

An entry that has never agreed with others on who is there neither asks nor grants:
entries that start together would each take themselves for the first. Later ones that
know a few entries more or less than others rank them alike, but for the first ones.

Left out: how many permits there are (``policy.server_limits``).
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.entry.limits import note_limit_change, pack_limit, unpack_limit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope, ProbeReply
from boragestream.entry.owner_questions import OwnerQuestions
from boragestream.entry.permit_messages import PermitAsk, PermitReply, PermitReturn
from boragestream.policy.granters import Granters
from boragestream.policy.limit_records import LimitRecord, server_key
from boragestream.policy.server_limits import PERMIT_SECONDS, ServerLimits
from boragestream.policy.servers import Server

__all__ = ["Permit", "PermitRefused", "ServerPermits"]

# A permit that is not given back in time is lost, and nothing more.
RETURN_SECONDS = 0.3
# Entries agree on who is there, or find out who is silent, in about this time.
UNSETTLED_SECONDS = 0.5
# No caller waits longer for a permit.
KEPT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to a server.

    :ivar server: the server's short form.
    :ivar begins: the clock's seconds before which it is not valid yet.
    :ivar expires: the clock's seconds at which it is valid no more.
    :ivar granted_by: the entry that granted it.
    :ivar number: names it there.
    """

    server: bytes
    begins: float
    expires: float
    granted_by: str
    number: int


@dataclass(frozen=True, slots=True)
class PermitRefused(Failure):
    """There is no permit in time.

    :ivar left_seconds: until there is one.
    """

    left_seconds: float


@dataclass(frozen=True, slots=True)
class _Granted:
    server: bytes
    moment: float


class ServerPermits:
    """The permits that this entry asks for, and those that it grants.

    :param own: this entry's name.
    :param granters: the entries that grant the permits of each server.
    :param address: returns an entry's address for other entries by its name.
    :param agreed: tells whether other entries know the same live ones.
    :param submit: has a message sent without waiting for it.
    :param ended: takes the service of each permit that was asked for, and whether it
        was granted.
    """

    def __init__(
        self,
        own: str,
        limits: ServerLimits,
        granters: Granters,
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
        self._ended = ended
        self._settled = False
        self._questions = OwnerQuestions(links, clock)
        self._numbers = itertools.count(1)
        self._granted: dict[int, _Granted] = {}
        self._lock = threading.Lock()

    def grants(self, server: Server) -> bool:
        """Tell whether this entry grants the permits of a server."""
        return self._is_settled() and self._granters.of(server)[:1] == [self._own]

    def acquire(self, server: Server, wait_seconds: float) -> Permit | PermitRefused:
        """Return a permit, or how long none is to be had.

        :param wait_seconds: the longest wait for its beginning.
        """
        result = self._acquire(server, wait_seconds)
        refused = isinstance(result, PermitRefused)
        self._ended(server.service, not refused)
        if refused:
            self._limits.note_busy(server, result.left_seconds)
        return result

    def is_valid(self, server: Server, permit: Permit | None) -> bool:
        """Tell whether a request may be sent to a server now."""
        if self._limits.limit(server) is None:
            return True
        if permit is None or permit.server != server_key(server):
            return False
        return self._clock.now() < permit.expires

    def give_back(self, permit: Permit) -> None:
        """Return a permit under which nothing was sent."""
        if permit.granted_by == self._own:
            self._take_back(permit.number)
            return
        address = self._address(permit.granted_by)
        if address is not None:
            message = PermitReturn(permit.number)
            self._submit(lambda: self._links.ask(address, message, RETURN_SECONDS))

    def answer(self, envelope: Envelope, message: PermitAsk) -> PermitReply:
        """Grant another entry a permit, or refuse it."""
        record, age = unpack_limit(message.limit)
        note_limit_change(self._limits.take(record, age), envelope.sender, age)
        name, host, service = message.server, message.host, message.service
        server = Server(name, service, host, "", message.incarnation)
        if not self._is_settled() or self._own not in self._granters.of(server):
            return PermitReply(0, int(UNSETTLED_SECONDS * 1000))
        number, left = self._grant(server, message.wait_ms / 1000)
        # Rounded up, so that no permit begins too early.
        return PermitReply(number, int(left * 1000) + 1)

    def answer_return(self, envelope: Envelope, message: PermitReturn) -> ProbeReply:
        """Take a permit back."""
        self._take_back(message.number)
        return ProbeReply(0)

    def _is_settled(self) -> bool:
        self._settled = self._settled or self._agreed()
        return self._settled

    def _acquire(self, server: Server, wait_seconds: float) -> Permit | PermitRefused:
        record = self._limits.known(server)
        if record is None or not self._is_settled():
            return PermitRefused(UNSETTLED_SECONDS)
        for entry in self._granters.of(server):
            asked_at = self._clock.now()
            if entry == self._own:
                number, left = self._grant(server, wait_seconds)
            elif self._questions.is_passed_over(entry):
                continue
            else:
                reply = self._ask(entry, server, record, wait_seconds)
                if reply is None:
                    continue
                number, left = reply.number, reply.wait_ms / 1000
            if not number:
                return PermitRefused(left)
            begins = self._clock.now() + left
            expires = asked_at + left + PERMIT_SECONDS
            return Permit(record.server, begins, expires, entry, number)
        return PermitRefused(UNSETTLED_SECONDS)

    def _ask(
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
        )
        return self._questions.ask(entry, address, message, PermitReply)

    def _grant(self, server: Server, wait_seconds: float) -> tuple[int, float]:
        """Return the number of a permit, 0 for none, and the seconds to its begin."""
        key = server_key(server)
        standing = self._granters.standing(server, self._own)
        moment, left = self._limits.reserve(key, wait_seconds, standing)
        if moment is None:
            return 0, left
        with self._lock:
            self._drop_old()
            number = next(self._numbers)
            self._granted[number] = _Granted(key, moment)
        return number, left

    def _take_back(self, number: int) -> None:
        with self._lock:
            granted = self._granted.pop(number, None)
        if granted is not None:
            self._limits.give_back(granted.server, granted.moment)

    def _drop_old(self) -> None:
        before = self._clock.now() - KEPT_SECONDS
        for number in list(
            itertools.takewhile(
                lambda n: self._granted[n].moment < before, self._granted
            )
        ):
            del self._granted[number]
