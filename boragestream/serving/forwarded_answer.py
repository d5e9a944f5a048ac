"""The answers to a forwarded request as they are delivered to the caller."""

from collections.abc import Iterator
from dataclasses import dataclass

from boragestream.base.outcomes import Failure
from boragestream.document.calls import AnswerHead

__all__ = ["StreamedAnswer", "WholeAnswer"]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of a server.

    :ivar blocks: its body. The blocks are handed over one by one, so that none is held
        in two places.
    """

    head: AnswerHead
    blocks: list[bytes]

    @property
    def length(self) -> int:
        """The bytes of the body that were not handed over yet."""
        return sum(map(len, self.blocks))


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """A stream whose first events have arrived.

    :ivar head: the first server's head, even if other servers resume the stream.
    :ivar events: yields complete events as they arrive; if the stream fails, the last
        item is the failure.
    """

    head: AnswerHead
    events: Iterator[bytes | Failure]
