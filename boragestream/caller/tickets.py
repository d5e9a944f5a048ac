"""The ticket endpoints for callers: issue a ticket, post under it, query its state.

Only the entry that issued a ticket runs a post under it; other entries forward the
post. An invalid post is refused only after the issuer has ended the ticket, because an
earlier post under it may have run.
"""

import secrets
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.failures import (
    EntryLeaving,
    MemoryExhausted,
    NoConfiguration,
)
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge
from boragestream.base.outcomes import Failure, Refused, Unknown
from boragestream.base.settings import Settings
from boragestream.caller.connections import ARRIVED
from boragestream.caller.failures import BodyTooLong, MalformedHeader, MethodNotAllowed
from boragestream.caller.reading import CallerRequest, find_account, read_request
from boragestream.caller.refusals import Refusals
from boragestream.caller.replies import StartResponse, json_reply
from boragestream.caller.ticket_runs import (
    TICKET_STATE_PATH,
    RunRequest,
    StillRunning,
    TicketRuns,
    render,
)
from boragestream.document import ClientAccount
from boragestream.entry.forwarding import Forwarder, IssuerGone
from boragestream.entry.messages import CallState, RequestAsk, TicketAsk, TicketPost
from boragestream.policy.configuration import ConfigurationInForce, DocumentInForce
from boragestream.policy.request_memory import RequestMemory
from boragestream.policy.ticket_book import MAX_ANSWER_BYTES, TicketBook
from boragestream.policy.tickets import (
    Ticket,
    TicketForeign,
    TicketMalformed,
    TicketsExhausted,
    read_ticket,
)

__all__ = ["REQUESTS_PATH", "TICKETS_PATH", "TicketCalls", "ticket_calls"]

TICKETS_PATH = "/v1/tickets"
REQUESTS_PATH = "/v1/requests/"
MAX_FORWARDED_BYTES = 1_572_864
FORWARDED_POSTS = 64
# A kept answer is rendered, put into a report, and encoded.
STATE_COPIES = 3
KEY_BYTES = 32

Environ = dict[str, Any]
Reply = list[bytes]


class IssuedTicket(msgspec.Struct):
    """The answer to ``POST /v1/tickets``."""

    ticket: str
    issuer: str
    expires_ms: int


class StateReport(msgspec.Struct):
    """The answer to a query for the state of a ticket or a request.

    :ivar state: an outcome's name, or ``in-progress``.
    :ivar reply: the reply to the request, if it has ended.
    """

    state: str
    request_id: str
    reply: msgspec.Raw | None = None


