"""A caller's side of the system: asks which entries to use and calls them.

Nothing is repeated but a connect that failed, which is tried at the next entry.
"""

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from boragestream.caller.status import StatusPage
from boragestream.operator.exchange import (
    CallReply,
    EntryUnreachable,
    get_json,
    post_call,
)

__all__ = [
    "CallReply",
    "Client",
    "EntriesAnswer",
    "EntryAddress",
    "EntryUnreachable",
]

LONGEST_SECONDS = 600.0

Shape = TypeVar("Shape")


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """One entry that callers may use."""

    name: str
    address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """Which entries to use, in order, and for how long to keep the answer."""

    entries: tuple[EntryAddress, ...]
    keep_seconds: float


class Client:
    """Calls pipelines on behalf of one client account; safe for many threads.

    :param key: the account's key, or an operator's.
    :param addresses: entries to ask first, as ``address:port``.
    """

    def __init__(self, key: str, addresses: tuple[str, ...]) -> None:
        self._headers = {"Authorization": f"Bearer {key}".encode()}
        self._seeds = addresses
        self._addresses = addresses
        self._keep_until = 0.0
        self._turn = itertools.count()

    @property
    def headers(self) -> dict[str, bytes]:
        """The headers that name the account to an entry."""
        return self._headers

    def addresses(self) -> tuple[str, ...]:
        """Return the entries to use, asking again when the answer is too old."""
        if time.monotonic() >= self._keep_until:
            answer = self.ask_entries()
            if isinstance(answer, EntriesAnswer) and answer.entries:
                self._addresses = tuple(e.address for e in answer.entries)
                self._keep_until = time.monotonic() + answer.keep_seconds
        return self._addresses

    def ask_entries(self) -> EntriesAnswer | EntryUnreachable:
        """Ask the entries known, one after the other, which ones to use."""
        return self._ask("/v1/entries", EntriesAnswer)

    def document(self) -> dict[str, Any] | EntryUnreachable:
        """Return the document in force at the first entry that answers."""
        return self._ask("/v1/document", dict[str, Any])

    def status(self, address: str) -> StatusPage | EntryUnreachable:
        """Return the status page of an entry; the key is an operator's."""
        return get_json(address, "/v1/status", self._headers, StatusPage)

    def call(
        self,
        pipeline: str,
        body: Any,
        deadline_ms: int | None = None,
        stream: bool = False,
        address: str | None = None,
        on_token: Callable[[str], None] | None = None,
        ticket: str | None = None,
    ) -> CallReply | EntryUnreachable:
        """Make one request; it is not repeated once a byte of it was sent.

        :param pipeline: the pipeline's name.
        :param body: the input, JSON data.
        :param deadline_ms: milliseconds for the whole; None for the pipeline's own.
        :param stream: ask for a streamed answer.
        :param address: the entry; None for those that the system names, in turn.
        :param on_token: is given each text of a streamed answer.
        :param ticket: the ticket under which it may be sent again to any entry.
        """
        headers = {**self._headers, "Content-Type": "application/json"}
        if deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        if stream:
            headers["Accept"] = "text/event-stream"
        if ticket is not None:
            headers["Idempotency-Key"] = ticket
        content = msgspec.json.encode({"input": body})
        limit = LONGEST_SECONDS if deadline_ms is None else deadline_ms / 1000
        reply = EntryUnreachable("", False, "no entry is known")
        for target in (address,) if address else self._in_turn():
            reply = post_call(
                target,
                f"/v1/pipelines/{pipeline}",
                content,
                headers,
                limit,
                on_token,
            )
            if not isinstance(reply, EntryUnreachable) or reply.sent:
                break
        return reply

    def _in_turn(self) -> tuple[str, ...]:
        """Return the entries to use, beginning with another one each time."""
        addresses = self.addresses()
        if not addresses:
            return ()
        first = next(self._turn) % len(addresses)
        return addresses[first:] + addresses[:first]

    def _ask(self, path: str, shape: type[Shape]) -> Shape | EntryUnreachable:
        reply = EntryUnreachable("", False, "no entry is known")
        for address in dict.fromkeys((*self._addresses, *self._seeds)):
            reply = get_json(address, path, self._headers, shape)
            if not isinstance(reply, EntryUnreachable):
                break
        return reply
