"""Stricter HTTP than waitress asks for, and its errors as problem documents.

A request whose length can be read in two ways is refused, because somebody between
the caller and the entry could read it the other way. A request must arrive whole
within a limit, however slowly its bytes come. Nothing of what a caller sent stands in
an error, since it could be a key.
"""

import re
from typing import Any

import msgspec
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error

from boragestream.base.identifiers import new_request_id
from boragestream.base.outcomes import Failure, Refused
from boragestream.caller.channel import DirectChannel
from boragestream.caller.failures import (
    BodyTooLong,
    EncodingUnsupported,
    HeaderTooLong,
    MalformedRequest,
)
from boragestream.caller.replies import problem

__all__ = ["StrictChannel", "StrictParser"]

PROBLEM_TYPE = "application/problem+json"
FOLDED_LINE = re.compile(rb"\r\n[ \t]")
HEADER_TOO_LONG = 431
BODY_TOO_LONG = 413
ENCODING_UNSUPPORTED = 501


class _ProblemError(Error):
    """An error of waitress as the problem document of a refusal."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.code)
        self._report = problem(Refused(failure), new_request_id())

    def to_response(self, ident: str | None = None) -> tuple[str, list, bytes]:
        """Return status, headers and body, as waitress asks for them."""
        report = self._report
        status = f"{report.status} {report.title}"
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("X-Request-Id", report.request_id),
        ]
        return status, headers, msgspec.json.encode(report, enc_hook=str)


class StrictParser(HTTPRequestParser):
    """Refuses what has two readings, and answers with problem documents."""

    def received(self, data: bytes) -> int:
        """Take bytes of a request; return how many were used."""
        used = super().received(data)
        if self.error is not None and not isinstance(self.error, _ProblemError):
            self.error = _ProblemError(_failure(self.error, self.adj))
        return used

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers."""
        super().parse_header(header_plus)
        if FOLDED_LINE.search(header_plus):
            raise ParsingError("folded header")
        # waitress takes the encoding out of the headers where it understands it.
        encoded = self.chunked or "TRANSFER_ENCODING" in self.headers
        if encoded and ("CONTENT_LENGTH" in self.headers or self.version == "1.0"):
            raise ParsingError("two lengths")


class StrictChannel(DirectChannel):
    """A caller's connection; a request that is slow to arrive closes it."""

    parser_class = StrictParser

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self._began: float | None = None
        super().__init__(*arguments, **options)

    def handle_read(self) -> None:
        """Read what is there.

        While a request is half there, its first byte counts as the last activity, so
        that the channel timeout bounds the whole reading.
        """
        super().handle_read()
        if self.request is None:
            self._began = None
            return
        self._began = self._began or self.last_activity
        self.last_activity = self._began


def _failure(error: Error, adj: Any) -> Failure:
    if error.code == HEADER_TOO_LONG:
        return HeaderTooLong(adj.max_request_header_size)
    if error.code == BODY_TOO_LONG:
        return BodyTooLong(adj.max_request_body_size - 1)
    if error.code == ENCODING_UNSUPPORTED:
        return EncodingUnsupported()
    return MalformedRequest()
