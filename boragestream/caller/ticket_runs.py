"""Runs calls under tickets that this entry issued, and reports their state.

A run continues if its caller disconnects, so that a later query returns the answer.
Callers reach it through ``caller.tickets``, other entries through the ``answer_``
methods.
"""

import contextlib
import hashlib
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.failures import MemoryExhausted, NoConfiguration
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.base.nesting import decoded_bytes
from boragestream.base.outcomes import Answered, Failure, Outcome, Refused, Unknown
from boragestream.caller.reading import (
    CallerRequest,
    find_pipeline,
    named_account,
)
from boragestream.caller.refusals import Refusals
from boragestream.caller.replies import outcome_reply
from boragestream.entry.forwarding import IssuerGone
from boragestream.entry.messages import (
    CallState,
    Envelope,
    Rejected,
    RequestAsk,
    TicketAsk,
    TicketPost,
)
from boragestream.policy.configuration import ConfigurationInForce, DocumentInForce
from boragestream.policy.request_memory import RequestMemory
from boragestream.policy.ticket_book import Ended, Grant, InProgress, TicketBook
from boragestream.policy.tickets import (
    Ticket,
    TicketForgotten,
    TicketNotUsed,
    read_ticket,
)

__all__ = [
    "TICKET_STATE_PATH",
    "Ending",
    "RequestBroken",
    "RunRequest",
    "StillRunning",
    "TicketRuns",
    "render",
]

TICKET_STATE_PATH = "/v1/tickets/"
FORWARDED_RUNS = 64
WAITING_POSTS = 64
CONTENT_BYTES = 16


@dataclass(frozen=True, slots=True)
class StillRunning(Failure):
    """Another post of the same ticket is running the call.

    :ivar request_id: the request that runs the call.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestBroken(Failure):
    """The entry itself failed while it ran the request."""


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended.

    :ivar reported: the outcome that the caller receives.
    :ivar recorded: the outcome returned to later queries; it differs if a complete
        answer came after the deadline.
    """

    reported: Outcome
    recorded: Outcome


# Takes the request's id, the parsed request, the document in force, the arrival and the
# latest time to send in the clock's seconds, and the path that returns the state.
RunRequest = Callable[[str, CallerRequest, DocumentInForce, float, float, str], Ending]


def render(outcome: Outcome, request_id: str) -> CallState:
    """Return an outcome as the HTTP reply that every query receives."""
    head: list = []
    content = outcome_reply(lambda *given: head.extend(given), outcome, request_id)
    name = type(outcome).__name__.lower()
    status, headers = head
    return CallState(name, request_id, status, tuple(headers), b"".join(content))


