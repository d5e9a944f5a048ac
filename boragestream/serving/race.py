"""Runs an attempt, and a second one beside it where the first is late.

Each attempt has a future of its own, set once by the attempt alone. The first whole
answer is the result; the other attempt is cancelled, its connection closed so that
the server stops, and what it still brings is dropped.
"""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, wait
from typing import Any

from boragestream.backend.attempt import AttemptFailure, OpenAnswer
from boragestream.serving.attempts import AttemptRun
from boragestream.serving.parts import ServingParts

__all__ = ["race"]


def race(
    parts: ServingParts,
    first: AttemptRun,
    delay: float,
    launch_second: Callable[[], AttemptRun | None],
) -> Any | AttemptFailure:
    """Return the first result, or the last failure where there is none.

    :param delay: seconds after which a second attempt is launched.
    :param launch_second: returns the second attempt, or None where it may not be.
    """
    running = {parts.attempts.submit(first.send): first}
    done, _ = wait(running, timeout=delay)
    second = None if done else launch_second()
    if second is not None:
        running[parts.attempts.submit(second.send)] = second
    while True:
        done, _ = wait(running, return_when=FIRST_COMPLETED)
        for future in done:
            result = future.result()
            del running[future]
            if not isinstance(result, AttemptFailure):
                _cancel(running)
                return result
        if not running:
            return result


def _cancel(losers: dict[Future, AttemptRun]) -> None:
    for future, attempt in losers.items():
        attempt.lose()
        future.add_done_callback(_drop)


def _drop(future: Future) -> None:
    """Close a stream that was opened although its attempt had lost."""
    answer = future.result()
    if isinstance(answer, OpenAnswer):
        answer.close()
