"""Runs the background tasks of an entry, each in a thread of its own."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from boragestream.base.events import Event, describe_error, emit

__all__ = ["BackgroundTasks"]

TASK_THREADS = 24


class BackgroundTasks:
    """Runs tasks in a thread pool and logs each task that fails."""

    def __init__(self) -> None:
        self._threads = ThreadPoolExecutor(TASK_THREADS, "task")

    def start(self, task: Callable[[], object]) -> None:
        """Run a task in a thread of its own until it returns."""
        self._threads.submit(_run, task)


def _run(task: Callable[[], object]) -> None:
    try:
        task()
    except Exception as error:
        name = getattr(task, "func", task).__qualname__
        emit(Event.TASK_FAILED, task=name, error=describe_error(error))
        raise
