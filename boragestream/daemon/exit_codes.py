"""How the process of an entry ends."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """The exit codes of an entry."""

    WHOLE = 0
    SETTINGS = 2
    FORCED = 3
    LIMIT = 4
    ADDRESS = 5
