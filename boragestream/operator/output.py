"""Prints what commands have to say: JSON for programs, aligned lines for people."""

import sys
from collections.abc import Iterable, Sequence

import msgspec

from boragestream.base.outcomes import Failure

__all__ = ["print_failure", "print_json", "print_table", "to_json"]

INDENT = 2
COLUMN_GAP = "  "


def to_json(value: object) -> str:
    """Return a value as indented JSON; other types are written as their text."""
    encoded = msgspec.json.encode(value, enc_hook=str)
    return msgspec.json.format(encoded, indent=INDENT).decode()


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(to_json(value))


def print_failure(failure: Failure, as_json: bool) -> None:
    """Print a failure: as JSON on standard output, else as a line on standard error."""
    if as_json:
        print_json({"failure": failure.code, "details": failure})
    else:
        print(failure.describe(), file=sys.stderr)


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under a header, their columns aligned."""
    lines = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print(COLUMN_GAP.join(cells).rstrip())
