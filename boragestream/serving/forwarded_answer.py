"""What a caller is given of a server's answer to a forwarded request."""

from collections.abc import Iterator
from dataclasses import dataclass

from boragestream.base.outcomes import Failure
from boragestream.document.calls import AnswerHead

__all__ = ["StreamedAnswer", "WholeAnswer"]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A server's answer, whole."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """A server's stream, with its first events; the rest follows.

    :ivar head: of the first server, also where others go on.
    :ivar events: whole events as they come; a failure is the last item.
    """

    head: AnswerHead
    events: Iterator[bytes | Failure]
