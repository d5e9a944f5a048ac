"""Runs callers' requests in threads that are started when they are needed.

waitress starts all of its threads at once. Most entries of a large deployment need a
few, and a stack costs memory and start time on a small instance.
"""

from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from boragestream.base.events import Event, describe_error, emit

__all__ = ["GrowingDispatcher"]


class ServedTask(Protocol):
    """A connection with a request that waits for a thread."""

    def service(self) -> None:
        """Serve it."""


class GrowingDispatcher:
    """The dispatcher of a waitress server.

    :param threads: the most requests that are served at once.
    """

    def __init__(self, threads: int) -> None:
        self._threads = ThreadPoolExecutor(threads, "caller")

    def set_thread_count(self, count: int) -> None:
        """Do nothing; waitress calls it, and the number of threads is fixed."""

    def add_task(self, task: ServedTask) -> None:
        """Have a task served by the next free thread."""
        self._threads.submit(_serve, task)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Take no more tasks; waitress calls it when its loop ends."""
        self._threads.shutdown(wait=False, cancel_futures=cancel_pending)
        return True


def _serve(task: ServedTask) -> None:
    try:
        task.service()
    except Exception as error:
        emit(Event.TASK_FAILED, task="caller", error=describe_error(error))
