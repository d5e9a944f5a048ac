"""Measures what it costs to run an attempt in an executor, so that it can be hedged.

Usage:
  bench.handover [--json OUT]
  bench.handover --help

Options:
  --json OUT  Where to write the result.

The attempt does nothing but wait, as for a server; the same threads run it directly
and through ``serving.race``, in the same run. Only the difference counts.
"""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace

from docopt import docopt

from boragestream.serving.race import race

THREADS = (1, 8, 64)
ATTEMPTS = 400
SERVER_SECONDS = 0.005
NEVER_SECONDS = 60.0
ROUNDS = 3


class WaitingAttempt:
    """An attempt that only waits."""

    def send(self) -> str:
        """Wait as long as a server takes."""
        time.sleep(SERVER_SECONDS)
        return "answer"


def main(argv: list[str] | None = None) -> int:
    """Measure and print; return the exit code."""
    arguments = docopt(__doc__, argv)
    rows = [measure(threads) for _ in range(ROUNDS) for threads in THREADS]
    result = {"command": "python -m bench.handover", "rows": rows}
    text = json.dumps(result, indent=1) + "\n"
    print(text, end="")
    if arguments["--json"]:
        Path(arguments["--json"]).write_text(text)
    return 0


def measure(threads: int) -> dict[str, float]:
    """Return processor microseconds of one attempt, direct and handed over."""
    with ThreadPoolExecutor(256) as attempts, ThreadPoolExecutor(threads) as callers:
        parts = SimpleNamespace(attempts=attempts)

        def hand_over() -> object:
            return race(parts, WaitingAttempt(), NEVER_SECONDS, lambda: None)

        direct = processor_micros(callers, threads, WaitingAttempt().send)
        handed = processor_micros(callers, threads, hand_over)
    return {"threads": threads, "direct_us": direct, "handed_over_us": handed}


def processor_micros(callers: ThreadPoolExecutor, threads: int, work: object) -> float:
    """Return processor microseconds of the process for one call of some work."""
    began = time.process_time()
    futures = [callers.submit(repeat, work) for _ in range(threads)]
    for future in futures:
        future.result()
    return round((time.process_time() - began) / (threads * ATTEMPTS) * 1e6, 1)


def repeat(work: object) -> None:
    """Call some work many times."""
    for _ in range(ATTEMPTS):
        work()


if __name__ == "__main__":
    sys.exit(main())
