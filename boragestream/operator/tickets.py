"""A caller's side of tickets: calls that run at most once, also when answers are lost.

It fetches a ticket, posts under it, and posts the same ticket again to other entries
while no outcome is there. Only the ticket's issuer ever runs the call.
"""

import http.client
import time
from typing import Any

import msgspec

from boragestream.operator.client import CallReply, Client, EntryUnreachable
from boragestream.operator.exchange import UNREADABLE

__all__ = ["ask_state", "call_once", "fetch_ticket", "ticket_path"]

MAX_POSTS = 3
PAUSE_SECONDS = 0.1
ASK_SECONDS = 4.0


class Page(msgspec.Struct):
    """What an entry says of a ticket or a request, or a problem document."""

    ticket: str = ""
    state: str = ""
    outcome: str = ""
    request_id: str = ""
    reply: dict[str, Any] | None = None


def ticket_path(ticket: str) -> str:
    """Return the path under which any entry tells what became of a ticket."""
    return f"/v1/tickets/{ticket}"


def fetch_ticket(client: Client, address: str) -> str | CallReply | EntryUnreachable:
    """Have an entry issue a ticket; it alone will ever run a call under it."""
    page = _exchange(client, address, "POST", "/v1/tickets")
    return page.ticket if isinstance(page, Page) and page.ticket else _to_reply(page)


def ask_state(client: Client, path: str, address: str) -> CallReply | EntryUnreachable:
    """Ask an entry what became of a request; an unused ticket ends by it.

    :param path: from ``ticket_path``, or the ``ask`` of a problem document.
    :returns: a reply whose outcome may be ``in-progress`` besides.
    """
    return _to_reply(_exchange(client, address, "GET", path))


def call_once(
    client: Client, pipeline: str, body: Any, deadline_ms: int
) -> CallReply | EntryUnreachable:
    """Make a request that may not be repeated.

    :param deadline_ms: milliseconds for the whole, all posts together.
    :returns: the outcome; ``unknown`` where no post learnt more, with where to ask.
        Unreachable only where nothing was run.
    """
    until = time.monotonic() + deadline_ms / 1000
    addresses = client.addresses()
    ticket, issuer = _fetch(client, addresses)
    if not isinstance(ticket, str):
        return ticket
    others = [address for address in addresses if address != issuer]
    lost = {"outcome": "unknown", "ask": ticket_path(ticket)}
    reply = CallReply("unknown", "", None, lost, 0.0)
    for address in [issuer, *others][:MAX_POSTS]:
        left_ms = int((until - time.monotonic()) * 1000)
        if left_ms <= 0:
            break
        posted = client.call(
            pipeline, body, deadline_ms=left_ms, address=address, ticket=ticket
        )
        if isinstance(posted, CallReply):
            reply = posted
        if reply.outcome != "unknown":
            break
        time.sleep(PAUSE_SECONDS)
    return reply


def _fetch(
    client: Client, addresses: tuple[str, ...]
) -> tuple[str | CallReply | EntryUnreachable, str]:
    """Return a ticket and the address that issued it, or the last failure."""
    ticket: Any = EntryUnreachable("", False, "no entry is known")
    for address in addresses:
        ticket = fetch_ticket(client, address)
        if isinstance(ticket, str):
            return ticket, address
    return ticket, ""


def _exchange(
    client: Client, address: str, method: str, path: str
) -> Page | EntryUnreachable:
    connection = http.client.HTTPConnection(address, timeout=ASK_SECONDS)
    try:
        connection.request(method, path, headers=client.headers)
        content = connection.getresponse().read()
        page = msgspec.json.decode(content, type=Page)
        if page.outcome:
            # A problem document stands for itself.
            page.state = page.outcome
            page.reply = msgspec.json.decode(content)
        return page
    except UNREADABLE as error:
        return EntryUnreachable(address, True, repr(error))
    finally:
        connection.close()


def _to_reply(page: Page | EntryUnreachable) -> CallReply | EntryUnreachable:
    if isinstance(page, EntryUnreachable):
        return page
    reply = page.reply or {}
    problem = {} if page.state == "answered" else reply
    return CallReply(page.state, page.request_id, reply.get("result"), problem, 0.0)
