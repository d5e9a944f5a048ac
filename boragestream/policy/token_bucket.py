"""A token bucket whose rate can change."""

__all__ = ["TokenBucket"]

BURST_SECONDS = 1.0


class TokenBucket:
    """Tokens that fill up with time; not safe without its owner's lock.

    It holds what a second brings, at the least one token.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._tokens = 1.0
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Tokens in a second."""
        return self._rate

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; what is there beyond the new size is lost."""
        self._fill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self._size())

    def take(self, now: float) -> bool:
        """Take a token where there is one."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def put_back(self) -> None:
        """Return a token that was not used."""
        self._tokens = min(self._size(), self._tokens + 1)

    def seconds_to_next(self) -> float:
        """Return the seconds until a token is there; infinite without a rate."""
        missing = max(0.0, 1 - self._tokens)
        return missing / self._rate if self._rate > 0 else float("inf")

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self._rate
        self._tokens = min(self._size(), self._tokens + max(0.0, gained))
        self._filled_at = now

    def _size(self) -> float:
        return max(1.0, self._rate * BURST_SECONDS)
