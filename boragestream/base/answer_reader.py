"""Reads HTTP/1.1 answers; one that ends early, or never, is an error.

The answers of backend servers, of other entries and of the platform are read here. A
head is whole once its empty line was read. A body is whole once all bytes of its
length, or its last chunk and the end of its trailers, were read; a body without either
ends with its connection, unless this process ended the connection itself or could not
send the whole call.

Each part of an answer has a bound far above what sound servers send, so that a server
that sends bytes without end costs little processor time.

``AnswerReader`` replaces ``http.client.HTTPResponse``, which treats the end of a
connection as the end of a head, of trailers, and of a body without a length. Parsing
heads is left to ``base.answer_head``, and timeouts to the socket and its owner.
"""

import http.client
import re
import socket
import time
from collections.abc import Callable
from functools import partial

from boragestream.base.answer_head import (
    AnswerHeaders,
    AnswerMalformedError,
    BodyFraming,
    ParsedHead,
    body_framing,
    check_trailer,
    parse_head,
)

__all__ = [
    "AnswerBoundError",
    "AnswerConnection",
    "AnswerCutError",
    "AnswerReader",
]

READ_BYTES = 65_536
# All heads of an answer together, with the interim ones. Sound servers send some
# hundred bytes; proxies take 8 to 64 KiB.
MAX_HEAD_BYTES = 65_536
MAX_HEAD_LINES = 128
# Sound servers send one or two before the final head.
MAX_INTERIM_HEADS = 16
MAX_TRAILER_BYTES = 8_192
# The size of a chunk with its extensions.
MAX_CHUNK_LINE_BYTES = 1_024
# The framing of chunks may have as many bytes as the body, and this many more. A chunk
# with one event of a stream has six or seven bytes of framing.
FRAMING_SLACK_BYTES = 16_384
MAX_BODY_BYTES = 16 * 1_048_576
# An empty line, also with bare line feeds, which some servers send.
HEAD_END = re.compile(rb"\n\r?\n")
HEAD_END_OVERLAP = 2
PROTOCOL = b"HTTP/1."
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
LINE_ENDS = (b"\r\n", b"\n")


class AnswerCutError(http.client.HTTPException):
    """The connection ended before the answer was whole."""


class AnswerBoundError(http.client.HTTPException):
    """A part of the answer is longer than any of a sound server.

    :param bound: the bound that was reached, with its unit.
    """

    def __init__(self, bound: str) -> None:
        super().__init__(bound)
        self._bound = bound

    @property
    def bound(self) -> str:
        """The bound that was reached."""
        return self._bound


