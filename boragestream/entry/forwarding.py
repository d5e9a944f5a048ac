"""Forwards a call under a ticket to the entry that issued it.

The issuer answers each message at once, so that no task of its listener waits for a
run; the forwarding entry asks again until the call has ended. Where an answer stays
away nobody can tell whether the call runs, so that every such failure means
"unknown". The issuer's side is left to ``caller.ticket_runs``.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.entry.links import PeerLinks, PeerRejected
from boragestream.entry.messages import CallState, RequestAsk, TicketAsk, TicketPost

__all__ = ["Forwarder", "IssuerGone", "IssuerUnreachable"]

ACKNOWLEDGE_SECONDS = 1.0
FIRST_PAUSE_SECONDS = 0.005
LONGEST_PAUSE_SECONDS = 0.1
PAUSE_GROWTH = 1.5


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
    """Forwards to other entries.

    :ivar find_peer: returns an entry's peer address by its name, None where no such
        entry is known.
    """

    links: PeerLinks
    find_peer: Callable[[str], str | None]
    clock: Clock

    def post(
        self, issuer: str, message: TicketPost, deadline: float
    ) -> CallState | IssuerGone | IssuerUnreachable:
        """Have the issuer run a call and wait for its end.

        :param deadline: the clock's seconds after which the state is returned as it
            is, in progress or not.
        """
        state = self.ask(issuer, message)
        question = TicketAsk(message.ticket, message.account, message.request_id)
        pause = FIRST_PAUSE_SECONDS
        while isinstance(state, CallState) and not state.outcome:
            left = deadline - self.clock.now()
            if left <= 0:
                break
            time.sleep(min(pause, left))
            pause = min(pause * PAUSE_GROWTH, LONGEST_PAUSE_SECONDS)
            state = self.ask(issuer, question)
        return state

    def ask(
        self, issuer: str, message: TicketPost | TicketAsk | RequestAsk
    ) -> CallState | IssuerGone | IssuerUnreachable:
        """Send one message to an entry and return what it says."""
        address = self.find_peer(issuer)
        if address is None:
            return IssuerUnreachable(issuer, "it is not listed")
        answer = self.links.ask(address, message, ACKNOWLEDGE_SECONDS)
        if isinstance(answer, CallState):
            return answer
        if isinstance(answer, PeerRejected) and answer.code == IssuerGone("").code:
            return IssuerGone(issuer)
        reason = answer.code if isinstance(answer, Failure) else "another answer"
        return IssuerUnreachable(issuer, reason)