@dataclass(frozen=True, slots=True)
class TicketCalls:
    """The ticket endpoints.

    :ivar name: this entry's name.
    :ivar is_leaving: returns whether this entry is stopping.
    :ivar keep: called with the seconds for which a new ticket is valid, so that a
        planned stop waits for it; no other entry could run a call under it.
    :ivar forwarding: limits the posts that wait for another entry.
    """

    name: str
    runs: TicketRuns
    refusals: Refusals
    forwarder: Forwarder
    clock: Clock
    max_body_bytes: int
    is_leaving: Callable[[], bool]
    keep: Callable[[float], None]
    forwarding: threading.Semaphore = field(
        default_factory=lambda: threading.Semaphore(FORWARDED_POSTS)
    )

    def ask_path(self, request_id: str) -> str:
        """Return the path to query the state of a request without a ticket."""
        return f"{REQUESTS_PATH}{request_id}?entry={self.name}"

    def answer(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        in_force: DocumentInForce | None,
        held: MemoryCharge,
    ) -> Reply:
        """Answer a request for a new ticket or for the state of a ticket or request.

        :param held: is charged for the answer that is kept.
        """
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        expected_method = "POST" if path == TICKETS_PATH else "GET"
        if method != expected_method:
            return self.refusals.reply(start_response, request_id, MethodNotAllowed())
        if in_force is None:
            return self.refusals.reply(start_response, request_id, NoConfiguration())
        account = find_account(environ, in_force)
        if isinstance(account, Failure):
            return self.refusals.reply(start_response, request_id, account)
        if path == TICKETS_PATH:
            return self._issue(start_response, request_id, account, in_force)
        if path.startswith(REQUESTS_PATH):
            asked = path.removeprefix(REQUESTS_PATH)
            exhausted = _reserve_state(held, self._request_bytes(environ, asked))
            if exhausted is not None:
                return self.refusals.reply(start_response, request_id, exhausted)
            state = self._ask_request(environ, asked, account)
            return _state_reply(start_response, state)
        text = path.removeprefix(TICKET_STATE_PATH)
        ticket = _account_ticket(text, account)
        if isinstance(ticket, Failure):
            return self.refusals.reply(start_response, request_id, ticket)
        exhausted = _reserve_state(held, self._ticket_bytes(ticket))
        if exhausted is not None:
            return self.refusals.reply(start_response, request_id, exhausted)
        return _state_reply(
            start_response, self._ask(ticket, text, account, request_id)
        )

    def post(
        self,
        environ: Environ,
        start_response: StartResponse,
        request_id: str,
        pipeline: str,
        in_force: DocumentInForce,
        run: RunRequest,
        held: MemoryCharge,
    ) -> Reply:
        """Answer a post to a pipeline that carries a ticket.

        :param run: admits a request and runs it to its end.
        :param held: is charged for what the request makes the entry hold.
        """
        arrived = environ.get(ARRIVED, self.clock.now())
        account = find_account(environ, in_force)
        if isinstance(account, Failure):
            return self.refusals.reply(start_response, request_id, account)
        text = environ["HTTP_IDEMPOTENCY_KEY"]
        ticket = _account_ticket(text, account)
        if isinstance(ticket, TicketMalformed):
            ticket = MalformedHeader("Idempotency-Key")
        if isinstance(ticket, Failure):
            return self.refusals.reply(start_response, request_id, ticket)
        parsed = read_request(environ, pipeline, in_force, self.max_body_bytes, held)
        if isinstance(parsed, Failure):
            refused = Refused(parsed)
            state = self._refuse_unused(ticket, text, account, request_id, refused)
        elif self.runs.book.is_issuer(ticket):
            state = self.runs.post(
                ticket, text, request_id, parsed, in_force, arrived, run
            )
        else:
            state = self._forward(ticket, text, request_id, parsed, arrived)
        start_response(state.status, list(state.headers))
        return [state.content]

    def _issue(
        self,
        start_response: StartResponse,
        request_id: str,
        account: ClientAccount,
        in_force: DocumentInForce,
    ) -> Reply:
        if self.is_leaving():
            return self.refusals.reply(start_response, request_id, EntryLeaving())
        seconds = in_force.document.policies.ticket_seconds
        text = self.runs.book.issue(account.name, seconds)
        if isinstance(text, TicketsExhausted):
            return self.refusals.reply(start_response, request_id, text)
        self.keep(seconds)
        issued = IssuedTicket(text, self.name, int(seconds * 1000))
        return json_reply(start_response, issued, HTTPStatus.CREATED)

    def _forward(
        self,
        ticket: Ticket,
        text: str,
        request_id: str,
        parsed: CallerRequest,
        arrived: float,
    ) -> CallState:
        body = msgspec.json.encode(parsed.body)
        if len(body) > MAX_FORWARDED_BYTES:
            refused = Refused(BodyTooLong(MAX_FORWARDED_BYTES))
            return self._refuse_unused(
                ticket, text, parsed.account, request_id, refused
            )
        if not self.forwarding.acquire(blocking=False):
            refused = self.refusals.full(FORWARDED_POSTS, parsed.pipeline)
            return self._refuse_unused(
                ticket, text, parsed.account, request_id, refused
            )
        try:
            deadline = arrived + parsed.deadline_ms / 1000
            left_ms = int((deadline - self.clock.now()) * 1000)
            message = TicketPost(
                text,
                parsed.account.name,
                request_id,
                parsed.pipeline.name,
                body,
                left_ms,
            )
            state = self._post_to_issuer(ticket, message, deadline)
        finally:
            self.forwarding.release()
        return _post_reply(state, text, request_id)

    def _post_to_issuer(
        self, ticket: Ticket, message: TicketPost, deadline: float
    ) -> CallState | Failure:
        if ticket.issuer == self.name:
            return IssuerGone(self.name)
        return self.forwarder.post(ticket.issuer, message, deadline)

    def _ask(
        self, ticket: Ticket, text: str, account: ClientAccount, request_id: str
    ) -> CallState:
        if self.runs.book.is_issuer(ticket):
            return self.runs.ask(ticket, text, account.name, request_id)
        state: CallState | Failure = IssuerGone(self.name)
        if ticket.issuer != self.name:
            question = TicketAsk(text, account.name, request_id)
            state = self.forwarder.request(ticket.issuer, question)
        if isinstance(state, Failure):
            return render(Unknown(state, TICKET_STATE_PATH + text), request_id)
        return state

    def _ticket_bytes(self, ticket: Ticket) -> int:
        """Return at the most how large the kept answer of a ticket is."""
        if self.runs.book.is_issuer(ticket):
            return self.runs.book.answer_bytes(ticket)
        return MAX_ANSWER_BYTES

    def _request_bytes(self, environ: Environ, request_id: str) -> int:
        """Return at the most how large the kept answer of a request is."""
        if self._keeper(environ) == self.name:
            return self.runs.memory.answer_bytes(request_id)
        return MAX_ANSWER_BYTES

    def _keeper(self, environ: Environ) -> str:
        """Return the entry that keeps the outcome for which a caller asks."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        return query.get("entry", [self.name])[0]

    def _ask_request(
        self, environ: Environ, request_id: str, account: ClientAccount
    ) -> CallState:
        entry = self._keeper(environ)
        if entry == self.name:
            return self.runs.ask_request(account.name, request_id)
        question = RequestAsk(account.name, request_id)
        state = self.forwarder.request(entry, question)
        if isinstance(state, Failure):
            ask = f"{REQUESTS_PATH}{request_id}?entry={entry}"
            return render(Unknown(state, ask), request_id)
        return state

    def _refuse_unused(
        self,
        ticket: Ticket,
        text: str,
        account: ClientAccount,
        request_id: str,
        refused: Refused,
    ) -> CallState:
        """Refuse a post if its ticket is unused, else return the ticket's state."""
        state = self._ask(ticket, text, account, request_id)
        if state.outcome != "refused":
            return _post_reply(state, text, request_id)
        return render(refused, request_id)


