"""Asks engines which prompts they have cached.

This is done only for a stream that its caller takes up and of which no entry has a
record, mostly after many entries have started at once. Many streams are taken up then,
so that an answer is used for a moment.
"""

import threading
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

from boragestream.backend.cancellation import Watchdog
from boragestream.backend.failures import (
    AttemptFailure,
    Ran,
    ServerErred,
)
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.document.calls import PromptPart
from boragestream.policy.prompt_caches import CachedPart
from boragestream.policy.server_choice import rank_engines, shared_part
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import StreamOrigin
from boragestream.serving.call_gate import GateParts, question_refusal
from boragestream.serving.server_questions import ask_server, call_without_id

__all__ = ["CacheFormat", "CachedPrompts"]

ANSWER_SECONDS = 0.4
# A stream is served by one of the first engines in the ranking for its prompt; engines
# ahead of it may have had too many calls.
RANKED_ENGINES = 4
# A stream that another entry served until a moment ago is missing in an older list.
CURRENT_SECONDS = 3.0
# An engine that can't say what it has cached is not asked again for this long.
UNSUPPORTED_SECONDS = 60.0
BUSY_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
THREADS = 32


class CacheFormat(Protocol):
    """Encodes calls for what engines have cached, and decodes the answers."""

    def encode_cache_call(self, server: Server) -> bytes:
        """Return the bytes of a call."""

    def read_cached_parts(self, body: bytes) -> dict[str, int] | None:
        """Decode the tokens of each cached part, by identity; None if unreadable."""


@dataclass(frozen=True, slots=True)
class ListUnreadable(AttemptFailure):
    """What an engine answered is no list of what it has cached."""


@dataclass(frozen=True, slots=True)
class _Question:
    """A question to one engine.

    :ivar tokens: will be the tokens of each part by its identity; None if the engine
        gave no list.
    :ivar repeated_at: when the engine may be asked again.
    """

    tokens: Future[dict[str, int] | None]
    repeated_at: float


class CachedPrompts:
    """The prompts that engines have cached; thread-safe.

    :param gate: the parts of the entry that know which servers may be called.
    """

    def __init__(
        self,
        line: CallLine,
        watchdog: Watchdog,
        clock: Clock,
        gate: GateParts,
        cache_format: CacheFormat,
    ) -> None:
        self._line = line
        self._watchdog = watchdog
        self._clock = clock
        self._gate = gate
        self._format = cache_format
        self._questions: dict[tuple[str, str, str], _Question] = {}
        self._lock = threading.Lock()
        self._threads = ThreadPoolExecutor(THREADS, "cached-prompts")

    def find(
        self, services: Sequence[str], prompt: Sequence[PromptPart]
    ) -> list[CachedPart] | None:
        """Return the last part of a prompt at each engine that has cached it.

        :returns: None if no engine says what it has cached.
        """
        engines = [e for service in services for e in self._ranked(service, prompt)]
        part = prompt[-1].identity
        questions = [(engine, self._question(engine)) for engine in engines]
        answers = [(engine, question.tokens.result()) for engine, question in questions]
        known = [(engine, tokens) for engine, tokens in answers if tokens is not None]
        if not known:
            return None
        return [
            CachedPart(StreamOrigin(engine.service, engine.version), tokens[part])
            for engine, tokens in known
            if part in tokens
        ]

    def _ranked(self, service: str, prompt: Sequence[PromptPart]) -> list[Server]:
        """Return the engines that may have served a prompt, of all versions."""
        groups: dict[tuple[str, str], list[Server]] = {}
        for server in self._gate.servers.live(service):
            group = groups.setdefault((server.version, server.data_centre), [])
            group.append(server)
        part = shared_part(prompt)
        return [
            engine
            for group in groups.values()
            for engine in rank_engines(part, group)[:RANKED_ENGINES]
        ]

    def _question(self, engine: Server) -> _Question:
        """Return the latest question to an engine, a new one if that is too old."""
        now = self._clock.now()
        with self._lock:
            for identity, question in list(self._questions.items()):
                if now >= question.repeated_at:
                    del self._questions[identity]
            question = self._questions.get(engine.identity)
            if question is None:
                tokens = self._threads.submit(self._ask, engine)
                question = _Question(tokens, now + CURRENT_SECONDS)
                self._questions[engine.identity] = question
        return question

    def _ask(self, engine: Server) -> dict[str, int] | None:
        def encode(left: float) -> bytes | AttemptFailure:
            refusal = question_refusal(self._gate, engine)
            return refusal or self._format.encode_cache_call(engine)

        call = call_without_id("GET", encode)
        answer = ask_server(
            self._line, self._watchdog, self._clock, engine, call, ANSWER_SECONDS
        )
        if isinstance(answer, bytes):
            tokens = self._format.read_cached_parts(answer)
            if tokens is not None:
                return tokens
            answer = ListUnreadable(engine.name, Ran.NOT_RUN)
        emit(Event.CACHE_UNKNOWN, server=engine.name, failure=answer.describe())
        if _is_final(answer):
            self._postpone(engine)
        return None

    def _postpone(self, engine: Server) -> None:
        """Do not ask an engine again for some time."""
        until = self._clock.now() + UNSUPPORTED_SECONDS
        with self._lock:
            question = self._questions.get(engine.identity)
            if question is not None:
                self._questions[engine.identity] = replace(question, repeated_at=until)


def _is_final(failure: AttemptFailure) -> bool:
    """Return whether an engine would give no list at a later time either."""
    if isinstance(failure, ServerErred):
        return failure.status not in BUSY_STATUSES
    return isinstance(failure, ListUnreadable)
