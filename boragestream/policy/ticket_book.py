"""What the issuing entry remembers of its tickets, so that none runs twice.

Every issued ticket has a record until its expiry and a margin have passed; only the
record gives the right to run, once. A ticket ends in one outcome, which never
changes: whoever posts it again or asks for it is told the same. Running the call and
reaching the issuer are left to ``serving.tickets`` and ``entry.forwarding``.
"""

import heapq
import threading
from collections import Counter
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Answered, Failure, Outcome, Refused, Unknown
from boragestream.policy.tickets import (
    Ticket,
    TicketExpired,
    TicketForeign,
    TicketForged,
    TicketForgotten,
    TicketReused,
    TicketsExhausted,
    is_genuine,
    write_ticket,
)

__all__ = [
    "AnswerNotKept",
    "Ended",
    "Grant",
    "InProgress",
    "TicketBook",
    "TicketState",
]

MAX_TICKETS = 16_384
MAX_ACCOUNT_TICKETS = MAX_TICKETS // 4
MAX_ANSWER_BYTES = 1_048_576
MAX_KEPT_BYTES = 16 * 1_048_576
KEEP_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class AnswerNotKept(Failure):
    """The call ran once and was answered, but its answer was not kept.

    :ivar size: the bytes of the answer.
    """

    size: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to run the call of one ticket; given at most once.

    :ivar run_by: the clock's seconds after which no call may be sent under it.
    """

    sequence: int
    run_by: float


@dataclass(frozen=True, slots=True)
class InProgress:
    """The call of the ticket is running.

    :ivar request_id: the request that runs it.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The ticket's final outcome.

    :ivar request_id: the request that had the outcome; an answer's body is JSON text.
    """

    request_id: str
    outcome: Outcome


TicketState = InProgress | Ended


@dataclass(slots=True)
class _Record:
    account: str
    expiry: float
    forget_at: float
    state: TicketState | None = None
    content: bytes = b""
    kept_bytes: int = 0
    ended: threading.Event | None = None


class TicketBook:
    """The tickets of one incarnation of one entry.

    :param key: random in each incarnation; never leaves the process.
    :param max_tickets: the most tickets remembered at once.
    :param max_bytes: the most bytes of answers kept at once.
    """

    def __init__(
        self,
        issuer: str,
        incarnation: str,
        key: bytes,
        clock: Clock,
        max_tickets: int = MAX_TICKETS,
        max_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self._issuer = issuer
        self._incarnation = incarnation
        self._key = key
        self._clock = clock
        self._max_tickets = max_tickets
        self._max_account = max(1, min(MAX_ACCOUNT_TICKETS, max_tickets // 4))
        self._max_bytes = max_bytes
        self._sequence = 0
        self._records: dict[int, _Record] = {}
        self._by_account: Counter[str] = Counter()
        self._forget_at: list[tuple[float, int]] = []
        self._kept_bytes = 0
        self._lock = threading.Lock()

    @property
    def remembered(self) -> int:
        """How many tickets have a record."""
        return len(self._records)

    @property
    def kept_bytes(self) -> int:
        """How many bytes of answers are kept."""
        return self._kept_bytes

    def is_issuer(self, ticket: Ticket) -> bool:
        """Tell whether this very incarnation is named as the ticket's issuer."""
        named = (ticket.issuer, ticket.incarnation)
        return named == (self._issuer, self._incarnation)

    def issue(self, account: str, seconds: float) -> str | TicketsExhausted:
        """Issue a ticket and return its text.

        :param account: the client account that may use it.
        :param seconds: until its expiry.
        """
        with self._lock:
            now = self._clock.now()
            self._forget(now)
            if len(self._records) >= self._max_tickets:
                return TicketsExhausted("tickets")
            if self._by_account[account] >= self._max_account:
                return TicketsExhausted("tickets of the client account")
            if self._kept_bytes >= self._max_bytes:
                return TicketsExhausted("kept answers")
            self._sequence += 1
            expiry = now + seconds
            record = _Record(account, expiry, expiry + KEEP_SECONDS)
            self._records[self._sequence] = record
            self._by_account[account] += 1
            heapq.heappush(self._forget_at, (record.forget_at, self._sequence))
            ticket = Ticket(
                account,
                self._issuer,
                self._incarnation,
                self._sequence,
                int(expiry * 1000),
            )
        return write_ticket(self._key, ticket)

    def claim(
        self, ticket: Ticket, account: str, request_id: str, content: bytes
    ) -> Grant | TicketState | Failure:
        """Take the right to run, or learn what became of the ticket.

        :param account: the client account that asks.
        :param request_id: the request that would run.
        :param content: a digest of what it asks for; an answer is not given to a
            post of the ticket that asks for something else.
        """
        with self._lock:
            now = self._clock.now()
            record = self._find(ticket, account, now)
            if isinstance(record, Failure):
                return record
            if record.content not in (b"", content):
                return TicketReused()
            if record.state is not None:
                return record.state
            if now >= record.expiry:
                return self._end(record, Ended(request_id, Refused(TicketExpired())))
            record.content = content
            record.state = InProgress(request_id)
            return Grant(ticket.sequence, record.expiry)

    def burn(
        self, ticket: Ticket, account: str, request_id: str, reason: Failure
    ) -> TicketState | Failure:
        """Learn what became of a ticket; one not used yet never can be afterwards.

        :param reason: why an unused ticket's outcome is "refused".
        """
        with self._lock:
            record = self._find(ticket, account, self._clock.now())
            if isinstance(record, Failure):
                return record
            if record.state is not None:
                return record.state
            return self._end(record, Ended(request_id, Refused(reason)))

    def finish(
        self, grant: Grant, request_id: str, outcome: Outcome, ask: str
    ) -> Ended:
        """Set the outcome of a granted ticket; the first one stays.

        :param outcome: an answer's body is JSON text as ``msgspec.Raw``.
        :param ask: the path under which the ticket can be asked for.
        """
        with self._lock:
            record = self._records.get(grant.sequence)
            if record is None:
                return Ended(request_id, outcome)
            if isinstance(record.state, Ended):
                return record.state
            # Whoever lost the answer has the whole margin to ask for it.
            keep_until = self._clock.now() + KEEP_SECONDS
            record.forget_at = max(record.forget_at, keep_until)
            heapq.heappush(self._forget_at, (record.forget_at, grant.sequence))
            outcome = self._keep(record, outcome, ask)
            return self._end(record, Ended(request_id, outcome))

    def wait(self, ticket: Ticket, seconds: float) -> TicketState | None:
        """Wait until a claimed ticket has ended.

        :returns: its state after the wait, None where it is not remembered.
        """
        with self._lock:
            record = self._records.get(ticket.sequence)
            if record is None or isinstance(record.state, Ended):
                return record and record.state
            # Few tickets are waited for, and an event takes more than the record.
            record.ended = record.ended or threading.Event()
        record.ended.wait(max(0.0, seconds))
        return record.state

    def _find(self, ticket: Ticket, account: str, now: float) -> _Record | Failure:
        if not is_genuine(self._key, ticket):
            return TicketForged()
        if ticket.account != account:
            return TicketForeign()
        self._forget(now)
        return self._records.get(ticket.sequence) or TicketForgotten()

    def _end(self, record: _Record, ended: Ended) -> Ended:
        record.state = ended
        if record.ended is not None:
            record.ended.set()
        return ended

    def _keep(self, record: _Record, outcome: Outcome, ask: str) -> Outcome:
        """Count the bytes of an answer, or replace one that is too large to keep."""
        if not isinstance(outcome, Answered):
            return outcome
        size = len(bytes(outcome.body))
        if size > MAX_ANSWER_BYTES or self._kept_bytes + size > self._max_bytes:
            return Unknown(AnswerNotKept(size), ask)
        record.kept_bytes = size
        self._kept_bytes += size
        return outcome

    def _forget(self, now: float) -> None:
        """Forget the tickets whose time has come, but none that is running."""
        while self._forget_at and self._forget_at[0][0] <= now:
            _, sequence = heapq.heappop(self._forget_at)
            record = self._records.get(sequence)
            if record is None or isinstance(record.state, InProgress):
                continue
            if record.forget_at > now:
                continue
            del self._records[sequence]
            self._by_account[record.account] -= 1
            self._kept_bytes -= record.kept_bytes