def ticket_calls(
    settings: Settings,
    incarnation: str,
    clock: Clock,
    configuration: ConfigurationInForce,
    refusals: Refusals,
    forwarder: Forwarder,
    memory: MemoryBudget,
    is_leaving: Callable[[], bool],
    keep: Callable[[float], None],
) -> TicketCalls:
    """Return the ticket endpoints for one incarnation of the entry."""
    name = settings.entry.name
    key = secrets.token_bytes(KEY_BYTES)
    book = TicketBook(name, incarnation, key, clock)
    kept = RequestMemory(clock)
    runs = TicketRuns(book, kept, configuration, refusals, clock, memory)
    limit = settings.caller.max_body_bytes
    return TicketCalls(name, runs, refusals, forwarder, clock, limit, is_leaving, keep)


def _reserve_state(held: MemoryCharge, size: int) -> MemoryExhausted | None:
    """Charge the report of a kept answer; return why it can't be made now."""
    size *= STATE_COPIES
    return None if held.reserve(size) else MemoryExhausted(size, held.budget.limit)


def _account_ticket(text: str, account: ClientAccount) -> Ticket | Failure:
    ticket = read_ticket(text)
    if isinstance(ticket, Failure):
        return ticket
    return ticket if ticket.account == account.name else TicketForeign()


def _post_reply(state: CallState | Failure, text: str, request_id: str) -> CallState:
    """Return the reply to a post; report a call in progress as "unknown"."""
    if isinstance(state, Failure):
        return render(Unknown(state, TICKET_STATE_PATH + text), request_id)
    if not state.outcome:
        still = StillRunning(state.request_id)
        return render(Unknown(still, TICKET_STATE_PATH + text), request_id)
    return state


def _state_reply(start_response: StartResponse, state: CallState) -> Reply:
    reply = msgspec.Raw(state.content) if state.content else None
    report = StateReport(state.outcome or "in-progress", state.request_id, reply)
    return json_reply(start_response, report)
