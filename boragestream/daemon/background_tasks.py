"""Runs the background tasks of an entry, each in a thread of its own."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from boragestream.base.events import Event, describe_error, emit

__all__ = ["BackgroundTasks"]

TASK_THREADS = 24
RESTART_SECONDS = 1.0


class BackgroundTasks:
    """Runs tasks in a thread pool; logs each task that fails, and runs it again."""

    def __init__(self) -> None:
        self._threads = ThreadPoolExecutor(TASK_THREADS, "task")
        self._ended = threading.Event()

    def start(self, task: Callable[[], object]) -> None:
        """Run a task in a thread of its own until it returns."""
        self._threads.submit(self._run, task)

    def close(self) -> None:
        """Restart no task from now on."""
        self._ended.set()

    def _run(self, task: Callable[[], object]) -> None:
        while True:
            try:
                task()
                return
            except Exception as error:
                name = getattr(task, "func", task).__qualname__
                emit(Event.TASK_FAILED, task=name, error=describe_error(error))
            if self._ended.wait(RESTART_SECONDS):
                return
