"""Results of requests, one a line: what a replay writes and a report reads.

A report reads the entries' logs as well, of which it takes the events that end a
request.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from boragestream.base.events import Event
from boragestream.base.shapes import Fault

__all__ = ["LOST", "RequestResult", "read_results", "write_results"]

LOST = "lost"


@dataclass(frozen=True, slots=True)
class RequestResult:
    """What became of one request.

    :ivar outcome: one of the four outcomes, or ``lost`` where no reply came.
    :ivar failure: the failure's code, empty where it was answered.
    :ivar milliseconds: from sending it to its outcome.
    :ivar first_ms: to the first token, None where it was not streamed.
    :ivar in_time: answered within its deadline; None where that isn't known.
    :ivar as_stated: whether it met its stated outcome; None where none is stated.
    :ivar late_ms: how much later than recorded it was sent.
    """

    account: str
    pipeline: str
    request_id: str
    outcome: str
    milliseconds: float
    failure: str = ""
    first_ms: float | None = None
    in_time: bool | None = None
    as_stated: bool | None = None
    late_ms: float = 0.0


class _LoggedEnd(msgspec.Struct):
    """The event that ends a request, as an entry logs it."""

    event: int
    request: str
    account: str
    pipeline: str
    outcome: str
    milliseconds: float
    failure: str | None = None


_results = msgspec.json.Decoder(RequestResult)
_logged = msgspec.json.Decoder(_LoggedEnd)


def write_results(path: Path, results: list[RequestResult]) -> None:
    """Write results as JSON lines."""
    path.write_bytes(b"".join(msgspec.json.encode(r) + b"\n" for r in results))


def read_results(path: Path) -> tuple[list[RequestResult], list[Fault]]:
    """Read results, or the log of an entry; lines of neither kind are skipped."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return [], [Fault(str(path), str(error.strerror))]
    return list(_read_lines(lines)), []


def _read_lines(lines: list[bytes]) -> Iterator[RequestResult]:
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        result = _read_line(line[start:])
        if result is not None:
            yield result


def _read_line(text: bytes) -> RequestResult | None:
    try:
        return _results.decode(text)
    except (msgspec.DecodeError, RecursionError):
        pass
    try:
        end = _logged.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None
    if end.event != Event.REQUEST_ENDED.number:
        return None
    failure = (end.failure or "").split(" ")[0]
    return RequestResult(
        end.account, end.pipeline, end.request, end.outcome, end.milliseconds, failure
    )
