"""An owner's share of the weight store's rate.

The share is that of its servers among all servers of the list. Every server has one
owner, so that the shares of one list add up to the whole rate without any exchange.
"""

import threading

from boragestream.base.clock import Clock
from boragestream.policy.token_bucket import TokenBucket

__all__ = ["WeightStoreShare"]


class WeightStoreShare:
    """How many loads this entry may begin.

    :param clock: fills the bucket.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket = TokenBucket(clock.now())
        # A full bucket in each entry would let a restart of all of them begin one
        # load for each entry at once, whatever the rate.
        self._bucket.take(clock.now())
        self._lock = threading.Lock()

    def set_share(self, rate: float, owned: int, listed: int) -> None:
        """Take the rate of the whole store and this entry's part of the servers.

        :param rate: loads a second, of all entries together.
        """
        share = rate * owned / listed if listed else 0.0
        with self._lock:
            self._bucket.set_rate(share, self._clock.now())

    def take(self) -> bool:
        """Return whether a load may begin now, and count it."""
        with self._lock:
            return self._bucket.take(self._clock.now())

    def put_back(self) -> None:
        """Return a load that was not begun."""
        with self._lock:
            self._bucket.put_back()
