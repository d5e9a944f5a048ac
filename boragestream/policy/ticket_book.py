"""The issuing entry's records of its tickets, which prevent a second run.

Every issued ticket has a record until its expiry and a retention period have passed.
The right to run is granted from the record, and only once. A ticket ends in one
outcome, which never changes: every later post or query of the ticket gets that outcome.
``serving.tickets`` runs the call and ``entry.forwarding`` reaches the issuer.
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
    "MAX_ANSWER_BYTES",
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
RETENTION_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class AnswerNotKept(Failure):
    """The call ran once and was answered, but its answer was not kept.

    :ivar size: the size of the answer in bytes.
    """

    size: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The right to run the call of one ticket; granted at most once.

    :ivar run_by: the time of the clock, in seconds, after which no call may be sent.
    """

    sequence: int
    run_by: float


@dataclass(frozen=True, slots=True)
class InProgress:
    """The call of the ticket is running.

    :ivar request_id: the request that runs the call.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The ticket's final outcome.

    :ivar request_id: the request that ended with the outcome.
    :ivar outcome: if it is an answer, its body is JSON text.
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

    :param key: the authentication key, random in each incarnation; it never leaves the
        process.
    :param max_tickets: the maximum number of tickets with a record.
    :param max_bytes: the maximum total size of the kept answers in bytes.
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
        self._expiry_heap: list[tuple[float, int]] = []
        self._kept_bytes = 0
        self._lock = threading.Lock()

    @property
    def remembered(self) -> int:
        """The number of tickets that have a record."""
        return len(self._records)

    @property
    def kept_bytes(self) -> int:
        """The total size of the kept answers in bytes."""
        return self._kept_bytes

    def answer_bytes(self, ticket: Ticket) -> int:
        """Return the size of a ticket's kept answer; 0 if there is none."""
        record = self._records.get(ticket.sequence)
        return record.kept_bytes if record is not None else 0

    def is_issuer(self, ticket: Ticket) -> bool:
        """Return whether the ticket names this entry and incarnation as its issuer."""
        named = (ticket.issuer, ticket.incarnation)
        return named == (self._issuer, self._incarnation)

    def issue(self, account: str, seconds: float) -> str | TicketsExhausted:
        """Issue a ticket and return its text.

        :param account: the client account that may use it.
        :param seconds: the time until its expiry.
        """
        with self._lock:
            now = self._clock.now()
            self._drop_expired(now)
            if len(self._records) >= self._max_tickets:
                return TicketsExhausted("tickets")
            if self._by_account[account] >= self._max_account:
                return TicketsExhausted("tickets of the client account")
            if self._kept_bytes >= self._max_bytes:
                return TicketsExhausted("kept answers")
            self._sequence += 1
            expiry = now + seconds
            record = _Record(account, expiry, expiry + RETENTION_SECONDS)
            self._records[self._sequence] = record
            self._by_account[account] += 1
            heapq.heappush(self._expiry_heap, (record.forget_at, self._sequence))
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
        """Grant the right to run, or return the ticket's state.

        :param account: the client account that posts the ticket.
        :param request_id: the request that would run.
        :param content: a digest of the requested call; a post of the ticket with
            another call does not get the first call's answer.
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

    def void_unused(
        self, ticket: Ticket, account: str, request_id: str, reason: Failure
    ) -> TicketState | Failure:
        """Return a ticket's state; a ticket that is still unused becomes unusable.

        :param reason: the failure in the "refused" outcome of an unused ticket.
        """
        with self._lock:
            record = self._find(ticket, account, self._clock.now())
            if isinstance(record, Failure):
                return record
            if record.state is not None:
                return record.state
            return self._end(record, Ended(request_id, Refused(reason)))

    def finish(
        self, grant: Grant, request_id: str, outcome: Outcome, state_path: str
    ) -> Ended:
        """Set the outcome of a granted ticket; an outcome set earlier stays.

        :param outcome: an answer's body is JSON text as ``msgspec.Raw``.
        :param state_path: the path under which the ticket's state can be queried.
        """
        with self._lock:
            record = self._records.get(grant.sequence)
            if record is None:
                return Ended(request_id, outcome)
            if isinstance(record.state, Ended):
                return record.state
            # A caller that lost the answer has the whole retention period to query it.
            keep_until = self._clock.now() + RETENTION_SECONDS
            record.forget_at = max(record.forget_at, keep_until)
            heapq.heappush(self._expiry_heap, (record.forget_at, grant.sequence))
            outcome = self._retain_answer(record, outcome, state_path)
            return self._end(record, Ended(request_id, outcome))

    def wait(self, ticket: Ticket, seconds: float) -> TicketState | None:
        """Wait until a claimed ticket has ended.

        :returns: its state after the wait; None if there is no record of it.
        """
        with self._lock:
            record = self._records.get(ticket.sequence)
            if record is None or isinstance(record.state, Ended):
                return record and record.state
            # The event is created on demand: few tickets are waited for, and an event
            # takes more memory than the record.
            record.ended = record.ended or threading.Event()
        record.ended.wait(max(0.0, seconds))
        return record.state

    def _find(self, ticket: Ticket, account: str, now: float) -> _Record | Failure:
        if not is_genuine(self._key, ticket):
            return TicketForged()
        if ticket.account != account:
            return TicketForeign()
        self._drop_expired(now)
        return self._records.get(ticket.sequence) or TicketForgotten()

    def _end(self, record: _Record, ended: Ended) -> Ended:
        record.state = ended
        if record.ended is not None:
            record.ended.set()
        return ended

    def _retain_answer(
        self, record: _Record, outcome: Outcome, state_path: str
    ) -> Outcome:
        """Count the bytes of an answer, or replace one that is too large to keep."""
        if not isinstance(outcome, Answered):
            return outcome
        size = len(bytes(outcome.body))
        if size > MAX_ANSWER_BYTES or self._kept_bytes + size > self._max_bytes:
            return Unknown(AnswerNotKept(size), state_path)
        record.kept_bytes = size
        self._kept_bytes += size
        return outcome

    def _drop_expired(self, now: float) -> None:
        """Drop the records whose retention has ended, except those of running calls."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, sequence = heapq.heappop(self._expiry_heap)
            record = self._records.get(sequence)
            if record is None or isinstance(record.state, InProgress):
                continue
            if record.forget_at > now:
                continue
            del self._records[sequence]
            self._by_account[record.account] -= 1
            self._kept_bytes -= record.kept_bytes
