"""What servers report of their own load, and how it ages.

Reports come with answers and are old by the time that they are used: what other
entries had in progress is faded with the age. Reading a report off an answer is left
to ``backend.load``.
"""

import math
from dataclasses import dataclass

__all__ = ["LoadReport", "calls_of_others"]

FADE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load at one moment.

    :ivar in_progress: its calls, of all entries, waiting ones included.
    :ivar slots: how many calls it runs at once.
    """

    in_progress: int
    slots: int


def calls_of_others(report: LoadReport, own: int, age: float) -> float:
    """Return how many calls of other entries a server is expected to have.

    :param own: this entry's calls at the moment of the report.
    :param age: the report's age in seconds.
    """
    others = max(0, report.in_progress - own)
    return others * math.exp(-max(0.0, age) / FADE_SECONDS)
