"""Runs calls under tickets that this entry issued, and says what became of them.

A run goes on when its caller goes away, so that whoever asks later learns the answer.
Callers reach it through ``caller.tickets``, other entries through the two handlers.
"""

import hashlib
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.failures import NoConfiguration
from boragestream.base.outcomes import Answered, Failure, Outcome, Refused, Unknown
from boragestream.caller.failures import WrongKey
from boragestream.caller.reading import CallerRequest, find_pipeline
from boragestream.caller.refusals import Refusals
from boragestream.caller.replies import outcome_reply
from boragestream.document import ClientAccount
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
    "ASK_PATH",
    "Ending",
    "RequestBroken",
    "RunWhole",
    "StillRunning",
    "TicketRuns",
    "render",
]

ASK_PATH = "/v1/tickets/"
FORWARDED_RUNS = 64
WAITING_POSTS = 64
CONTENT_BYTES = 16


@dataclass(frozen=True, slots=True)
class StillRunning(Failure):
    """Another post of the same ticket is running the call.

    :ivar request_id: the request that runs it.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestBroken(Failure):
    """The entry itself failed while it ran the request."""


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended.

    :ivar reported: the outcome that its caller receives.
    :ivar known: the outcome for whoever asks later; it differs where a whole answer
        came after the deadline.
    """

    reported: Outcome
    known: Outcome


# Takes a request's id, what is asked, the document, the arrival and the last moment to
# send on the clock, and where to ask.
RunWhole = Callable[[str, CallerRequest, DocumentInForce, float, float, str], Ending]


def render(outcome: Outcome, request_id: str) -> CallState:
    """Return an outcome as the HTTP reply that every asker gets."""
    head: list = []
    content = outcome_reply(lambda *given: head.extend(given), outcome, request_id)
    name = type(outcome).__name__.lower()
    status, headers = head
    return CallState(name, request_id, status, tuple(headers), b"".join(content))


