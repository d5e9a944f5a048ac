"""Parses the heads of HTTP/1.1 answers: status, headers, and how the body is framed.

Reading heads and bodies from a connection is left to ``base.answer_reader``.
"""

import http.client
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

__all__ = [
    "AnswerHeaders",
    "AnswerMalformedError",
    "BodyFraming",
    "ParsedHead",
    "body_framing",
    "check_trailer",
    "parse_head",
]

# Text without control characters, as RFC 9110 defines field values (5.5) and RFC 9112
# reason phrases (4).
TEXT = r"[\t\x20-\x7e\x80-\xff]*"
# Statuses above 599 are invalid (RFC 9110, 15).
STATUS_LINE = re.compile(
    rf"HTTP/1\.([0-9])[ \t]+([1-5][0-9]{{2}})(?:[ \t]+({TEXT}))?\r?"
)
# Line folding is left out: RFC 9112 lets a gateway reject it.
HEADER_LINES = re.compile(
    rf"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:{TEXT}\r?(?:\n|\Z))*", re.ASCII
)
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
NO_BODY = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)


class AnswerMalformedError(http.client.HTTPException):
    """The bytes are not an answer of the protocol."""


class AnswerHeaders:
    """The headers of an answer; their names are compared without case.

    :param pairs: name and value of each header, in the order of the answer.
    """

    def __init__(self, pairs: Sequence[tuple[str, str]]) -> None:
        self._pairs = pairs
        self._values: dict[str, list[str]] = {}
        for name, value in pairs:
            self._values.setdefault(name.lower(), []).append(value)

    def __getitem__(self, name: str) -> str | None:
        return self.get(name)

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header."""
        values = self._values.get(name.lower())
        return values[0] if values else default

    def get_all(self, name: str, default: list[str] | None = None) -> list[str] | None:
        """Return all values of a header."""
        return self._values.get(name.lower(), default)

    def items(self) -> Iterable[tuple[str, str]]:
        """Return name and value of each header."""
        return self._pairs


@dataclass(frozen=True, slots=True)
class ParsedHead:
    """A head that is whole.

    :ivar minor: the minor version of the protocol.
    """

    minor: int
    status: int
    reason: str
    headers: AnswerHeaders


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """How the end of a body is marked.

    :ivar chunked: whether the body comes in chunks.
    :ivar length: its bytes; None if the head names no length.
    :ivar will_close: whether the peer closes the connection after the answer.
    """

    chunked: bool
    length: int | None
    will_close: bool


def parse_head(head: bytes) -> ParsedHead:
    """Parse a head without its empty line.

    :raises AnswerMalformedError: if a line is neither a status line nor a header.
    """
    status_line, _, header_lines = head.decode("latin-1").partition("\n")
    found = STATUS_LINE.fullmatch(status_line)
    if found is None or not HEADER_LINES.fullmatch(header_lines):
        raise AnswerMalformedError("head")
    split = (line.partition(":") for line in header_lines.split("\n") if line)
    pairs = [(name, value.strip(" \t\r")) for name, _, value in split]
    reason = (found[3] or "").strip()
    return ParsedHead(int(found[1]), int(found[2]), reason, AnswerHeaders(pairs))


def check_trailer(line: bytes) -> None:
    """Check a line behind the last chunk of a body.

    :raises AnswerMalformedError: if it is no header.
    """
    if not HEADER_LINES.fullmatch(line.decode("latin-1")):
        raise AnswerMalformedError("trailer")


def body_framing(head: ParsedHead, method: str | None) -> BodyFraming:
    """Return how the body behind a head is framed.

    :param method: the method of the request, since some answers have no body.
    :raises AnswerMalformedError: if the head's framing can't be read.
    """
    headers = head.headers
    closes = _closes(head)
    if method == "HEAD" or head.status in NO_BODY:
        return BodyFraming(False, 0, closes)
    coding = headers.get("Transfer-Encoding")
    if coding is not None:
        if coding.lower() != "chunked":
            raise AnswerMalformedError("transfer coding")
        return BodyFraming(True, None, closes)
    lengths = {
        length.strip()
        for value in headers.get_all("Content-Length", [])
        for length in value.split(",")
    }
    if not lengths:
        return BodyFraming(False, None, True)
    length = lengths.pop()
    if lengths or not CONTENT_LENGTH.fullmatch(length):
        raise AnswerMalformedError("content length")
    return BodyFraming(False, int(length), closes)


def _closes(head: ParsedHead) -> bool:
    connection = (head.headers.get("Connection") or "").lower()
    if head.minor:
        return "close" in connection
    return head.headers.get("Keep-Alive") is None and "keep-alive" not in connection
