"""A caller's side of the system: asks which entries to use and calls them.

It checks what it gets: an answer counts only with its request id and, where it is
streamed, with an end event whose counts agree.
"""

import http.client
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from boragestream.base.outcomes import Failure

__all__ = ["CallReply", "Client", "EntryUnreachable"]

KNOWN_OUTCOMES = ("answered", "refused", "failed", "unknown")
MARGIN_SECONDS = 2.0
EVENT_NAME = b"event: "
EVENT_DATA = b"data: "


@dataclass(frozen=True, slots=True)
class EntryUnreachable(Failure):
    """No whole reply came from an entry.

    :ivar address: the entry.
    :ivar sent: whether any byte of the request may have reached it.
    """

    address: str
    sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class CallReply:
    """What an entry replied.

    :ivar outcome: ``answered``, ``refused``, ``failed`` or ``unknown``.
    :ivar result: the answer's JSON data; the whole text where it was streamed.
    :ivar problem: the problem document of any other outcome.
    :ivar seconds: from the first byte sent to the last received.
    :ivar first_seconds: to the first token, where it was streamed.
    """

    outcome: str
    request_id: str
    result: Any
    problem: dict[str, Any]
    seconds: float
    first_seconds: float | None = None


class Client:
    """Calls pipelines on behalf of one client account.

    :param key: the account's key.
    :param addresses: entries to ask first, as ``address:port``.
    """

    def __init__(self, key: str, addresses: tuple[str, ...]) -> None:
        self._key = key
        self._seeds = addresses
        self._addresses = addresses
        self._keep_until = 0.0

    def addresses(self) -> tuple[str, ...]:
        """Return the entries to use, asking again when the answer is too old."""
        if time.monotonic() < self._keep_until:
            return self._addresses
        for address in (*self._addresses, *self._seeds):
            reply = self._get(address, "/v1/entries")
            if isinstance(reply, dict) and reply.get("entries"):
                self._addresses = tuple(e["address"] for e in reply["entries"])
                self._keep_until = time.monotonic() + reply["keep_seconds"]
                break
        return self._addresses

    def call(
        self,
        pipeline: str,
        body: Any,
        deadline_ms: int | None = None,
        stream: bool = False,
        address: str | None = None,
        on_token: Callable[[str], None] | None = None,
    ) -> CallReply | EntryUnreachable:
        """Make one request; it is not repeated.

        :param pipeline: the pipeline's name.
        :param body: the input, JSON data.
        :param deadline_ms: milliseconds for the whole; None for the pipeline's own.
        :param stream: ask for a streamed answer.
        :param address: the entry; None for the first that the system names.
        :param on_token: is given each text of a streamed answer.
        """
        target = address or self.addresses()[0]
        headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
        }
        if deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        if stream:
            headers["Accept"] = "text/event-stream"
        content = msgspec.json.encode({"input": body})
        seconds = (deadline_ms or 60_000) / 1000 + MARGIN_SECONDS
        connection = http.client.HTTPConnection(target, timeout=seconds)
        sent = False
        began = time.monotonic()
        try:
            connection.connect()
            sent = True
            connection.request("POST", f"/v1/pipelines/{pipeline}", content, headers)
            response = connection.getresponse()
            if response.headers.get_content_type() == "text/event-stream":
                return _read_stream(response, began, on_token)
            return _read_whole(response, began)
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            return EntryUnreachable(target, sent, repr(error))
        finally:
            connection.close()

    def status(self, address: str) -> dict[str, Any] | EntryUnreachable:
        """Return the status page of an entry."""
        return self._get(address, "/v1/status")

    def _get(self, address: str, path: str) -> dict[str, Any] | EntryUnreachable:
        connection = http.client.HTTPConnection(address, timeout=MARGIN_SECONDS)
        try:
            headers = {"Authorization": f"Bearer {self._key}"}
            connection.request("GET", path, headers=headers)
            return msgspec.json.decode(connection.getresponse().read())
        except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
            return EntryUnreachable(address, True, repr(error))
        finally:
            connection.close()


def _read_whole(response: http.client.HTTPResponse, began: float) -> CallReply:
    body = msgspec.json.decode(response.read())
    return CallReply(
        outcome=body["outcome"],
        request_id=body["request_id"],
        result=body.get("result"),
        problem=body if body["outcome"] != "answered" else {},
        seconds=time.monotonic() - began,
    )


def _read_stream(
    response: http.client.HTTPResponse,
    began: float,
    on_token: Callable[[str], None] | None,
) -> CallReply | EntryUnreachable:
    texts: list[str] = []
    first_seconds = None
    for name, data in _events(response):
        if name == "token":
            first_seconds = first_seconds or time.monotonic() - began
            texts.append(data["text"])
            if on_token is not None:
                on_token(data["text"])
            continue
        whole = name == "end" and data["tokens"] == len(texts)
        if name == "end" and not whole:
            break
        return CallReply(
            outcome=data["outcome"],
            request_id=data["request_id"],
            result="".join(texts),
            problem={} if whole else data,
            seconds=time.monotonic() - began,
            first_seconds=first_seconds,
        )
    return EntryUnreachable("", True, "the stream has no end event")


def _events(response: http.client.HTTPResponse) -> Iterator[tuple[str, dict]]:
    name = ""
    for line in response:
        if line.startswith(EVENT_NAME):
            name = line.removeprefix(EVENT_NAME).strip().decode()
        elif line.startswith(EVENT_DATA):
            yield name, msgspec.json.decode(line.removeprefix(EVENT_DATA))
