"""Runs callers' requests in threads that are started on demand.

waitress starts all of its threads at once. Most entries of a large deployment need only
a few, and each thread's stack costs memory and start time on a small instance.
"""

from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from boragestream.base.events import Event, describe_error, emit

__all__ = ["GrowingDispatcher"]


class ServedTask(Protocol):
    """A connection whose request waits for a thread."""

    def service(self) -> None:
        """Serve the request."""


class GrowingDispatcher:
    """The dispatcher of a waitress server.

    :param threads: the maximum number of requests served at once.
    """

    def __init__(self, threads: int) -> None:
        self._threads = ThreadPoolExecutor(threads, "caller")

    def set_thread_count(self, count: int) -> None:
        """Do nothing: waitress calls this, but the maximum of threads is fixed."""

    def add_task(self, task: ServedTask) -> None:
        """Queue a task for the next free thread."""
        self._threads.submit(_serve, task)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Accept no more tasks; waitress calls this when its loop ends."""
        self._threads.shutdown(wait=False, cancel_futures=cancel_pending)
        return True


def _serve(task: ServedTask) -> None:
    try:
        task.service()
    except Exception as error:
        emit(Event.TASK_FAILED, task="caller", error=describe_error(error))
