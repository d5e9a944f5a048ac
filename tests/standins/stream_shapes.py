"""Streams of odd shapes, as a stand-in for a server writes them.

A shape is named by the last part of a path, such as ``shape-crlf-stop=57-reset``: its
words in any order, each with an optional number. It strikes the first run of a request.
"""

import socket
import struct
from dataclasses import dataclass

PREFIX = "shape-"
RESET = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class StreamShape:
    """How a server frames its events, and where it breaks off.

    :ivar framing: "chunked", "length" or "unframed".
    :ivar line_end: ends each line of an event.
    :ivar burst: whether the whole body is sent in one piece and one chunk.
    :ivar short: whether the data of an event is its number and one letter.
    :ivar skip: the number of an event that is left out; 0 for none.
    :ivar plain: whether the events have no numbers.
    :ivar stop: the bytes of the framed body behind which the connection ends; None for
        the end of the body.
    :ivar resets: whether it is reset there.
    """

    framing: str = "chunked"
    line_end: bytes = b"\n"
    burst: bool = False
    short: bool = False
    skip: int = 0
    plain: bool = False
    stop: int | None = None
    resets: bool = False

    @classmethod
    def parse(cls, fault):
        """Return the shape that a path's last part names; None if it names none."""
        if not fault.startswith(PREFIX):
            return None
        words = dict.fromkeys(fault.removeprefix(PREFIX).split("-"), "")
        values = dict(word.partition("=")[::2] for word in words)
        framings = {"length", "unframed"} & values.keys()
        return cls(
            framing=framings.pop() if framings else "chunked",
            line_end=b"\r\n" if "crlf" in values else b"\n",
            burst="burst" in values,
            short="short" in values,
            skip=int(values.get("skip", 0)),
            plain="plain" in values,
            stop=int(values["stop"]) if "stop" in values else None,
            resets="reset" in values,
        )

    def body(self, events, whole=True):
        """Return the framed bytes of some events, given by number and data.

        The last one lacks its end unless it is ``whole``.
        """
        form = b"data: %b\n\n" if self.plain else b"id: %d\ndata: %b\n\n"
        written = [
            form.replace(b"\n", self.line_end) % (event[1:] if self.plain else event)
            for event in events
            if event[0] != self.skip
        ]
        if not whole:
            written[-1] = written[-1].rstrip()
        if self.burst:
            written = [b"".join(written)]
        if self.framing == "chunked":
            chunks = (b"%x\r\n%b\r\n" % (len(event), event) for event in written)
            return b"".join(chunks) + b"0\r\n\r\n"
        return b"".join(written)

    def head(self, body):
        """Return the headers that frame a body."""
        if self.framing == "chunked":
            return [("Transfer-Encoding", "chunked")]
        return [("Content-Length", str(len(body)))] if self.framing == "length" else []

    def write(self, sock, body):
        """Write the body, and end the connection where the shape says so.

        :raises OSError: if the connection is to be closed now.
        """
        sock.sendall(body[: self.stop])
        if self.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if self.stop is not None or self.framing == "unframed":
            raise OSError("end")


def shift_events(events, first, way):
    """Return the events behind the caller's last one as a server goes on with them.

    :param events: number and data of all events of the stream.
    :param first: the number of the event at which the server should go on.
    :param way: "proper"; "repeated" from the beginning; "renumbered" from 1 on;
        "rewritten", which repeats other data; "shortened", which repeats the beginning
        alone; "early", which goes on behind one event more; or "half-ended", which ends
        within the first event that it sends.
    """
    rest = events[first - 1 :]
    return {
        "proper": rest,
        "repeated": events,
        "renumbered": [(n, data) for n, (_, data) in enumerate(rest, 1)],
        "rewritten": [(n, b"other " + data) for n, data in events],
        "shortened": events[: max(0, first - 2)],
        "early": rest[1:],
        "half-ended": rest[:1],
    }[way]
