"""Sends bytes as they are to the caller port of an entry."""

import re
import socket

from tests.standins.fleet import ADDRESS

WAIT_SECONDS = 60
READ_BYTES = 65536


def post(headers=(), body=b"", path=b"/v1/pipelines/caption", key=""):
    """Return a request of bytes as they are."""
    sent = [b"POST " + path + b" HTTP/1.1", b"Host: x"]
    if key:
        sent.append(b"Authorization: Bearer " + key.encode("koi8-r"))
    return b"\r\n".join([*sent, *headers, b"", body])


def sized(body, headers=(), **options):
    """Return a request whose body has its true length."""
    return post([b"Content-Length: %d" % len(body), *headers], body, **options)


def connect(port):
    """Connect to a port."""
    return socket.create_connection((ADDRESS, port), WAIT_SECONDS)


def exchange(port, request):
    """Send a request and return the answer, head and body."""
    with connect(port) as sock:
        sock.sendall(request)
        return read_answer(sock)


def read_answer(sock):
    """Read one answer with its body; what is there where the connection ends."""
    answer = b""
    while True:
        head, _, body = answer.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if length and len(body) >= int(length[1]):
            return answer
        part = sock.recv(READ_BYTES)
        if not part:
            return answer
        answer += part
