"""One HTTP exchange with an entry, and the checks on what it replies.

An answer counts only with its request id and, where it is streamed, with an end event
whose counts agree. Which entry to call is left to ``operator.client``.
"""

import http.client
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Literal, TypeVar

import msgspec

from boragestream.base.outcomes import Failure

__all__ = ["UNREADABLE", "CallReply", "EntryUnreachable", "get_json", "post_call"]

MARGIN_SECONDS = 2.0
EVENT_NAME = b"event: "
EVENT_DATA = b"data: "

Headers = Mapping[str, str | bytes]
Shape = TypeVar("Shape")
# What a reply that can't be read or doesn't come whole raises.
UNREADABLE = (
    OSError,
    http.client.HTTPException,
    msgspec.DecodeError,
    RecursionError,
)
Outcome = Literal["answered", "refused", "failed", "unknown"]


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

    :ivar result: the answer's JSON data; the whole text where it was streamed.
    :ivar problem: the problem document of any outcome but ``answered``.
    :ivar seconds: from the first byte sent to the last received.
    :ivar first_seconds: to the first token, where it was streamed.
    """

    outcome: Outcome
    request_id: str
    result: Any
    problem: dict[str, Any]
    seconds: float
    first_seconds: float | None = None


class Token(msgspec.Struct):
    """A ``token`` event."""

    text: str


class StreamEnd(msgspec.Struct):
    """An ``end`` event."""

    request_id: str
    outcome: Outcome
    tokens: int


class ReplyHead(msgspec.Struct):
    """What every whole reply and every problem document names."""

    request_id: str
    outcome: Outcome
    result: Any = None


def get_json(
    address: str, path: str, headers: Headers, shape: type[Shape]
) -> Shape | EntryUnreachable:
    """Read a page of an entry.

    :param shape: the type of its JSON.
    """
    connection = http.client.HTTPConnection(address, timeout=MARGIN_SECONDS)
    try:
        connection.request("GET", path, headers=headers)
        response = connection.getresponse()
        content = response.read()
        if response.status != http.HTTPStatus.OK:
            return EntryUnreachable(address, True, _reason(response, content))
        return msgspec.json.decode(content, type=shape)
    except UNREADABLE as error:
        return EntryUnreachable(address, True, repr(error))
    finally:
        connection.close()


def post_call(
    address: str,
    path: str,
    content: bytes,
    headers: Headers,
    seconds: float,
    on_token: Callable[[str], None] | None = None,
) -> CallReply | EntryUnreachable:
    """Post a request to an entry and read its reply.

    :param seconds: the longest that the entry may take.
    :param on_token: is given each text of a streamed answer.
    """
    limit = seconds + MARGIN_SECONDS
    connection = http.client.HTTPConnection(address, timeout=limit)
    sent = False
    began = time.monotonic()
    try:
        connection.connect()
        sent = True
        connection.request("POST", path, content, headers)
        response = connection.getresponse()
        if response.headers.get_content_type() == "text/event-stream":
            return _read_stream(address, response, began, on_token)
        return _read_whole(response, began)
    except UNREADABLE as error:
        return EntryUnreachable(address, sent, repr(error))
    finally:
        connection.close()


def _reason(response: http.client.HTTPResponse, content: bytes) -> str:
    """Return why an entry did not give what was asked for."""
    try:
        return msgspec.json.decode(content)["type"]
    except (msgspec.DecodeError, RecursionError, KeyError, TypeError):
        return f"status {response.status}"


def _read_whole(response: http.client.HTTPResponse, began: float) -> CallReply:
    content = response.read()
    head = msgspec.json.decode(content, type=ReplyHead)
    answered = head.outcome == "answered"
    return CallReply(
        outcome=head.outcome,
        request_id=head.request_id,
        result=head.result,
        problem={} if answered else msgspec.json.decode(content),
        seconds=time.monotonic() - began,
    )


def _read_stream(
    address: str,
    response: http.client.HTTPResponse,
    began: float,
    on_token: Callable[[str], None] | None,
) -> CallReply | EntryUnreachable:
    texts: list[str] = []
    first_seconds = None
    for name, data in _events(response):
        if name == b"token":
            text = msgspec.json.decode(data, type=Token).text
            first_seconds = first_seconds or time.monotonic() - began
            texts.append(text)
            if on_token is not None:
                on_token(text)
            continue
        problem: dict[str, Any] = {}
        if name == b"end":
            end = msgspec.json.decode(data, type=StreamEnd)
            if end.tokens != len(texts):
                return EntryUnreachable(address, True, "the counts do not agree")
        else:
            end = msgspec.json.decode(data, type=ReplyHead)
            problem = msgspec.json.decode(data)
        return CallReply(
            outcome=end.outcome,
            request_id=end.request_id,
            result="".join(texts),
            problem=problem,
            seconds=time.monotonic() - began,
            first_seconds=first_seconds,
        )
    return EntryUnreachable(address, True, "the stream has no end event")


def _events(response: http.client.HTTPResponse) -> Iterator[tuple[bytes, bytes]]:
    name = b""
    for line in response:
        if line.startswith(EVENT_NAME):
            name = line.removeprefix(EVENT_NAME).strip()
        elif line.startswith(EVENT_DATA):
            yield name, line.removeprefix(EVENT_DATA)
