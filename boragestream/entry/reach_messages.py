"""The messages by which entries compare which services they reach.

The envelope and the rule for added fields are described in ``entry.messages``.
"""

import msgspec

__all__ = ["NEVER", "ReachAsk", "ReachReply"]

NEVER = -1


class ReachAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks when some services last answered the receiver."""

    services: tuple[str, ...]


class ReachReply(msgspec.Struct, frozen=True, tag=True):
    """Reports when the services last answered.

    :ivar ages_ms: the milliseconds since each service last answered, in the order of
        the question; ``NEVER`` if it has not answered this process.
    """

    ages_ms: tuple[int, ...]