@dataclass(frozen=True, slots=True)
class TicketRuns:
    """The issuer's side of tickets.

    :ivar pool: runs calls that other entries forward.
    """

    book: TicketBook
    memory: RequestMemory
    configuration: ConfigurationInForce
    refusals: Refusals
    clock: Clock
    budget: MemoryBudget
    pool: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(FORWARDED_RUNS, "ticket")
    )
    forwarded: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(FORWARDED_RUNS)
    )
    waiting: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(WAITING_POSTS)
    )

    def post(
        self,
        ticket: Ticket,
        text: str,
        request_id: str,
        parsed: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        run: RunRequest,
    ) -> CallState:
        """Run a call under a ticket, or wait for the post that runs it.

        :param run: admits a request and runs it to its end.
        """
        content = _content_digest(parsed)
        claimed = self.book.claim(ticket, parsed.account.name, request_id, content)
        if isinstance(claimed, Grant):
            return self._run(claimed, text, request_id, parsed, in_force, arrived, run)
        if isinstance(claimed, InProgress):
            left = arrived + parsed.deadline_ms / 1000 - self.clock.now()
            claimed = self._wait(ticket, left) or claimed
        if isinstance(claimed, InProgress):
            still = StillRunning(claimed.request_id)
            return render(Unknown(still, TICKET_STATE_PATH + text), request_id)
        return self._state(claimed, text, request_id)

    def ask(
        self, ticket: Ticket, text: str, account: str, request_id: str
    ) -> CallState:
        """Return a ticket's state; an unused ticket becomes unusable."""
        state = self.book.void_unused(ticket, account, request_id, TicketNotUsed())
        return self._state(state, text, request_id)

    def remember(self, account: str, request_id: str, ending: Ending) -> None:
        """Store the end of a request without a ticket if "unknown" is reported."""
        if isinstance(ending.reported, Unknown):
            ended = Ended(request_id, _encoded(ending.recorded))
            self.memory.remember(account, ended)

    def ask_request(self, account: str, request_id: str) -> CallState:
        """Return the state of a request without a ticket."""
        found = self.memory.find(request_id, account)
        if isinstance(found, Failure):
            return render(Unknown(found, f"/v1/requests/{request_id}"), request_id)
        return render(found.outcome, request_id)

    def answer_post(
        self, envelope: Envelope, message: TicketPost, run: RunRequest
    ) -> CallState | Rejected:
        """Start a call that another entry forwards; return its state at once."""
        arrived = self.clock.now()
        ticket = read_ticket(message.ticket)
        if isinstance(ticket, Failure) or not self.book.is_issuer(ticket):
            return Rejected(IssuerGone("").code)
        in_force = self.configuration.current
        text, request_id = message.ticket, message.request_id
        held = MemoryCharge(self.budget, MemoryKind.ANSWER)
        with contextlib.ExitStack() as not_started:
            not_started.callback(held.release)
            parsed = _parse_post(message, in_force, held)
            if isinstance(parsed, Failure):
                account = message.account
                state = self.book.void_unused(ticket, account, request_id, parsed)
                return self._state(state, text, request_id)
            content = _content_digest(parsed)
            claimed = self.book.claim(ticket, message.account, request_id, content)
            if not isinstance(claimed, Grant):
                return self._state(claimed, text, request_id)
            if not self.forwarded.acquire(blocking=False):
                full = self.refusals.full(FORWARDED_RUNS, parsed.pipeline)
                ended = self._finish(claimed, text, request_id, full)
                return render(ended.outcome, ended.request_id)
            arguments = (claimed, text, request_id, parsed, in_force, arrived, run)
            self.pool.submit(self._run_forwarded, *arguments)
            not_started.pop_all()
        return CallState("", request_id)

    def answer_ask(
        self, envelope: Envelope, message: TicketAsk
    ) -> CallState | Rejected:
        """Return a ticket's state to another entry."""
        ticket = read_ticket(message.ticket)
        if isinstance(ticket, Failure) or not self.book.is_issuer(ticket):
            return Rejected(IssuerGone("").code)
        return self.ask(ticket, message.ticket, message.account, message.request_id)

    def answer_request_ask(self, envelope: Envelope, message: RequestAsk) -> CallState:
        """Return a request's state to another entry."""
        return self.ask_request(message.account, message.request_id)

    def _run_forwarded(
        self,
        grant: Grant,
        text: str,
        request_id: str,
        parsed: CallerRequest,
        *arguments: object,
    ) -> None:
        try:
            self._run(grant, text, request_id, parsed, *arguments)
        finally:
            parsed.held.release()
            self.forwarded.release()

    def _run(
        self,
        grant: Grant,
        text: str,
        request_id: str,
        parsed: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        run: RunRequest,
    ) -> CallState:
        ask = TICKET_STATE_PATH + text
        try:
            ending = run(request_id, parsed, in_force, arrived, grant.run_by, ask)
        except Exception as error:
            emit(Event.REQUEST_BROKEN, request=request_id, error=repr(error))
            broken = Unknown(RequestBroken(), ask)
            ending = Ending(broken, broken)
        recorded = _encoded(ending.recorded)
        if isinstance(recorded, Answered):
            # The answer is kept, and rendered once more for its caller.
            parsed.held.add(len(bytes(recorded.body)))
        self._finish(grant, text, request_id, recorded)
        return render(ending.reported, request_id)

    def _finish(
        self, grant: Grant, text: str, request_id: str, outcome: Outcome
    ) -> Ended:
        return self.book.finish(grant, request_id, outcome, TICKET_STATE_PATH + text)

    def _wait(self, ticket: Ticket, seconds: float) -> InProgress | Ended | None:
        if not self.waiting.acquire(blocking=False):
            return None
        try:
            return self.book.wait(ticket, seconds)
        finally:
            self.waiting.release()

    def _state(
        self, state: InProgress | Ended | Failure, text: str, request_id: str
    ) -> CallState:
        if isinstance(state, InProgress):
            return CallState("", state.request_id)
        if isinstance(state, Ended):
            return render(state.outcome, state.request_id)
        if isinstance(state, TicketForgotten):
            return render(Unknown(state, TICKET_STATE_PATH + text), request_id)
        return render(Refused(state), request_id)


def _content_digest(parsed: CallerRequest) -> bytes:
    """Return a digest of the pipeline's name and the body."""
    body = msgspec.json.encode(parsed.body)
    named = parsed.pipeline.name.encode() + b"\n" + body
    return hashlib.blake2b(named, digest_size=CONTENT_BYTES).digest()


def _encoded(outcome: Outcome) -> Outcome:
    """Return an outcome whose answer is JSON text, so that its size is recorded."""
    if not isinstance(outcome, Answered):
        return outcome
    return Answered(msgspec.Raw(msgspec.json.encode(outcome.body)))


def _parse_post(
    message: TicketPost, in_force: DocumentInForce | None, held: MemoryCharge
) -> CallerRequest | Failure:
    if in_force is None:
        return NoConfiguration()
    account = named_account(message.account, in_force)
    if isinstance(account, Failure):
        return account
    pipeline = find_pipeline(account, message.pipeline, in_force)
    if isinstance(pipeline, Failure):
        return pipeline
    size = decoded_bytes(message.body)
    if not held.reserve(size):
        return MemoryExhausted(size, held.budget.limit)
    body = msgspec.json.decode(message.body)
    return CallerRequest(
        account, pipeline, body, message.left_ms, stream=False, held=held
    )
