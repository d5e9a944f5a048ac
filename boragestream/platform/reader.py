"""One read or watch of a platform service over HTTP.

Each call stands for itself: the caller decides when to come back and what to make of
the answer.
"""

import http.client
import re
from dataclasses import dataclass

from boragestream.base.answer_head import AnswerHeaders
from boragestream.base.answer_reader import AnswerBoundError, AnswerConnection
from boragestream.base.liveness import detect_dead_peer
from boragestream.base.outcomes import Failure
from boragestream.policy.publication import NO_ERA

__all__ = [
    "PlatformAnswer",
    "PlatformUnreachable",
    "Reading",
    "ValueTooLong",
    "get_value",
    "read_era",
    "read_platform",
]

INDEX_HEADER = "X-Platform-Index"
ERA_HEADER = "X-Platform-Era"
# A longer number is no count of returns.
ERA = re.compile(r"[0-9]{1,9}", re.ASCII)
MAX_VALUE_BYTES = 4 * 1_048_576
# A watch that has not been answered so long after its end was lost.
ANSWER_MARGIN_SECONDS = 1.0
# A watch may wait long, a connect not: the first packet is sent again after a second.
CONNECT_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Reading:
    """What a platform service answered.

    :ivar index: the service's index of this value; it rises with each change, but a
        restored service can go backwards.
    :ivar value: the value's bytes, not yet checked.
    :ivar era: how often the service has come back from a copy, after which an index can
        stand for another value; ``NO_ERA`` where it does not say.
    """

    index: int
    value: bytes
    era: int = NO_ERA


@dataclass(frozen=True, slots=True)
class PlatformUnreachable(Failure):
    """A platform service gave no usable answer.

    :ivar place: its address and path.
    :ivar reason: what happened.
    """

    place: str
    reason: str


@dataclass(frozen=True, slots=True)
class ValueTooLong(PlatformUnreachable):
    """The value that a platform service answered with is longer than the bound."""


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """The answer to one HTTP call, whole.

    :ivar headers: the answer's headers.
    """

    status: int
    headers: AnswerHeaders
    value: bytes


def get_value(
    address: str, target: str, seconds: float, known: int = 0
) -> PlatformAnswer | PlatformUnreachable:
    """Make one GET call on a connection of its own.

    :param address: ``address:port`` of the service.
    :param target: path and query.
    :param seconds: the longest to wait for each part of the answer.
    :param known: the index of the value that is known already, which need not be sent
        again; 0 for none.
    :returns: ``ValueTooLong`` for a service that answers, but with too much to read.
    """
    place = address + target.partition("?")[0]
    limit = min(seconds, CONNECT_SECONDS)
    connection = AnswerConnection(address, timeout=limit)
    try:
        connection.connect()
        connection.sock.settimeout(seconds)
        # A watch that waits could not tell a service that is cut off from a quiet one.
        detect_dead_peer(connection.sock)
        headers = {"If-None-Match": f'"{known}"'} if known else {}
        connection.request("GET", target, headers=headers)
        response = connection.getresponse()
        if (response.length or 0) > MAX_VALUE_BYTES:
            return ValueTooLong(place, f"{response.length} bytes")
        value = response.read(MAX_VALUE_BYTES + 1)
        if len(value) > MAX_VALUE_BYTES:
            return ValueTooLong(place, f"more than {MAX_VALUE_BYTES} bytes")
        return PlatformAnswer(response.status, response.headers, value)
    except AnswerBoundError as error:
        return ValueTooLong(place, error.bound)
    except (OSError, http.client.HTTPException, ValueError) as error:
        return PlatformUnreachable(place, repr(error))
    finally:
        connection.close()


def read_era(headers: AnswerHeaders, name: str) -> int:
    """Return the era that an answer names; ``NO_ERA`` for none that can be read."""
    text = headers.get(name, "")
    return int(text) if ERA.fullmatch(text) else NO_ERA


def read_platform(
    address: str,
    path: str,
    index: int = 0,
    wait_seconds: float = 0.0,
    era: int = NO_ERA,
) -> Reading | PlatformUnreachable:
    """Read a value, or wait for a change of it.

    :param address: ``address:port`` of the service.
    :param path: for example ``/v1/document``.
    :param index: the index already known; 0 for none.
    :param wait_seconds: how long the service may wait for a change.
    :param era: the era of that index.
    :returns: a reading of the index that is known already may lack its value: a watch
        ends every few seconds, and the list of a large fleet has a megabyte.
    """
    target = f"{path}?index={index}&wait={wait_seconds:g}"
    answer = get_value(address, target, wait_seconds + ANSWER_MARGIN_SECONDS, index)
    if isinstance(answer, PlatformUnreachable):
        return answer
    now = read_era(answer.headers, ERA_HEADER)
    if answer.status == http.HTTPStatus.NOT_MODIFIED and index:
        if now != era:
            return read_platform(address, path)
        return Reading(index, b"", era)
    if answer.status != http.HTTPStatus.OK:
        return PlatformUnreachable(address + path, f"status {answer.status}")
    try:
        return Reading(int(answer.headers[INDEX_HEADER]), answer.value, now)
    except (TypeError, ValueError) as error:
        return PlatformUnreachable(address + path, repr(error))
