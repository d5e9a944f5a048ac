"""The requests a second that a server in need takes from all entries together.

A server names its limit in its answers, and it holds for as long as they name it.
"""

import math
from collections.abc import Sequence

from boragestream.document.calls import LimitMalformed

__all__ = ["parse_limit"]

# No single server serves as much; a higher figure limits nothing.
MOST_PER_SECOND = 100_000.0


def parse_limit(texts: Sequence[str]) -> float | LimitMalformed | None:
    """Decode the limits that an answer names.

    :param texts: one for each time that it names one.
    :returns: requests a second, the lowest of several; None where there is no limit.
    """
    named = []
    for text in texts:
        try:
            limit = float(text)
        except ValueError:
            return LimitMalformed()
        if math.isnan(limit) or limit < 0:
            return LimitMalformed()
        named.append(limit)
    lowest = min(named, default=math.inf)
    return lowest if lowest <= MOST_PER_SECOND else None
