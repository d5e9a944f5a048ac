"""The application that serves entry addresses to callers and readiness to the platform.

It listens on separate addresses, so that it answers even while requests occupy all of
the entry's threads.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from boragestream.caller.replies import StartResponse, json_reply
from boragestream.policy.directory_choice import DirectoryChoice
from boragestream.policy.peers import ListedEntry

__all__ = ["DirectoryApplication", "DirectoryFormat"]


class DirectoryFormat(Protocol):
    """The paths of the directory's endpoints and the format of its answers."""

    @property
    def ready_path(self) -> str:
        """The path of the platform's readiness check."""

    @property
    def directory_path(self) -> str:
        """The path from which callers fetch addresses."""

    def caller_region(self, query: str) -> str:
        """Return the region that a query names; empty for none."""

    def directory_body(self, addresses: Sequence[str], keep_seconds: float) -> object:
        """Return the JSON data of the answer to a caller."""


@dataclass(frozen=True, slots=True)
class DirectoryApplication:
    """Answers callers and the platform.

    :ivar ready: returns whether this entry serves requests.
    :ivar entries: returns the entries that serve callers of a region; the region is
        empty if the caller names none.
    :ivar choice: chooses those that one answer lists.
    :ivar keep_seconds: how long a caller may cache an answer.
    :ivar metrics: returns the metrics as text.
    :ivar metrics_path: the path of the metrics; empty if they are not served.
    """

    format: DirectoryFormat
    ready: Callable[[], bool]
    entries: Callable[[str], Sequence[ListedEntry]]
    choice: DirectoryChoice
    keep_seconds: float
    metrics: Callable[[], str] = str
    metrics_path: str = ""

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        path = environ["PATH_INFO"]
        if path == self.format.ready_path:
            status = HTTPStatus.OK if self.ready() else HTTPStatus.SERVICE_UNAVAILABLE
            return json_reply(start_response, {"ready": self.ready()}, status)
        if path == self.format.directory_path:
            region = self.format.caller_region(environ.get("QUERY_STRING", ""))
            caller = environ.get("REMOTE_ADDR", "")
            return self._directory(region, caller, start_response)
        if self.metrics_path and path == self.metrics_path:
            return _text(start_response, self.metrics())
        return json_reply(start_response, {}, HTTPStatus.NOT_FOUND)

    def _directory(
        self, region: str, caller: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        entries = self.entries(region)
        if not entries:
            unavailable = HTTPStatus.SERVICE_UNAVAILABLE
            return json_reply(start_response, {}, unavailable)
        chosen = [entry.host for entry in self.choice.choose(entries, caller)]
        body = self.format.directory_body(chosen, self.keep_seconds)
        return json_reply(start_response, body)


def _text(start_response: StartResponse, text: str) -> Iterable[bytes]:
    body = text.encode()
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    start_response("200 OK", headers)
    return [body]
