"""Compares the processor time of ways to read the answers of backend servers.

Usage: python -m bench.answer_reading

Each way reads the same answers from one connection: the head, with what an entry looks
up in it, and the whole body. The ways take turns, and the time of sending is part of
each. Ways that need a library are left out where it is not installed (``h11``,
``httptools``); neither is a dependency of the project. Writes
bench/results/answer-reading.json.
"""

import http.client
import json
import os
import socket
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from boragestream.base.answer_head import AnswerHeaders
from boragestream.base.answer_reader import AnswerReader
from boragestream.platform.wire import read_answer_head

try:
    import h11
    import httptools
except ImportError:
    h11 = httptools = None

RESULT = Path(__file__).parent / "results" / "answer-reading.json"
ANSWERS_A_ROUND = 1_000
ROUNDS = 15
READ_BYTES = 65_536
HEADERS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Request-Id: 9c41d07be2a35f68\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"Server-Load: 3,0,8\r\nKeep-Alive: timeout=15\r\n"
)
BODY = b"x" * 800
EVENT = b"id: 12\ndata: " + b"w" * 40 + b"\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
ANSWERS = {
    "800 bytes with a length": HEADERS + b"Content-Length: 800\r\n\r\n" + BODY,
    "13 events in chunks": HEADERS
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + CHUNK * 13
    + b"0\r\n\r\n",
}


def read_with_client(sock: socket.socket) -> None:
    """Read an answer with ``http.client``."""
    response = http.client.HTTPResponse(sock, method="POST")
    response.begin()
    read_answer_head(response)
    response.read()


def read_whole(sock: socket.socket) -> None:
    """Read an answer with the project's reader."""
    response = AnswerReader(sock, method="POST")
    response.begin()
    read_answer_head(response)
    response.read()


class _Collector:
    """Takes the callbacks of ``httptools``."""

    def __init__(self) -> None:
        self.reason = ""
        self.pairs: list[tuple[str, str]] = []
        self.parts: list[bytes] = []
        self.whole = False

    def on_status(self, status: bytes) -> None:
        self.reason = status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.pairs.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.whole = True


def read_with_httptools(sock: socket.socket) -> None:
    """Read an answer with ``httptools``."""
    collector = _Collector()
    parser = httptools.HttpResponseParser(collector)
    while not collector.whole:
        parser.feed_data(sock.recv(READ_BYTES))
    read_answer_head(
        SimpleNamespace(
            status=parser.get_status_code(),
            reason=collector.reason,
            headers=AnswerHeaders(collector.pairs),
            will_close=not parser.should_keep_alive(),
        )
    )
    b"".join(collector.parts)


def read_with_h11(sock: socket.socket) -> None:
    """Read an answer with ``h11``."""
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method="POST", target="/", headers=[("Host", "x")])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    parts: list[bytes] = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(sock.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            pairs = [(n.decode(), v.decode()) for n, v in event.headers.raw_items()]
            read_answer_head(
                SimpleNamespace(
                    status=event.status_code,
                    reason=event.reason.decode(),
                    headers=AnswerHeaders(pairs),
                    will_close=False,
                )
            )
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            break
    b"".join(parts)


def microseconds(read: Callable[[socket.socket], None], answer: bytes) -> float:
    """Return the processor time of one answer."""
    server, caller = socket.socketpair()
    with server, caller:
        began = time.process_time()
        for _ in range(ANSWERS_A_ROUND):
            server.sendall(answer)
            read(caller)
        return (time.process_time() - began) / ANSWERS_A_ROUND * 1e6


def main() -> None:
    """Print and write the median of each way."""
    ways = {"http.client": read_with_client, "answer_reader": read_whole}
    if h11 is not None:
        ways |= {"httptools": read_with_httptools, "h11": read_with_h11}
    result = {}
    for name, answer in ANSWERS.items():
        rounds = [
            {way: microseconds(read, answer) for way, read in ways.items()}
            for _ in range(ROUNDS)
        ]
        result[name] = {
            way: round(statistics.median(times[way] for times in rounds), 1)
            for way in ways
        }
        print(name, result[name])
    text = json.dumps(
        {
            "what": "microseconds of processor time an answer, median of the rounds",
            "rounds": ROUNDS,
            "cores": os.cpu_count(),
            "note": "the machine was shared with other work",
            "microseconds": result,
        },
        indent=2,
    )
    RESULT.write_text(text + "\n")


if __name__ == "__main__":
    main()
