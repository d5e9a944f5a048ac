"""Asks engines which prompts they have cached.

This is done only for a stream that its caller takes up and of which no entry has a
record, mostly after many entries have started at once. Many streams are taken up then,
so that an answer is used for a moment.
"""

import math
import threading
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Protocol

from boragestream.backend.cancellation import Watchdog
from boragestream.backend.failures import AttemptFailure, Ran, ServerErred
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.document.calls import PromptPart
from boragestream.policy.prompt_caches import CachedPart, CacheSurvey
from boragestream.policy.server_choice import rank_engines, shared_part
from boragestream.policy.servers import Server, ServerState
from boragestream.policy.stream_origins import StreamOrigin
from boragestream.serving.call_gate import GateParts, question_refusal
from boragestream.serving.server_questions import ask_server, call_without_id

__all__ = ["CacheFormat", "CachedPrompts"]

ANSWER_SECONDS = 0.4
# Questions to other engines may be ahead of those that a stream needs.
FIND_SECONDS = 0.6
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
    :ivar repeated_at: when the engine may be asked again; infinite before it answered.
    """

    tokens: Future[dict[str, int] | None]
    repeated_at: float = math.inf


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
        self._dropped_at = 0.0
        self._lock = threading.Lock()
        self._threads = ThreadPoolExecutor(THREADS, "cached-prompts")

    def find(
        self, services: Sequence[str], prompt: Sequence[PromptPart], seconds: float
    ) -> CacheSurvey:
        """Return where the last part of a prompt is cached.

        :param seconds: the longest time that this may take.
        """
        engines = [e for service in services for e in self._ranked(service, prompt)]
        questions = [(engine, self._question(engine).tokens) for engine in engines]
        limit = max(0.0, min(seconds, FIND_SECONDS))
        wait([question for _, question in questions], limit)
        part = prompt[-1].identity
        parts, silent = [], set()
        for engine, question in questions:
            origin = StreamOrigin(engine.service, engine.version)
            tokens = question.result() if question.done() else None
            if tokens is None and engine.state is not ServerState.LEAVING:
                silent.add(origin)
            elif tokens is not None and part in tokens:
                parts.append(CachedPart(origin, tokens[part]))
        return CacheSurvey(tuple(parts), frozenset(silent))

    def _ranked(self, service: str, prompt: Sequence[PromptPart]) -> list[Server]:
        """Return the engines that may have served a prompt, of all versions.

        Engines that are leaving still know what they served.
        """
        groups: dict[tuple[str, str], list[Server]] = {}
        for server in self._gate.servers.all:
            if server.service == service:
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
            self._drop_old(now)
            question = self._questions.get(engine.identity)
            if question is None or now >= question.repeated_at:
                question = _Question(self._threads.submit(self._ask, engine))
                self._questions[engine.identity] = question
        return question

    def _drop_old(self, now: float) -> None:
        if now < self._dropped_at + CURRENT_SECONDS:
            return
        self._dropped_at = now
        for identity, question in list(self._questions.items()):
            if now >= question.repeated_at:
                del self._questions[identity]

    def _ask(self, engine: Server) -> dict[str, int] | None:
        def encode(left: float) -> bytes | AttemptFailure:
            refusal = question_refusal(self._gate, engine)
            return refusal or self._format.encode_cache_call(engine)

        pause, tokens = CURRENT_SECONDS, None
        try:
            call = call_without_id("GET", encode)
            answer = ask_server(
                self._line, self._watchdog, self._clock, engine, call, ANSWER_SECONDS
            )
            if isinstance(answer, bytes):
                tokens = self._format.read_cached_parts(answer)
                if tokens is None:
                    answer = ListUnreadable(engine.name, Ran.NOT_RUN)
            if tokens is None:
                emit(Event.CACHE_UNKNOWN, server=engine.name, failure=answer.describe())
                pause = UNSUPPORTED_SECONDS if _is_final(answer) else CURRENT_SECONDS
        finally:
            self._end_question(engine, self._clock.now() + pause)
        return tokens

    def _end_question(self, engine: Server, repeated_at: float) -> None:
        with self._lock:
            question = self._questions.get(engine.identity)
            if question is not None:
                ended = replace(question, repeated_at=repeated_at)
                self._questions[engine.identity] = ended


def _is_final(failure: AttemptFailure) -> bool:
    """Return whether an engine would give no list at a later time either."""
    if isinstance(failure, ServerErred):
        return failure.status not in BUSY_STATUSES
    return isinstance(failure, ListUnreadable)
