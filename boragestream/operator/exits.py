"""The exit codes of the command line; docs/OPERATIONS.md lists them too."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """How a command ended."""

    OK = 0
    """All is as it should be."""
    FAULTS = 1
    """A file has faults, or a replayed request missed its stated outcome."""
    USAGE = 2
    """The arguments, a key or a file can't be used; nothing was sent."""
    UNREACHABLE = 3
    """An entry gave no whole reply."""
    REFUSED = 4
    """The request was refused and not run."""
    FAILED = 5
    """The request failed; some stage may have run, repeating it is safe."""
    UNKNOWN = 6
    """A call that may not be repeated may have run."""
