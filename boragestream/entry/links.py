"""Request and reply between entries over pynng.

This module only transports messages. Its users decide which peer to call, how often,
and how to handle an answer. nng's automatic resending of requests is switched off.
"""

import contextlib
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import pynng

from boragestream.base.events import Event, describe_error, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.messages import (
    MAX_MESSAGE_BYTES,
    Envelope,
    Message,
    MessageRefused,
    Rejected,
    Sender,
    open_envelope,
    seal,
)
from boragestream.entry.tls import PeerTls

__all__ = [
    "LISTENER_TASKS",
    "Handler",
    "PeerLinks",
    "PeerListener",
    "PeerMeter",
    "PeerRejected",
    "PeerUnreachable",
]

Handler = Callable[[Envelope, Message], Message]

LISTENER_TASKS = 8
# The most idle sockets kept open to one peer. A socket that failed is never kept.
MAX_IDLE_SOCKETS = 2
NO_RESEND_MS = -1
RECONNECT_MIN_MS = 50
# Limits how often idle sockets redial a region that is unreachable. A request that
# fails closes its socket, so that the next request dials at once.
RECONNECT_MAX_MS = 10_000


@dataclass(frozen=True, slots=True)
class PeerUnreachable(Failure):
    """A peer gave no answer.

    :ivar address: the peer's address.
    :ivar reason: the class name of nng's exception.
    """

    address: str
    reason: str


@dataclass(frozen=True, slots=True)
class PeerRejected(Failure):
    """A peer answered that it did not take the message.

    :ivar address: the peer's address.
    :ivar code: the code of the peer's failure.
    """

    address: str
    code: str


class PeerMeter(Protocol):
    """Measures requests to peers and extends their time-outs."""

    def allowance_seconds(self, address: str, message: Message) -> float:
        """Return the seconds by which the time-out of a request is longer."""

    def note_answer(
        self, address: str, message: Message, size: int, seconds: float
    ) -> None:
        """Record an answer.

        :param size: the bytes of the request and the answer.
        :param seconds: the time from the sending of the request to the answer.
        """

    def note_missed(
        self, address: str, message: Message, size: int, seconds: float
    ) -> None:
        """Record that an answer was missing.

        :param size: the bytes of the request.
        :param seconds: the time since the request began.
        """


def _url(address: str, tls: PeerTls | None) -> str:
    return f"tls+tcp://{address}" if tls else f"tcp://{address}"


class PeerLinks:
    """A pool of sockets to other entries, one socket for each request in progress.

    pynng's contexts would let one socket carry several requests, but they ignore their
    timeouts (pynng 0.9.0): a request to a silent peer would never end.

    :param sender: this entry's identity.
    :param tls: the TLS configuration; None for unencrypted connections.
    :param meter: measures the requests; None if nothing depends on them.
    """

    def __init__(
        self,
        sender: Sender,
        tls: PeerTls | None = None,
        meter: PeerMeter | None = None,
    ) -> None:
        self._sender = sender
        self._tls = tls
        self._meter = meter
        self._idle: dict[str, list[pynng.Req0]] = {}
        self._lock = threading.Lock()

    def ask(
        self, address: str, message: Message, seconds: float
    ) -> Message | PeerUnreachable | PeerRejected | MessageRefused:
        """Send a message to a peer and wait for its answer.

        :param address: the peer's ``address:port``.
        :param seconds: the timeout; the meter may extend it.
        """
        frame = seal(self._sender, message)
        if self._meter is not None:
            seconds += self._meter.allowance_seconds(address, message)
        sock = self._acquire(address)
        try:
            answer, answer_seconds = _request(sock, frame, seconds)
        except pynng.NNGException as error:
            # A late answer must not be read by the next request, and a new connection
            # can succeed where the old one is cut off by a network partition.
            sock.close()
            if self._meter is not None:
                self._meter.note_missed(address, message, len(frame), seconds)
            return PeerUnreachable(address, type(error).__name__)
        self._release(address, sock)
        if self._meter is not None:
            size = len(frame) + len(answer)
            self._meter.note_answer(address, message, size, answer_seconds)
        opened = open_envelope(self._sender, answer)
        if isinstance(opened, MessageRefused):
            return opened
        if isinstance(opened[1], Rejected):
            return PeerRejected(address, opened[1].code)
        return opened[1]

    def forget(self, address: str) -> None:
        """Close the idle sockets to a peer that has left."""
        with self._lock:
            socks = self._idle.pop(address, [])
        for sock in socks:
            sock.close()

    def close(self) -> None:
        """Close every idle socket."""
        for address in list(self._idle):
            self.forget(address)

    def _acquire(self, address: str) -> pynng.Req0:
        with self._lock:
            idle = self._idle.get(address)
            if idle:
                return idle.pop()
        sock = pynng.Req0(
            resend_time=NO_RESEND_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
            tls_config=self._tls.dialling if self._tls else None,
        )
        sock.dial(_url(address, self._tls), block=False)
        return sock

    def _release(self, address: str, sock: pynng.Req0) -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < MAX_IDLE_SOCKETS:
                idle.append(sock)
                return
        sock.close()


