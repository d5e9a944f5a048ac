"""Reading and sending with a bound on what a server's connection may hold.

It answers the load of servers that stop reading and of answers that together exceed the
entry's memory: a call that is not read is given up after some seconds, and an answer is
read only once its bytes are granted.
"""

import select
import socket
from collections.abc import Sequence

from boragestream.backend.cancellation import CancelScope
from boragestream.backend.failures import (
    AnswerUnread,
    AttemptFailure,
    CallUnread,
    Ran,
)
from boragestream.base.answer_reader import AnswerReader
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind

__all__ = ["join_blocks", "read_bounded", "send_bounded", "wait_for_bytes"]

# A server that reads no byte for this long has stopped reading. The kernel ends such a
# connection after 2.5 s (``base.liveness``) and does not tell it from a lost one.
UNREAD_CALL_SECONDS = 2.0
# Servers cut off an answer that remains unread for some seconds.
WAIT_FOR_MEMORY_SECONDS = 2.0
BLOCK_BYTES = 65_536


def send_bounded(
    sock: socket.socket, server: str, parts: Sequence[bytes]
) -> CallUnread | None:
    """Send a call unless the server stops reading it.

    :param server: the server's name.
    :param parts: the bytes of the call.
    :returns: the failure of a call that made no progress; None if it was sent, or if
        the server answers before it has read everything.
    :raises OSError: if the connection breaks.
    """
    limit = sock.gettimeout()
    seconds = UNREAD_CALL_SECONDS
    if limit is not None:
        seconds = min(limit, UNREAD_CALL_SECONDS)
    size, sent = sum(len(part) for part in parts), 0
    sock.settimeout(seconds)
    try:
        for part in parts:
            rest = memoryview(part)
            while rest:
                count = sock.send(rest)
                sent += count
                rest = rest[count:]
    except TimeoutError:
        if _has_input(sock):
            raise
        ran = Ran.MAY_HAVE_RUN if sent else Ran.NOT_SENT
        return CallUnread(server, ran, sent, size, seconds)
    finally:
        sock.settimeout(limit)
    return None


def read_bounded(
    response: AnswerReader,
    server: str,
    memory: MemoryBudget,
    scope: CancelScope,
) -> list[bytes] | AttemptFailure:
    """Read the whole body of an answer once its bytes are granted.

    The bytes stay charged to the scope's charge, or, if it has none, while they are
    read.

    :param server: the server's name.
    :returns: the body in blocks, so that each can be dropped once it was passed on.
    :raises OSError: if the connection breaks.
    :raises http.client.HTTPException: if the answer isn't whole, or is too long.
    """
    held = scope.held
    charge = held or MemoryCharge(memory, MemoryKind.ANSWER)
    try:
        length = response.length
        if length is not None and not wait_for_bytes(charge, length, scope):
            return AnswerUnread(server, Ran.MAY_HAVE_RUN, length)
        if length is not None and length <= BLOCK_BYTES:
            return [response.read()] if length else []
        return _read_blocks(response, server, None if length else charge, scope)
    finally:
        if held is None:
            charge.release()


def join_blocks(blocks: list[bytes]) -> bytearray:
    """Return the blocks as one; each is dropped as soon as it was copied."""
    joined = bytearray()
    blocks.reverse()
    while blocks:
        joined += blocks.pop()
    return joined


def _read_blocks(
    response: AnswerReader,
    server: str,
    charge: MemoryCharge | None,
    scope: CancelScope,
) -> list[bytes] | AttemptFailure:
    """Read blocks up to the end of the body.

    :param charge: is charged for each block before it is read, since the answer names
        no length; None if all are charged.
    """
    blocks: list[bytes] = []
    while True:
        if charge is not None and not wait_for_bytes(charge, BLOCK_BYTES, scope):
            return AnswerUnread(server, Ran.MAY_HAVE_RUN, len(blocks) * BLOCK_BYTES)
        block = response.read(BLOCK_BYTES)
        if charge is not None:
            charge.give(BLOCK_BYTES - len(block))
        if not block:
            return blocks
        blocks.append(block)


def wait_for_bytes(charge: MemoryCharge, size: int, scope: CancelScope) -> bool:
    """Charge bytes as soon as they are granted; return False if they are not."""
    return charge.wait_and_reserve(
        size, WAIT_FOR_MEMORY_SECONDS, lambda: scope.reason is not None
    )


def _has_input(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
