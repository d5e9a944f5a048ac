"""Counts what came to a stand-in within a time."""


def most_within(moments, seconds):
    """Return the most of some moments that lie in any window of so many seconds."""
    return max(
        (sum(first <= at < first + seconds for at in moments) for first in moments),
        default=0,
    )
