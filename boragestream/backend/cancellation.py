"""Cancels blocking calls: by deadline, by a caller that has gone, by choice.

A call that blocks in a socket cannot look at a flag, so a scope shuts its sockets
down; the call then fails at once and asks the scope why. One watchdog thread looks
after all scopes of an entry.
"""

import contextlib
import socket
import threading
from collections.abc import Callable

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.failures import CallerGone, DeadlinePassed
from boragestream.base.memory_budget import MemoryCharge
from boragestream.base.outcomes import Failure
from boragestream.base.pauses import PauseMeter

__all__ = ["CancelScope", "Watchdog"]

WATCH_INTERVAL_SECONDS = 0.02


class CancelScope:
    """The sockets that one request or one attempt is blocked in.

    :param deadline: the clock's seconds at which the scope is cancelled.
    :param caller_gone: tells whether the caller has closed its connection.
    :param cancelled: called once when the scope is cancelled.
    :param held: the charge for answers that are read within the scope; None if they are
        not counted.
    """

    def __init__(
        self,
        deadline: float,
        caller_gone: Callable[[], bool] | None = None,
        cancelled: Callable[[], None] | None = None,
        held: MemoryCharge | None = None,
    ) -> None:
        self._deadline = deadline
        self._held = held
        self._caller_gone = caller_gone
        self._cancelled = cancelled
        self._reason: Failure | None = None
        self._sockets: set[socket.socket] = set()
        self._children: set[CancelScope] = set()
        self._lock = threading.Lock()

    @property
    def deadline(self) -> float:
        """The clock's seconds at which the scope is cancelled."""
        return self._deadline

    @property
    def held(self) -> MemoryCharge | None:
        """The charge for answers that are read within the scope."""
        return self._held

    @property
    def reason(self) -> Failure | None:
        """Why the scope was cancelled; None while it is not."""
        return self._reason

    def child(self, deadline: float | None = None) -> "CancelScope":
        """Return a scope that is cancelled with this one, or alone.

        :param deadline: its own deadline, None for this scope's; never a later one.
        """
        own = self._deadline if deadline is None else min(deadline, self._deadline)
        scope = CancelScope(own, held=self._held)
        with self._lock:
            scope._reason = self._reason
            self._children.add(scope)
        return scope

    def close_child(self, scope: "CancelScope") -> None:
        """Forget a child that has ended."""
        with self._lock:
            self._children.discard(scope)

    def add(self, sock: socket.socket) -> None:
        """Register a socket; it is shut down at once if the scope is cancelled."""
        with self._lock:
            self._sockets.add(sock)
            if self._reason is not None:
                _shut_down(sock)

    def remove(self, sock: socket.socket) -> None:
        """Forget a socket; no shutdown of it is under way when this returns."""
        with self._lock:
            self._sockets.discard(sock)

    def release(self, sock: socket.socket) -> bool:
        """Forget a socket and tell whether it was spared; False once cancelled."""
        with self._lock:
            self._sockets.discard(sock)
            return self._reason is None

    def cancel(self, reason: Failure) -> None:
        """Cancel the scope and its children; the first reason stays."""
        with self._lock:
            if self._reason is not None:
                return
            self._reason = reason
            children = list(self._children)
            # Under the lock, so that no socket is given on or closed meanwhile,
            # and its number taken by another.
            for sock in self._sockets:
                _shut_down(sock)
        for child in children:
            child.cancel(reason)
        if self._cancelled is not None:
            self._cancelled()

    def check(self, now: float) -> None:
        """Cancel the scope where its deadline has passed or its caller has gone."""
        if self._reason is not None:
            return
        if now >= self._deadline:
            self.cancel(DeadlinePassed("wait"))
        elif self._caller_gone is not None and self._caller_gone():
            self.cancel(CallerGone())


class Watchdog:
    """One thread that checks every open scope.

    :param clock: the clock of the scopes' deadlines.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._scopes: set[CancelScope] = set()
        self._ended: Failure | None = None
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._arrivals = PauseMeter(clock)

    @property
    def arrivals(self) -> PauseMeter:
        """The clock by which requests arrive."""
        return self._arrivals

    def open(self, scope: CancelScope) -> None:
        """Begin to look after a scope; cancel it at once after ``cancel_all``."""
        with self._lock:
            self._scopes.add(scope)
            ended = self._ended
        if ended is not None:
            scope.cancel(ended)

    def close(self, scope: CancelScope) -> None:
        """Stop looking after a scope."""
        with self._lock:
            self._scopes.discard(scope)

    def cancel_all(self, reason: Failure) -> None:
        """Cancel every scope that is open, and those that are opened from now on."""
        with self._lock:
            self._ended = reason
            scopes = list(self._scopes)
        for scope in scopes:
            scope.cancel(reason)

    def stop(self) -> None:
        """End ``run``."""
        self._stopped.set()

    def run(self) -> None:
        """Check the scopes until ``stop``; the task of one thread."""
        while not self._stopped.wait(WATCH_INTERVAL_SECONDS):
            self._arrivals.tick()
            with self._lock:
                scopes = list(self._scopes)
            now = self._clock.now()
            for scope in scopes:
                self._check(scope, now)

    def _check(self, scope: CancelScope, now: float) -> None:
        # Every deadline of the entry hangs on this thread, so that one faulty scope
        # may not end it.
        try:
            scope.check(now)
        except Exception as error:
            emit(Event.TASK_FAILED, task="watchdog", error=repr(error))


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
