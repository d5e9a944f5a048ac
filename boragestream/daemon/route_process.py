"""The process of one entry that forwards calls, once it listens: signals and log lines.

Importing this module loads the whole entry. What must be there before is left to
``daemon.route_command``.
"""

import os
import signal
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pynng

from boragestream.base.line_writer import LineWriter, log_lines_to
from boragestream.base.route_settings import RouteSettings
from boragestream.daemon.exit_codes import ExitCode
from boragestream.daemon.listening import ListeningSockets
from boragestream.daemon.route_entry import RouteEntry
from boragestream.daemon.settings_in_force import SettingsInForce

__all__ = ["run_route_entry"]


def run_route_entry(
    path: Path,
    settings: RouteSettings,
    sockets: ListeningSockets,
    taken_signals: tuple[signal.Signals, ...],
) -> ExitCode:
    """Run an entry until it is told to stop; the process ends with it.

    :param path: the settings file, which is read again later.
    :param taken_signals: blocked in every thread, and taken here by one alone, so that
        a stop never interrupts a thread that holds a lock which the stop needs.
    :returns: only where the entry can't start.
    """
    writer = log_lines_to(sys.stdout)
    try:
        entry = RouteEntry(SettingsInForce(path, settings), sockets)
    except pynng.NNGException as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return ExitCode.ADDRESS
    ThreadPoolExecutor(1, "signals").submit(_take_signals, entry, taken_signals)
    ThreadPoolExecutor(1, "log").submit(writer.run)
    _end(writer, entry.run())


def _end(writer: LineWriter, code: ExitCode) -> None:
    # Threads still blocked in a watch hold nothing; waiting for them would only delay
    # the end.
    writer.write_out()
    os._exit(code)


def _take_signals(entry: RouteEntry, taken: tuple[signal.Signals, ...]) -> None:
    while True:
        if signal.sigwait(taken) == signal.SIGHUP:
            entry.reload()
        else:
            entry.stop()
