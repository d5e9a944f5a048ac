"""Relays a streamed answer to the caller as server-sent events.

The stream closes with an ``end`` event that carries counts, or with an ``error``
event; a stream that closes without either was truncated.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import msgspec

from boragestream.backend.attempt import AttemptCancelled, AttemptFailure
from boragestream.base.failures import CallerGone
from boragestream.base.memory_budget import MemoryCharge
from boragestream.base.outcomes import Answered, Failure, Outcome
from boragestream.caller.replies import problem
from boragestream.serving.delegation_failures import DelegateFailed
from boragestream.serving.request import RequestRecord

__all__ = ["ChargedReply", "RelayedReply", "StreamedReply"]


class Token(msgspec.Struct):
    """The data of a ``token`` event."""

    text: str


class StreamEnd(msgspec.Struct):
    """The data of the ``end`` event.

    :ivar tokens: the number of token events sent before.
    :ivar characters: the total number of characters in them.
    """

    request_id: str
    outcome: str
    tokens: int
    characters: int


class ChargedReply:
    """A reply that returns its charge when the caller's connection has taken it.

    :param reply: what waitress sends.
    :param held: the charge for what the request makes the entry hold.
    """

    def __init__(self, reply: Iterable[bytes], held: MemoryCharge) -> None:
        self._reply = reply
        self._held = held

    def __iter__(self) -> Iterator[bytes]:
        yield from self._reply

    def close(self) -> None:
        """Release the reply's resources; waitress always calls this."""
        close = getattr(self._reply, "close", None)
        try:
            if close is not None:
                close()
        finally:
            self._held.release()


class ClosableAnswer(Protocol):
    """An open answer that ends the work on it when it is closed."""

    def close(self) -> None:
        """Close the answer."""


class _Reply:
    """What all replies have in common that waitress iterates over.

    :param answer: the open answer of the last stage, or of another entry.
    :param request: the request that is answered.
    :param on_end: called with the outcome exactly once, also if the caller disconnects.
    :param retry_after: returns the retry delay for a caller whose answer was truncated.
    """

    def __init__(
        self,
        answer: ClosableAnswer,
        request: RequestRecord,
        on_end: Callable[[Outcome], None],
        retry_after: Callable[[RequestRecord], float],
    ) -> None:
        self._answer = answer
        self._request = request
        self._on_end: Callable[[Outcome], None] | None = on_end
        self._retry_after = retry_after

    def close(self) -> None:
        """Release the answer's resources; waitress always calls this."""
        self._answer.close()
        if self._on_end is not None:
            self._end(self._outcome_of(CallerGone()))

    def _outcome_of(self, failure: Failure) -> Outcome:
        return self._request.outcome_of(failure, self._retry_after(self._request))

    def _end(self, outcome: Outcome) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(outcome)


class StreamedReply(_Reply):
    """The events of a streamed answer, as waitress iterates over them.

    The answer is the ``OpenAnswer`` of the last stage.
    """

    def __iter__(self) -> Iterator[bytes]:
        tokens = 0
        characters = 0
        for part in self._answer.tokens():
            if isinstance(part, AttemptFailure):
                outcome = self._outcome_of(_cause(part))
                self._end(outcome)
                yield _event("error", problem(outcome, self._request.request_id))
                return
            text = part.choices[0].text
            tokens += 1
            characters += len(text)
            yield _event("token", Token(text))
        self._end(Answered(None))
        end = StreamEnd(self._request.request_id, "answered", tokens, characters)
        yield _event("end", end)


class RelayedReply(_Reply):
    """The events of an answer that another entry streams, relayed unchanged.

    The answer is a ``DelegatedStream``.
    """

    def __iter__(self) -> Iterator[bytes]:
        yield from self._answer.chunks()
        if self._answer.whole:
            self._end(Answered(None))
            return
        cause = self._request.scope.reason or DelegateFailed("stream", 0)
        outcome = self._outcome_of(cause)
        self._end(outcome)
        if not self._answer.failed:
            yield _event("error", problem(outcome, self._request.request_id))


def _cause(failure: Failure) -> Failure:
    return failure.reason if isinstance(failure, AttemptCancelled) else failure


def _event(name: str, data: msgspec.Struct) -> bytes:
    return b"event: %b\ndata: %b\n\n" % (name.encode(), msgspec.json.encode(data))
