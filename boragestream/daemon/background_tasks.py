"""The tasks of an entry that run beside its requests, each in a thread of its own."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from boragestream.base.events import Event, describe_error, emit

__all__ = ["BackgroundTasks"]

TASK_THREADS = 24


class BackgroundTasks:
    """Runs tasks, and logs the one that fails."""

    def __init__(self) -> None:
        self._threads = ThreadPoolExecutor(TASK_THREADS, "task")

    def start(self, task: Callable[[], object]) -> None:
        """Run a task until it returns."""
        self._threads.submit(_run, task)


def _run(task: Callable[[], object]) -> None:
    try:
        task()
    except Exception as error:
        name = getattr(task, "func", task).__qualname__
        emit(Event.TASK_FAILED, task=name, error=describe_error(error))
        raise
