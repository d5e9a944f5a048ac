"""The four outcomes of a request, and the failures that lead to them.

Every request ends in exactly one outcome. A failure is a frozen record with a type
of its own; its ``code`` is derived from that type and is what callers see. How an
outcome is put on the wire is left to the ``caller`` package.
"""

import re
from dataclasses import dataclass, fields
from typing import Any

__all__ = ["Answered", "Failed", "Failure", "Outcome", "Refused", "Unknown"]

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


@dataclass(frozen=True, slots=True)
class Failure:
    """The base of every typed failure."""

    @property
    def code(self) -> str:
        """The type's name in lower case with hyphens, for example ``wrong-key``."""
        return _WORD_START.sub("-", type(self).__name__).lower()

    def describe(self) -> str:
        """Return one line for people: the code and the fields."""
        parts = [f"{f.name}={getattr(self, f.name)!r}" for f in fields(self)]
        return " ".join([self.code, *parts])


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer is there and within its deadline.

    :ivar body: the result of the last stage, JSON data.
    """

    body: Any


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run: no byte of it left for any backend server.

    :ivar failure: why it was refused.
    :ivar retry_after: seconds after which to come back, None where no later try of
        the same request can help.
    """

    failure: Failure
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """Some stage may have run; repeating the request is safe.

    :ivar failure: what went wrong last.
    :ivar retry_after: seconds after which to come back.
    """

    failure: Failure
    retry_after: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """A call that may not be repeated may have run, and its answer is not there.

    :ivar failure: what went wrong last.
    :ivar ask: the path under which the caller can ask what became of it.
    """

    failure: Failure
    ask: str


Outcome = Answered | Refused | Failed | Unknown
