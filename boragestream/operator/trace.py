"""Recorded traces: JSON lines, one request a line, with its stated outcomes.

docs/OPERATIONS.md documents the format for people. Sending them is left to
``operator.replay``.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from boragestream.base.shapes import Fault

__all__ = ["TraceLine", "read_trace"]

Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
StatedOutcome = Literal["answered", "refused", "failed", "unknown"]


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One recorded request.

    :ivar at_ms: when it arrived, counted from the start of the trace.
    :ivar input: its input, JSON data.
    :ivar deadline_ms: milliseconds that it has; None for the pipeline's own.
    :ivar stream: whether it asks for a streamed answer.
    :ivar once: whether it is made under a ticket, to run at most once.
    :ivar expect: the outcomes that are allowed; any where empty.
    :ivar within_ms: the longest that the outcome may take; None for the deadline.
    """

    at_ms: Milliseconds
    account: str
    pipeline: str
    input: Any
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] | None = None
    stream: bool = False
    once: bool = False
    expect: tuple[StatedOutcome, ...] = ()
    within_ms: Milliseconds | None = None


_decoder = msgspec.json.Decoder(TraceLine)


def read_trace(path: Path) -> tuple[list[TraceLine], list[Fault]]:
    """Read a trace; blank lines are skipped.

    :returns: the requests in the order of their arrival, and every fault with the
        number of its line.
    """
    lines: list[TraceLine] = []
    faults: list[Fault] = []
    try:
        texts = path.read_bytes().splitlines()
    except OSError as error:
        return [], [Fault(str(path), str(error.strerror))]
    for number, text in enumerate(texts, start=1):
        if not text.strip():
            continue
        try:
            lines.append(_decoder.decode(text))
        except (msgspec.DecodeError, RecursionError) as error:
            faults.append(Fault(f"line {number}", str(error)))
    return sorted(lines, key=lambda line: line.at_ms), faults