@dataclass(frozen=True, slots=True)
class TicketRuns:
    """The issuer's side of tickets.

    :ivar pool: runs what other entries forward.
    """

    book: TicketBook
    memory: RequestMemory
    configuration: ConfigurationInForce
    refusals: Refusals
    clock: Clock
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
        asked: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        run: RunWhole,
    ) -> CallState:
        """Run a call under a ticket, or wait for the post that runs it.

        :param run: admits a request and runs it whole.
        """
        content = _content(asked)
        claimed = self.book.claim(ticket, asked.account.name, request_id, content)
        if isinstance(claimed, Grant):
            return self._run(claimed, text, request_id, asked, in_force, arrived, run)
        if isinstance(claimed, InProgress):
            left = arrived + asked.deadline_ms / 1000 - self.clock.now()
            claimed = self._wait(ticket, left) or claimed
        if isinstance(claimed, InProgress):
            still = StillRunning(claimed.request_id)
            return render(Unknown(still, ASK_PATH + text), request_id)
        return self._state(claimed, text, request_id)

    def ask(
        self, ticket: Ticket, text: str, account: str, request_id: str
    ) -> CallState:
        """Say what became of a ticket; an unused one can't be used afterwards."""
        state = self.book.burn(ticket, account, request_id, TicketNotUsed())
        return self._state(state, text, request_id)

    def remember(self, account: str, request_id: str, ending: Ending) -> None:
        """Remember a request without a ticket whose caller is told "unknown"."""
        if isinstance(ending.reported, Unknown):
            ended = Ended(request_id, _encoded(ending.known))
            self.memory.remember(account, ended)

    def ask_request(self, account: str, request_id: str) -> CallState:
        """Say what became of a request without a ticket."""
        found = self.memory.find(request_id, account)
        if isinstance(found, Failure):
            return render(Unknown(found, f"/v1/requests/{request_id}"), request_id)
        return render(found.outcome, request_id)

    def answer_post(
        self, envelope: Envelope, message: TicketPost, run: RunWhole
    ) -> CallState | Rejected:
        """Begin what another entry forwards, and say at once how it stands."""
        arrived = self.clock.now()
        ticket = read_ticket(message.ticket)
        if isinstance(ticket, Failure) or not self.book.is_issuer(ticket):
            return Rejected(IssuerGone("").code)
        in_force = self.configuration.current
        asked = _asked(message, in_force)
        if isinstance(asked, Failure):
            reason = asked
            state = self.book.burn(ticket, message.account, message.request_id, reason)
            return self._state(state, message.ticket, message.request_id)
        content = _content(asked)
        claimed = self.book.claim(ticket, message.account, message.request_id, content)
        if not isinstance(claimed, Grant):
            return self._state(claimed, message.ticket, message.request_id)
        arguments = (claimed, message.ticket, message.request_id, asked, in_force)
        if not self.forwarded.acquire(blocking=False):
            full = self.refusals.full(FORWARDED_RUNS, asked.pipeline)
            ended = self._finish(claimed, message.ticket, message.request_id, full)
            return render(ended.outcome, ended.request_id)
        self.pool.submit(self._run_forwarded, *arguments, arrived, run)
        return CallState("", message.request_id)

    def answer_ask(
        self, envelope: Envelope, message: TicketAsk
    ) -> CallState | Rejected:
        """Say to another entry what became of a ticket."""
        ticket = read_ticket(message.ticket)
        if isinstance(ticket, Failure) or not self.book.is_issuer(ticket):
            return Rejected(IssuerGone("").code)
        return self.ask(ticket, message.ticket, message.account, message.request_id)

    def answer_request_ask(self, envelope: Envelope, message: RequestAsk) -> CallState:
        """Say to another entry what became of a request."""
        return self.ask_request(message.account, message.request_id)

    def _run_forwarded(self, *arguments: object) -> None:
        try:
            self._run(*arguments)
        finally:
            self.forwarded.release()

    def _run(
        self,
        grant: Grant,
        text: str,
        request_id: str,
        asked: CallerRequest,
        in_force: DocumentInForce,
        arrived: float,
        run: RunWhole,
    ) -> CallState:
        ask = ASK_PATH + text
        try:
            ending = run(request_id, asked, in_force, arrived, grant.run_by, ask)
        except Exception as error:
            emit(Event.REQUEST_BROKEN, request=request_id, error=repr(error))
            broken = Unknown(RequestBroken(), ask)
            ending = Ending(broken, broken)
        self._finish(grant, text, request_id, _encoded(ending.known))
        return render(ending.reported, request_id)

    def _finish(
        self, grant: Grant, text: str, request_id: str, outcome: Outcome
    ) -> Ended:
        return self.book.finish(grant, request_id, outcome, ASK_PATH + text)

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
            return render(Unknown(state, ASK_PATH + text), request_id)
        return render(Refused(state), request_id)


def _content(asked: CallerRequest) -> bytes:
    """Return a digest of what is asked for."""
    body = msgspec.json.encode(asked.body)
    named = asked.pipeline.name.encode() + b"\n" + body
    return hashlib.blake2b(named, digest_size=CONTENT_BYTES).digest()


def _encoded(outcome: Outcome) -> Outcome:
    """Return an outcome whose answer is JSON text, so that its size is known."""
    if not isinstance(outcome, Answered):
        return outcome
    return Answered(msgspec.Raw(msgspec.json.encode(outcome.body)))


def _asked(
    message: TicketPost, in_force: DocumentInForce | None
) -> CallerRequest | Failure:
    if in_force is None:
        return NoConfiguration()
    account = _account(message.account, in_force)
    if account is None:
        return WrongKey()
    pipeline = find_pipeline(account, message.pipeline, in_force)
    if isinstance(pipeline, Failure):
        return pipeline
    body = msgspec.json.decode(message.body)
    return CallerRequest(account, pipeline, body, message.left_ms, stream=False)


def _account(name: str, in_force: DocumentInForce) -> ClientAccount | None:
    named = (a for a in in_force.document.client_accounts if a.name == name)
    return next(named, None)
