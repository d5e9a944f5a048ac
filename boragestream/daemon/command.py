"""Runs one Boragestream entry.

Usage:
  boragestream-entry SETTINGS
  boragestream-entry --help

SETTINGS is a TOML file. SIGTERM begins a graceful shutdown; a second one ends the
process at once.

Exit codes: 0 after a graceful shutdown, 2 unusable settings, 3 ended at once, 4 an
address of the settings can't be listened on.
"""

import os
import signal
import sys
from pathlib import Path

import pynng
from absl import logging
from docopt import docopt

from boragestream.base.settings import read_settings
from boragestream.base.shapes import Fault
from boragestream.daemon.entry import Entry
from boragestream.entry.tls import load_peer_tls

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_CUT = 3
EXIT_ADDRESS = 4


def main(argv: list[str] | None = None) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    arguments = docopt(__doc__, argv)
    settings, faults = read_settings(Path(arguments["SETTINGS"]))
    if settings is None:
        return _refuse(faults)
    peer_tls = None
    if settings.peer.tls is not None:
        peer_tls = load_peer_tls(settings.peer.tls, settings.entry.deployment)
        if isinstance(peer_tls, Fault):
            return _refuse([peer_tls])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    try:
        entry = Entry(settings, peer_tls)
    except (OSError, pynng.NNGException) as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return EXIT_ADDRESS
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


def _refuse(faults: list[Fault]) -> int:
    for fault in faults:
        print(fault.describe(), file=sys.stderr)
    return EXIT_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
