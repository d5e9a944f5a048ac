"""Exit codes of an entry process."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """An exit code of an entry process."""

    WHOLE = 0
    SETTINGS = 2
    FORCED = 3
    LIMIT = 4
    ADDRESS = 5
    FAILED = 6
