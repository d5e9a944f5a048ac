"""Divides the threads of an entry between client accounts.

Load pattern: the surplus of one client account, or its slow requests, occupy all
threads of an entry, which then refuses the requests of all accounts. While most threads
are in use, an account whose use has grown clearly more than that of the others is
refused further ones, so that the last part of the threads serves the others.
"""

import math
import threading
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.policy.account_shares import (
    EXCESS_GROWTH,
    NOISE_DEVIATIONS,
    AccountShares,
    Surplus,
)
from boragestream.policy.max_min import weighted_max_min

__all__ = ["ThreadShares"]

# There is a shortage while this part of the threads or more is in use. The rest is what
# the other accounts need while threads in use become free.
SHORTAGE_PART = 0.75
# Assumed until the first request of an account has ended.
DEFAULT_SECONDS = 0.5


@dataclass(slots=True)
class _Use:
    """The threads that an account uses.

    :ivar seconds: the mean time of its requests.
    """

    in_hand: int = 0
    seconds: float = DEFAULT_SECONDS


class ThreadShares:
    """The shares of one entry's threads; safe to use from any thread.

    The weight of an account is its mean number of threads: the time that its requests
    take in a second.

    :param limit: the number of threads.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._shares = AccountShares()
        self._uses: dict[str, _Use] = {}
        self._in_hand = 0
        self._lock = threading.Lock()

    @property
    def in_hand(self) -> dict[str, int]:
        """The threads in use, by account."""
        with self._lock:
            return {name: u.in_hand for name, u in self._uses.items() if u.in_hand}

    def begin(self, account: str) -> Surplus | None:
        """Count a request that begins, or return the surplus if it is refused."""
        now = self._clock.now()
        with self._lock:
            surplus = self._surplus(account, now)
            if surplus is None:
                self._in_hand += 1
                self._uses.setdefault(account, _Use()).in_hand += 1
            return surplus

    def end(self, account: str, seconds: float) -> None:
        """Stop counting a request.

        :param seconds: how long it was counted.
        """
        now = self._clock.now()
        with self._lock:
            self._in_hand -= 1
            use = self._uses[account]
            use.in_hand -= 1
            use.seconds += (seconds - use.seconds) / 8
            self._shares.record(account, seconds, now)

    def _surplus(self, account: str, now: float) -> Surplus | None:
        if not account or self._in_hand < SHORTAGE_PART * self._limit:
            return None
        weights = self._shares.weights(now)
        mean = sum(weights.values()) / len(weights) if weights else 1.0
        used = {name: use.in_hand for name, use in self._uses.items() if use.in_hand}
        for name in {account, *used}:
            weights.setdefault(name, mean)
        total = sum(weights.values())
        weight, wanted = weights[account], used.get(account, 0) + 1
        others = total - weight
        if others <= 0:
            return None
        in_use = self._in_hand - used.get(account, 0)
        expected = weight * in_use / others
        bound = EXCESS_GROWTH * expected + NOISE_DEVIATIONS * math.sqrt(expected)
        if wanted <= max(1.0, bound):
            return None
        kept = (1 - SHORTAGE_PART) * self._limit
        demands = {n: used.get(n, 0) + kept * w / total for n, w in weights.items()}
        demands[account] = wanted
        level = weighted_max_min(self._limit, demands, weights)
        if wanted <= level * weight:
            return None
        seconds = self._uses.get(account, _Use()).seconds
        excess = wanted - level * weight
        return Surplus(account, seconds * excess / wanted, wanted, weight, level)
