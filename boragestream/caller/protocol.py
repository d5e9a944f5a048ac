"""Stricter HTTP parsing than waitress', with errors as problem documents.

A request of ambiguous length is refused, because a proxy between the caller and the
entry could interpret it differently. A request must arrive completely within a time
limit, however slowly its bytes come. Errors contain nothing that a caller sent, since
it could be a key. A request is charged for its head and body, and refused where the
budget does not grant them.
"""

import re
from collections.abc import Callable
from typing import Any

import msgspec
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error

from boragestream.base.identifiers import new_request_id
from boragestream.base.memory_budget import MemoryKind
from boragestream.base.outcomes import Failure, Refused
from boragestream.caller.caller_memory import CallerMemory
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
# What a request and each of its headers take up as objects, from its parsing up to the
# call of a server.
REQUEST_BYTES = 4_096
HEADER_BYTES = 768
# A request that is refused for its headers names itself in the first ones.
REFUSED_HEADERS = 64
# Requests of one connection that are parsed in one pass of the event loop. A caller may
# send blank lines between requests, which are parsed like requests.
PARSED_AT_ONCE = 8


class _ProblemError(Error):
    """An error of waitress, rendered as the problem document of a refusal."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.code)
        self._report = problem(Refused(failure), new_request_id())

    def to_response(self, ident: str | None = None) -> tuple[str, list, bytes]:
        """Return status, headers and body in the form that waitress expects."""
        report = self._report
        status = f"{report.status} {report.title}"
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("X-Request-Id", report.request_id),
        ]
        return status, headers, msgspec.json.encode(report, enc_hook=str)


class _HeadersNotGrantedError(Exception):
    """The headers of a request take up more memory than is granted."""


class StrictParser(HTTPRequestParser):
    """Refuses ambiguous requests and reports errors as problem documents.

    :param memory: grants the bytes of the request.
    :param refused: called when the request is refused for memory, with the number of
        bytes of its body that are still to come; None if that is not known.
    """

    def __init__(
        self,
        adj: Any,
        memory: CallerMemory,
        refused: Callable[[int | None], None] = lambda left: None,
    ) -> None:
        super().__init__(adj)
        self._memory = memory
        self._note_refused = refused
        self._charge = memory.charge(MemoryKind.REQUEST)

    @property
    def charged_bytes(self) -> int:
        """The bytes that are charged for the request."""
        return self._charge.size

    @property
    def bytes_left(self) -> int:
        """The bytes of the body that are still to come; 0 if that is not known."""
        known = self.body_rcv is not None and not self.chunked
        return self.content_length - self.body_bytes_received if known else 0

    def received(self, data: bytes) -> int:
        """Parse bytes of a request; return how many were consumed."""
        if self.body_rcv is None:
            return self._receive_head(data)
        if not self.chunked:
            # The whole body was charged when the head was complete.
            return self._parse(data)
        if not self._memory.reserve(self._charge, len(data)):
            return self._refuse(self._charge.size + len(data), data)
        return self._parse(data)

    def _receive_head(self, data: bytes) -> int:
        """Parse bytes that begin with the head; return how many were consumed.

        Heads are short and parsed in any case, so that a refusal names the request.
        """
        try:
            used = self._parse(data)
        except _HeadersNotGrantedError:
            return self._refuse(len(self.header_plus) + len(data), data)
        if self.empty:
            # waitress drops blank lines between requests without closing them.
            return used
        if self.error is not None:
            return used
        stated = self.content_length
        if not self.headers_finished:
            if self._memory.reserve(self._charge, used):
                return used
            return self._refuse(self._charge.size + used, data)
        if not stated or self._memory.reserve(self._charge, stated):
            return used
        left = None if self.chunked else stated - (len(data) - used)
        return self._refuse(stated or used, data, left)

    def release(self) -> None:
        """Return the request's bytes to the budget; a second call does nothing."""
        self._charge.release()

    def close(self) -> None:
        """Drop the body."""
        super().close()
        self.release()

    def _parse(self, data: bytes) -> int:
        used = super().received(data)
        if self.error is not None and not isinstance(self.error, _ProblemError):
            self.error = _ProblemError(_failure(self.error, self.adj))
        return used

    def _refuse(self, size: int, data: bytes, left: int | None = None) -> int:
        """End the request with a refusal; the rest of the data is dropped with it.

        :param left: the bytes of the body that are still to come, if known.
        """
        if not self.headers_finished and not self.headers:
            # The connection reads the version and headers of every request.
            super().parse_header(b"GET / HTTP/1.0\r\n")
        self.error = self._memory.refusal(self.headers, size)
        self._note_refused(left)
        self.completed = True
        # Otherwise waitress would ask the caller to send the body.
        self.expect_continue = False
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
        self.release()
        return len(data)

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers, once their objects are granted."""
        count = header_plus.count(b"\n")
        size = REQUEST_BYTES + len(header_plus) + count * HEADER_BYTES
        if not self._memory.reserve(self._charge, size):
            first = header_plus.split(b"\r\n", REFUSED_HEADERS)[:REFUSED_HEADERS]
            super().parse_header(b"\r\n".join(first) + b"\r\n")
            raise _HeadersNotGrantedError
        super().parse_header(header_plus)
        if FOLDED_LINE.search(header_plus):
            raise ParsingError("folded header")
        # waitress removes the encoding from the headers if it supports it.
        encoded = self.chunked or "TRANSFER_ENCODING" in self.headers
        if encoded and ("CONTENT_LENGTH" in self.headers or self.version == "1.0"):
            raise ParsingError("two lengths")


class StrictChannel(DirectChannel):
    """A caller's connection; a request that is slow to arrive closes it.

    Of requests that are sent one after another, the one that is served and the next one
    are parsed. The bytes of the others wait, and nothing is read meanwhile.
    """

    parser_class = StrictParser

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self._request_start: float | None = None
        # Bytes that were read and not parsed.
        self._unparsed = b""
        super().__init__(*arguments, **options)

    def readable(self) -> bool:
        """Return whether the event loop should read; parse what waits if there is room.

        The event loop asks this in each pass, also after a request was answered.
        """
        if not self._unparsed:
            return super().readable()
        if super().readable():
            self.received(b"")
        return not self._unparsed and super().readable()

    def received(self, data: bytes) -> bool:
        """Parse bytes as far as requests may be queued, and keep the rest."""
        with self.requests_lock:
            if self.will_close or self.close_when_flushed:
                # Nothing that follows will be answered.
                self._unparsed = b""
                return False
            rest = self._unparsed + data
            for _ in range(PARSED_AT_ONCE):
                if not rest or len(self.requests) > self.adj.channel_request_lookahead:
                    break
                rest = rest[self._parse_some(rest) :]
            self._unparsed = rest
        if rest:
            self.server.pull_trigger()
        return True

    def _parse_some(self, data: bytes) -> int:
        """Parse one request, or the part of it that is there; return its bytes."""
        if self.request is None:
            self.request = self.parser_class(self.adj)
        request = self.request
        used = request.received(data)
        # Answers keep their order, so that a caller whose earlier request is being
        # answered is asked for its body only afterwards.
        continues = request.expect_continue and request.headers_finished
        if continues and not self.requests and not self.sent_continue:
            self.send_continue()
        if request.completed:
            self.sent_continue = False
            self.request = None
            if not request.empty:
                self.requests.append(request)
                if len(self.requests) == 1:
                    self.server.add_task(self)
        return used

    def handle_read(self) -> None:
        """Read the available bytes.

        Until a request is complete, the time of its first byte counts as the last
        activity, so that the channel timeout bounds the reading of the whole request.
        """
        super().handle_read()
        if self.request is None:
            self._request_start = None
            return
        self._request_start = self._request_start or self.last_activity
        self.last_activity = self._request_start


def _failure(error: Error, adj: Any) -> Failure:
    if error.code == HEADER_TOO_LONG:
        return HeaderTooLong(adj.max_request_header_size)
    if error.code == BODY_TOO_LONG:
        return BodyTooLong(adj.max_request_body_size - 1)
    if error.code == ENCODING_UNSUPPORTED:
        return EncodingUnsupported()
    return MalformedRequest()
