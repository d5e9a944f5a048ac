"""Runs one Boragestream entry that forwards calls by published routes.

Usage:
  boragestream-route-entry [SETTINGS]
  boragestream-route-entry --help

SETTINGS is a TOML file; without it the environment variable BORAGESTREAM_CONFIG names
it. SIGHUP has it read again. SIGTERM begins a graceful shutdown; a second one ends the
process at once. Exit codes: 0 everything was answered, 2 the settings are invalid,
3 ended by a second signal, 4 the time to stop was over, 5 an address can't be listened
on.
"""

import os
import signal
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pynng
from docopt import docopt

from boragestream.base.line_writer import LineWriter, log_lines_to
from boragestream.base.route_settings import SettingsInvalid, read_route_settings
from boragestream.daemon.route_entry import RouteEntry
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.daemon.shutdown import ExitCode

__all__ = ["main"]

SETTINGS_VARIABLE = "BORAGESTREAM_CONFIG"
TAKEN_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def main(argv: list[str] | None = None) -> int:
    """Run an entry until it is told to stop; return the exit code."""
    arguments = docopt(__doc__, argv)
    path = arguments["SETTINGS"] or os.environ.get(SETTINGS_VARIABLE, "")
    settings = read_route_settings(Path(path))
    if isinstance(settings, SettingsInvalid):
        print(settings.describe(), file=sys.stderr)
        return ExitCode.SETTINGS
    writer = log_lines_to(sys.stdout)
    # Blocked in every thread and taken by one alone, so that a stop never interrupts
    # a thread that holds a lock which the stop needs.
    signal.pthread_sigmask(signal.SIG_BLOCK, TAKEN_SIGNALS)
    try:
        entry = RouteEntry(SettingsInForce(Path(path), settings))
    except (OSError, pynng.NNGException) as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return ExitCode.ADDRESS
    ThreadPoolExecutor(1, "signals").submit(_take_signals, entry)
    ThreadPoolExecutor(1, "log").submit(writer.run)
    _end(writer, entry.run())


def _end(writer: LineWriter, code: ExitCode) -> None:
    # Threads still blocked in a watch hold nothing; waiting for them would only delay
    # the end.
    writer.write_out()
    os._exit(code)


def _take_signals(entry: RouteEntry) -> None:
    while True:
        if signal.sigwait(TAKEN_SIGNALS) == signal.SIGHUP:
            entry.reload()
        else:
            entry.stop()


if __name__ == "__main__":
    sys.exit(main())
