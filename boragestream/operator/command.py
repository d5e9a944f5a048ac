"""Boragestream for people.

Usage:
  boragestream check DOCUMENT
  boragestream --help

Commands:
  check  Check a configuration document and print every fault with its place.
"""

import sys
from pathlib import Path

from docopt import docopt

from boragestream.document import parse_document

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAULTS = 1


def main(argv: list[str] | None = None) -> int:
    """Run one command; return the exit code."""
    arguments = docopt(__doc__, argv)
    return _check(Path(arguments["DOCUMENT"]))


def _check(path: Path) -> int:
    document, faults = parse_document(path.read_bytes())
    for fault in faults:
        print(fault.describe())
    if document is None:
        return EXIT_FAULTS
    print(f"version {document.version} of {document.deployment} is valid")
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