class AnswerReader:
    """Reads one answer from a connection; has the interface of ``HTTPResponse``.

    :param sock: the connection; its timeout bounds each wait for bytes.
    :param method: the method of the request, since some answers have no body.
    :param end_is_unknown: returns whether the end of the connection says nothing about
        the answer: this process shut it down, or a failed send has consumed the error
        that a read would raise.
    :param expires_at: the monotonic clock's seconds after which no bytes are read; None
        where something else ends a call that takes too long.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        end_is_unknown: Callable[[], bool] = lambda: False,
        expires_at: float | None = None,
    ) -> None:
        self._sock = sock
        # Keeps the socket open if ``HTTPConnection`` closes it after the head.
        self._reference = sock.makefile("rb", buffering=0)
        self._method = method
        self._end_is_unknown = end_is_unknown
        self._expires_at = expires_at
        self._buffer = bytearray()
        self._head = ParsedHead(1, 0, "", AnswerHeaders(()))
        self._framing = BodyFraming(False, None, True)
        # The bytes of the body that are left to read; None if it names no length.
        self._length: int | None = None
        # The bytes and lines that heads may still have, and the bytes of the body.
        self._head_left = MAX_HEAD_BYTES
        self._lines_left = MAX_HEAD_LINES
        self._body_left = MAX_BODY_BYTES
        self._framing_left = FRAMING_SLACK_BYTES
        self._chunk_left = 0
        # Whether the line end behind a chunk's bytes has yet to be read.
        self._chunk_open = False
        self._whole = False

    @property
    def status(self) -> int:
        """The status code."""
        return self._head.status

    @property
    def reason(self) -> str:
        """The reason phrase."""
        return self._head.reason

    @property
    def headers(self) -> AnswerHeaders:
        """The headers."""
        return self._head.headers

    @property
    def chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return self._framing.chunked

    @property
    def length(self) -> int | None:
        """The bytes of the body that are left to read; None if it names no length."""
        return self._length

    @property
    def framed(self) -> bool:
        """Whether the body's end is marked by a length or a last chunk."""
        return self._framing.chunked or self._framing.length is not None

    @property
    def will_close(self) -> bool:
        """Whether the peer closes the connection after the answer."""
        return self._framing.will_close

    @property
    def has_excess(self) -> bool:
        """Whether bytes came that belong to no answer."""
        return self._whole and bool(self._buffer)

    def begin(self) -> None:
        """Read the head.

        :raises OSError: if the connection breaks.
        :raises http.client.HTTPException: if the head isn't whole or can't be read.
        """
        self._head = self._read_head()
        interim = 0
        while self.status < http.HTTPStatus.OK:
            interim += 1
            if interim > MAX_INTERIM_HEADS:
                raise AnswerBoundError(f"{MAX_INTERIM_HEADS} interim heads")
            # No request of this process asks to change the protocol.
            if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise AnswerMalformedError("status 101")
            self._head = self._read_head()
        self._framing = body_framing(self._head, self._method)
        self._length = self._framing.length
        if self._length is not None:
            # An answer that will be too long isn't begun.
            self._count_body(self._length)
        if self._length == 0:
            self._finish()

    def read(self, size: int | None = None) -> bytes:
        """Return the rest of the body, or its next bytes.

        :param size: the most bytes to return; None for all.
        :raises OSError: if the connection breaks.
        :raises http.client.HTTPException: if the answer isn't whole.
        """
        parts: list[bytes] = []
        left = size
        while left is None or left > 0:
            data = self.read1(READ_BYTES if left is None else left)
            if not data:
                break
            parts.append(data)
            if left is not None:
                left -= len(data)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def read1(self, size: int = READ_BYTES) -> bytes:
        """Return bytes of the body as soon as there are any; none at its end.

        :param size: the most bytes to return.
        :raises OSError: if the connection breaks.
        :raises http.client.HTTPException: if the answer isn't whole.
        """
        if self._whole:
            return b""
        if self._framing.chunked:
            return self._read_chunked(size)
        if self._length is None:
            data = self._take(size)
            self._count_body(len(data))
            if not data:
                if self._end_is_unknown():
                    raise AnswerCutError("body cut: the connection may have been reset")
                self._finish()
            return data
        data = self._take_some(min(size, self._length), "body")
        self._length -= len(data)
        if not self._length:
            self._finish()
        return data

    def isclosed(self) -> bool:
        """Return whether there is nothing left to read."""
        return self._reference.closed

    def close(self) -> None:
        """Give the connection up; nothing can be read any more."""
        self._reference.close()

    def _read_head(self) -> ParsedHead:
        head = self._take_head()
        self._lines_left -= head.count(b"\n") + 1
        if self._lines_left < 0:
            raise AnswerBoundError(f"{MAX_HEAD_LINES} lines of head")
        return parse_head(head)

    def _take_head(self) -> bytes:
        """Return a head without its empty line."""
        buffer, searched = self._buffer, 0
        while (end := HEAD_END.search(buffer, searched)) is None:
            searched = max(0, len(buffer) - HEAD_END_OVERLAP)
            begin = bytes(buffer[: len(PROTOCOL)])
            if begin != PROTOCOL[: len(begin)]:
                raise AnswerMalformedError("status line")
            self._check_head(len(buffer))
            if not self._fill():
                if not buffer:
                    raise http.client.RemoteDisconnected("no answer")
                raise AnswerCutError(f"head cut after {len(buffer)} bytes")
        self._check_head(end.end())
        self._head_left -= end.end()
        head = bytes(buffer[: end.start()])
        del buffer[: end.end()]
        return head

    def _check_head(self, size: int) -> None:
        if size > self._head_left:
            raise AnswerBoundError(f"{MAX_HEAD_BYTES} bytes of head")

    def _read_chunked(self, size: int) -> bytes:
        if not self._chunk_left:
            self._begin_chunk()
            if self._whole:
                return b""
        data = self._take_some(min(size, self._chunk_left), "chunk")
        self._chunk_left -= len(data)
        self._count_body(len(data))
        self._framing_left += len(data)
        return data

    def _begin_chunk(self) -> None:
        """Read the line that begins a chunk; after the last one, the trailers."""
        if self._chunk_open and self._take_chunk_line() not in LINE_ENDS:
            raise AnswerMalformedError("end of a chunk")
        found = CHUNK_SIZE.fullmatch(self._take_chunk_line())
        if found is None:
            raise AnswerMalformedError("chunk size")
        self._chunk_left = int(found[1], 16)
        self._chunk_open = True
        if not self._chunk_left:
            self._read_trailers()
            self._finish()

    def _take_chunk_line(self) -> bytes:
        bound = f"{MAX_CHUNK_LINE_BYTES} bytes of a chunk's size"
        line = self._take_line(MAX_CHUNK_LINE_BYTES, bound)
        self._framing_left -= len(line)
        if self._framing_left < 0:
            raise AnswerBoundError("more bytes of framing than of the body")
        return line

    def _read_trailers(self) -> None:
        left, bound = MAX_TRAILER_BYTES, f"{MAX_TRAILER_BYTES} bytes of trailers"
        while (line := self._take_line(left, bound)) not in LINE_ENDS:
            check_trailer(line)
            left -= len(line)

    def _take_line(self, limit: int, bound: str) -> bytes:
        """Return the next line with its end.

        :param limit: the most bytes that it may have.
        :param bound: names the bound to which the limit belongs.
        """
        buffer, searched = self._buffer, 0
        while (end := buffer.find(b"\n", searched, limit)) < 0:
            if len(buffer) >= limit:
                raise AnswerBoundError(bound)
            searched = len(buffer)
            if not self._fill():
                raise AnswerCutError("chunks cut")
        line = bytes(buffer[: end + 1])
        del buffer[: end + 1]
        return line

    def _count_body(self, size: int) -> None:
        self._body_left -= size
        if self._body_left < 0:
            raise AnswerBoundError(f"{MAX_BODY_BYTES} bytes of body")

    def _take_some(self, size: int, part: str) -> bytes:
        """Return up to so many bytes, at least one."""
        data = self._take(size)
        if not data:
            raise AnswerCutError(f"{part} cut")
        return data

    def _take(self, size: int) -> bytes:
        """Return up to so many bytes; none at the end of the connection."""
        if not self._buffer:
            return self._receive(size)
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    def _fill(self) -> bool:
        """Read more bytes into the buffer; return False at the connection's end."""
        data = self._receive(READ_BYTES)
        self._buffer += data
        return bool(data)

    def _receive(self, size: int) -> bytes:
        if self._reference.closed:
            raise AnswerCutError("closed here")
        if self._expires_at is not None:
            left = self._expires_at - time.monotonic()
            if left <= 0:
                raise TimeoutError("answer not whole in time")
            self._sock.settimeout(left)
        return self._sock.recv(size)

    def _finish(self) -> None:
        self._whole = True
        self._reference.close()


class AnswerConnection(http.client.HTTPConnection):
    """A connection whose answers are read by ``AnswerReader``."""

    response_class = AnswerReader

    def limit_answer(self, seconds: float) -> None:
        """Bound the time from now on until the next answer is whole."""
        expires_at = time.monotonic() + seconds
        self.response_class = partial(AnswerReader, expires_at=expires_at)
