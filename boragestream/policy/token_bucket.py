"""A token bucket whose rate can change."""

__all__ = ["TokenBucket"]

BURST_SECONDS = 1.0


class TokenBucket:
    """A token bucket; not thread-safe: the caller holds a lock.

    Its capacity is the number of tokens added in a second, but at least one token.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._tokens = 1.0
        self._filled_at = now

    @property
    def rate(self) -> float:
        """The tokens added in a second."""
        return self._rate

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; tokens beyond the new capacity are discarded."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity())

    def take(self, now: float) -> bool:
        """Take a token if there is one; return whether there was."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def put_back(self) -> None:
        """Put an unused token back."""
        self._tokens = min(self._capacity(), self._tokens + 1)

    def seconds_to_next(self) -> float:
        """Return the seconds until there is a token; infinite if the rate is 0."""
        missing = max(0.0, 1 - self._tokens)
        return missing / self._rate if self._rate > 0 else float("inf")

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._capacity(), self._tokens + max(0.0, gained))
        self._filled_at = now

    def _capacity(self) -> float:
        return max(1.0, self._rate * BURST_SECONDS)
