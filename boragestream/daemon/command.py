"""Runs one Boragestream entry.

Usage:
  boragestream-entry SETTINGS
  boragestream-entry --help

SETTINGS is a TOML file. SIGTERM begins a graceful shutdown; a second one ends the
process at once.
"""

import os
import signal
import sys
from pathlib import Path

from absl import logging
from docopt import docopt

from boragestream.base.settings import read_settings
from boragestream.daemon.entry import Entry

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_CUT = 3


def main(argv: list[str] | None = None) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    arguments = docopt(__doc__, argv)
    settings, faults = read_settings(Path(arguments["SETTINGS"]))
    if settings is None:
        for fault in faults:
            print(fault.describe(), file=sys.stderr)
        return EXIT_SETTINGS
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    entry = Entry(settings)
    signals = iter([entry.stop])

    def on_signal(*_: object) -> None:
        stop = next(signals, None)
        if stop is None:
            os._exit(EXIT_CUT)
        stop()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    entry.run()
    # Threads still blocked in a watch hold nothing; waiting for them would only
    # delay the end.
    sys.stdout.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
