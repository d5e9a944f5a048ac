"""What goes to a backend server and what comes back, by kind of service.

Engines speak completions with server-sent events, pools speak embeddings, retrieval
and rerank, plain services speak JSON. The records here are the project's own view of
those protocols; sending them is left to ``backend.attempt``.
"""

import math
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from boragestream.document import Stage
from boragestream.document.records import ServiceKind

__all__ = [
    "ATTEMPT_HEADER",
    "BRITTLE_HEADER",
    "DEADLINE_HEADER",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "NOT_RUN_HEADER",
    "PRIORITY_HEADER",
    "REQUEST_HEADER",
    "RETRY_AFTER_HEADER",
    "Completion",
    "StageCall",
    "StageInput",
    "stage_body",
    "stage_path",
]

REQUEST_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
PRIORITY_HEADER = "X-Priority"
NOT_RUN_HEADER = "X-Not-Run"
# Beside a refusal: after how many seconds to call again.
RETRY_AFTER_HEADER = "Retry-After"
# In any answer of a server that is leaving.
LEAVING_HEADER = "X-Leaving"
# In any answer of a server in need: the requests a second that it takes from all
# entries together.
LIMIT_HEADER = "X-Request-Limit"
# In any answer of a server that crashes under rejected calls: how many of them a
# second it withstands.
BRITTLE_HEADER = "X-Brittle"

PATHS: dict[ServiceKind, str] = {
    "engine": "/v1/completions",
    "encoder": "/v1/embeddings",
    "retriever": "/v1/retrieve",
    "reranker": "/v1/rerank",
    "plain": "/v1/call",
}


@dataclass(frozen=True, slots=True)
class StageInput:
    """What a stage works on.

    :ivar request: the caller's input, JSON data.
    :ivar results: the results of the stages that it comes after, by their names.
    """

    request: Any
    results: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StageCall:
    """One call of one stage, the same for each of its attempts.

    :ivar repeatable: whether running it twice does no harm.
    :ivar priority: 0 (lowest) to 9, as engines honour it.
    :ivar stream: whether the answer comes as server-sent events.
    :ivar run_by: the clock's seconds after which it may not be sent, because the
        ticket that gives the right to run it has expired.
    """

    request_id: str
    path: str
    body: bytes
    repeatable: bool
    priority: int
    stream: bool
    run_by: float = math.inf


class CompletionChoice(msgspec.Struct, frozen=True):
    """A part of a completion; ``finish_reason`` stands in the last part alone."""

    text: str
    finish_reason: str | None = None


class Completion(msgspec.Struct, frozen=True):
    """One server-sent event of a completion; ``id`` echoes the attempt."""

    id: str
    choices: Annotated[list[CompletionChoice], msgspec.Meta(min_length=1)]


def stage_path(kind: ServiceKind) -> str:
    """Return the path under which servers of a kind take calls."""
    return PATHS[kind]


def stage_body(
    kind: ServiceKind, stage: Stage, stage_input: StageInput, stream: bool
) -> bytes:
    """Return the JSON body of a call.

    :param kind: the kind of the stage's service.
    :param stage: the stage.
    :param stage_input: what it works on.
    :param stream: whether the answer shall come as server-sent events.
    """
    body: dict[str, Any] = {"input": stage_input.request}
    if stage_input.results:
        body["results"] = stage_input.results
    if stage.model:
        body["model"] = stage.model
    if kind == "engine":
        body["prompt"] = stage_input.request
        body["max_tokens"] = stage.max_tokens
        body["stream"] = stream
    return msgspec.json.encode(body)
