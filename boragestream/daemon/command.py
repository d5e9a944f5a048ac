"""Runs one Boragestream entry.

Usage:
  boragestream-entry SETTINGS
  boragestream-entry --help

SETTINGS is a TOML file. SIGTERM begins a graceful shutdown; a second one ends the
process at once. Exit codes: 0 everything was answered, 2 the settings are invalid,
3 ended by a second signal, 4 the stop limit was reached,
5 an address of the settings can't be listened on, 6 the entry itself failed.
"""

import signal
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pynng
from absl import logging
from docopt import docopt

from boragestream.base.bounded_output import (
    STANDARD_ERROR,
    complain,
    open_standard_streams,
)
from boragestream.base.line_writer import log_lines_to
from boragestream.base.settings import read_settings
from boragestream.base.shapes import Fault
from boragestream.daemon.entry import Entry
from boragestream.daemon.exit_codes import ExitCode
from boragestream.daemon.process_end import run_and_exit
from boragestream.entry.tls import load_peer_tls

__all__ = ["main"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main(argv: list[str] | None = None) -> int:
    """Run an entry until a stop signal arrives; return the exit code."""
    arguments = docopt(__doc__, argv)
    open_standard_streams()
    settings, faults = read_settings(Path(arguments["SETTINGS"]))
    if settings is None:
        return _report_faults(faults)
    peer_tls = None
    if settings.peer.tls is not None:
        peer_tls = load_peer_tls(settings.peer.tls, settings.entry.deployment)
        if isinstance(peer_tls, Fault):
            return _report_faults([peer_tls])
    writer = log_lines_to(STANDARD_ERROR, logging.PythonFormatter().format)
    # The signals are blocked in every thread and handled by a dedicated one, so that
    # a signal never interrupts a thread holding a lock that the shutdown needs.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    try:
        entry = Entry(settings, writer, peer_tls)
    except (OSError, pynng.NNGException) as error:
        complain(f"can't listen: {error}")
        return ExitCode.ADDRESS
    ThreadPoolExecutor(1, "signals").submit(_handle_signals, entry)
    ThreadPoolExecutor(1, "log").submit(writer.run)
    run_and_exit(entry.run, writer)


def _handle_signals(entry: Entry) -> None:
    while True:
        signal.sigwait(STOP_SIGNALS)
        entry.stop()


def _report_faults(faults: list[Fault]) -> int:
    for fault in faults:
        complain(fault.describe())
    return ExitCode.SETTINGS


if __name__ == "__main__":
    sys.exit(main())