def _request(sock: pynng.Req0, frame: bytes, seconds: float) -> tuple[bytes, float]:
    """Return the answer and the time from the sending of the frame to the answer.

    nng sends the frame once the connection is established, so that the time does not
    contain the round trips of a new connection.
    """
    started_at = time.monotonic()
    sock.send_timeout = _milliseconds(seconds)
    sock.send(frame)
    sent_at = time.monotonic()
    sock.recv_timeout = _milliseconds(seconds - (sent_at - started_at))
    return sock.recv(), time.monotonic() - sent_at


def _milliseconds(seconds: float) -> int:
    return max(1, int(seconds * 1000))


class PeerListener:
    """Answers the messages of other entries.

    :param sender: this entry's identity.
    :param address: the ``address:port`` to listen on.
    :param handlers: the handler for each type of message.
    :param tls: the TLS configuration; None for unencrypted connections.
    """

    def __init__(
        self,
        sender: Sender,
        address: str,
        handlers: Mapping[type, Handler],
        tls: PeerTls | None = None,
    ) -> None:
        self._sender = sender
        self._handlers = handlers
        self._socket = pynng.Rep0(
            recv_max_size=MAX_MESSAGE_BYTES,
            tls_config=tls.listening if tls else None,
        )
        self._socket.listen(_url(address, tls))

    def run(self) -> None:
        """Answer messages one at a time until ``close``; several tasks run this."""
        # Closing the context of a socket that is already closed raises ``Closed``.
        with contextlib.suppress(pynng.Closed), self._socket.new_context() as context:
            while True:
                try:
                    frame = context.recv()
                except pynng.Closed:
                    return
                except pynng.NNGException as error:
                    emit(Event.PEER_FRAME_REFUSED, reason=type(error).__name__)
                    continue
                self._reply(context, self._answer(frame))

    def close(self) -> None:
        """Stop listening and make every ``run`` return."""
        self._socket.close()

    def _answer(self, frame: bytes) -> Message:
        opened = open_envelope(self._sender, frame)
        if isinstance(opened, MessageRefused):
            emit(Event.PEER_FRAME_REFUSED, reason=opened.reason)
            return Rejected(opened.code)
        envelope, message = opened
        handler = self._handlers.get(type(message))
        if handler is None:
            return Rejected(MessageRefused("not a request").code)
        try:
            return handler(envelope, message)
        except Exception as error:
            emit(Event.TASK_FAILED, task="peer handler", error=describe_error(error))
            return Rejected("handler-failed")

    def _reply(self, context: pynng.Context, message: Message) -> None:
        try:
            context.send(seal(self._sender, message))
        except pynng.NNGException as error:
            emit(Event.PEER_FRAME_REFUSED, reason=type(error).__name__)
