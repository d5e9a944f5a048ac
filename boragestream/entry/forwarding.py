"""Forwards a call under a ticket to the entry that issued the ticket.

The issuer answers each message at once, so that no task of its listener waits for a run
to end; the forwarding entry polls until the call has ended. If an answer is missing, it
is not known whether the call runs, so every such failure means "unknown".
``caller.ticket_runs`` implements the issuer's side.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.entry.links import PeerLinks, PeerRejected
from boragestream.entry.messages import CallState, RequestAsk, TicketAsk, TicketPost

__all__ = ["Forwarder", "IssuerGone", "IssuerUnreachable"]

REPLY_TIMEOUT_SECONDS = 1.0
MIN_POLL_INTERVAL_SECONDS = 0.005
MAX_POLL_INTERVAL_SECONDS = 0.1
POLL_INTERVAL_GROWTH = 1.5


@dataclass(frozen=True, slots=True)
class IssuerGone(Failure):
    """The entry's incarnation that issued the ticket is no more.

    :ivar issuer: the entry's name.
    """

    issuer: str


@dataclass(frozen=True, slots=True)
class IssuerUnreachable(Failure):
    """The entry that issued the ticket does not answer.

    :ivar issuer: the entry's name.
    """

    issuer: str
    reason: str


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Forwards calls and state queries to other entries.

    :ivar find_peer: returns an entry's peer address, given its name; None if the entry
        is unknown.
    """

    links: PeerLinks
    find_peer: Callable[[str], str | None]
    clock: Clock

    def post(
        self, issuer: str, message: TicketPost, deadline: float
    ) -> CallState | IssuerGone | IssuerUnreachable:
        """Have the issuer run a call, and wait until the call ends.

        :param deadline: the clock time in seconds after which the last known state is
            returned, even if the call is in progress.
        """
        state = self.request(issuer, message)
        query = TicketAsk(message.ticket, message.account, message.request_id)
        interval = MIN_POLL_INTERVAL_SECONDS
        while isinstance(state, CallState) and not state.outcome:
            left = deadline - self.clock.now()
            if left <= 0:
                break
            time.sleep(min(interval, left))
            interval = min(interval * POLL_INTERVAL_GROWTH, MAX_POLL_INTERVAL_SECONDS)
            state = self.request(issuer, query)
        return state

    def request(
        self, issuer: str, message: TicketPost | TicketAsk | RequestAsk
    ) -> CallState | IssuerGone | IssuerUnreachable:
        """Send a message to an entry and return the call's state or a failure."""
        address = self.find_peer(issuer)
        if address is None:
            return IssuerUnreachable(issuer, "it is not listed")
        answer = self.links.ask(address, message, REPLY_TIMEOUT_SECONDS)
        if isinstance(answer, CallState):
            return answer
        if isinstance(answer, PeerRejected) and answer.code == IssuerGone("").code:
            return IssuerGone(issuer)
        reason = answer.code if isinstance(answer, Failure) else "another answer"
        return IssuerUnreachable(issuer, reason)
