"""Tasks in simulated time that may block, run by one thread at a time.

A task calls ``sleep`` wherever the real code would wait. The scheduler continues one
task until it sleeps or ends, then the one that is due next, so that a run with a seed
is always the same.
"""

import heapq
import itertools
import threading


class Scheduler:
    """Runs tasks in the order of simulated time."""

    def __init__(self, clock):
        """Start at the time of the clock."""
        self.clock = clock
        self._due = []
        self._numbers = itertools.count()
        self._idle = threading.Semaphore(0)
        self._current = threading.local()

    def after(self, seconds, work):
        """Call a function that does not sleep, after some time."""
        at = self.clock.now() + seconds
        heapq.heappush(self._due, (at, next(self._numbers), work))

    def start(self, work):
        """Start a task that may sleep."""
        turn = threading.Semaphore(0)

        def run():
            self._current.turn = turn
            turn.acquire()
            try:
                work()
            finally:
                self._idle.release()

        def begin():
            threading.Thread(target=run, daemon=True).start()
            self._resume(turn)

        self.after(0.0, begin)

    def sleep(self, seconds):
        """Let simulated time pass in a task."""
        turn = self._current.turn
        self.after(seconds, lambda: self._resume(turn))
        self._idle.release()
        turn.acquire()

    def run(self, seconds, until=lambda: False):
        """Let time pass; return whether a condition held before its end."""
        end = self.clock.now() + seconds
        while self._due and self._due[0][0] <= end:
            at, _, work = heapq.heappop(self._due)
            self.clock.seconds = max(self.clock.seconds, at)
            work()
            if until():
                return True
        self.clock.seconds = end
        return until()

    def _resume(self, turn):
        turn.release()
        self._idle.acquire()
