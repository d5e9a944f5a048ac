"""Runs an attempt, and a hedged second attempt if the first one is late.

Each attempt has its own future, which only the attempt sets. The first complete answer
is the result. The other attempt is cancelled: its connection is closed so that the
server stops, and any result it still returns is discarded.
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
    """Return the first result, or the last failure if every attempt fails.

    :param delay: seconds after which a second attempt is launched.
    :param launch_second: returns the second attempt, or None if it is not allowed.
    """
    running = {parts.attempt_executor.submit(first.send): first}
    done, _ = wait(running, timeout=delay)
    second = None if done else launch_second()
    if second is not None:
        running[parts.attempt_executor.submit(second.send)] = second
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
        attempt.cancel()
        future.add_done_callback(_close_stream)


def _close_stream(future: Future) -> None:
    """Close a stream that was opened after its attempt was cancelled."""
    answer = future.result()
    if isinstance(answer, OpenAnswer):
        answer.close()
