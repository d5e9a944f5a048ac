"""The failures that a caller's own request can have.

Each stands for a refusal: nothing was run.
"""

from dataclasses import dataclass

from boragestream.base.outcomes import Failure

__all__ = [
    "BodyTooLong",
    "DeadlineAbsurd",
    "MalformedBody",
    "MethodNotAllowed",
    "PathUnknown",
    "PipelineNotAllowed",
    "PipelineUnknown",
    "WrongKey",
]


@dataclass(frozen=True, slots=True)
class WrongKey(Failure):
    """The bearer key is missing or belongs to no client account."""


@dataclass(frozen=True, slots=True)
class PathUnknown(Failure):
    """There is nothing under this path."""

    path: str


@dataclass(frozen=True, slots=True)
class MethodNotAllowed(Failure):
    """The path does not take this method."""

    method: str


@dataclass(frozen=True, slots=True)
class PipelineUnknown(Failure):
    """No pipeline has this name."""

    pipeline: str


@dataclass(frozen=True, slots=True)
class PipelineNotAllowed(Failure):
    """The client account may not call this pipeline."""

    pipeline: str


@dataclass(frozen=True, slots=True)
class DeadlineAbsurd(Failure):
    """The deadline header is no whole number of milliseconds of a usable size."""

    given: str


@dataclass(frozen=True, slots=True)
class MalformedBody(Failure):
    """The body is not the JSON object that is asked for.

    :ivar place: the field, empty for the whole body.
    """

    place: str
    reason: str


@dataclass(frozen=True, slots=True)
class BodyTooLong(Failure):
    """The body is longer than is taken."""

    limit_bytes: int
