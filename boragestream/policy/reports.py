"""Load reports of servers and the decay of their content with age.

Reports arrive with answers and are out of date when they are used. The reported number
of other entries' calls therefore decays with the report's age. ``backend.load`` parses
the reports.
"""

import math
from dataclasses import dataclass

__all__ = ["LoadReport", "expected_calls_of_others"]

DECAY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load at one moment.

    :ivar in_progress: the number of its calls from all entries, including queued ones.
    :ivar slots: the number of calls that it runs at once.
    """

    in_progress: int
    slots: int


def expected_calls_of_others(report: LoadReport, own: int, age: float) -> float:
    """Return the expected number of calls of other entries on a server.

    :param own: the number of this entry's calls at the time of the report.
    :param age: the report's age in seconds.
    """
    others = max(0, report.in_progress - own)
    return others * math.exp(-max(0.0, age) / DECAY_SECONDS)
