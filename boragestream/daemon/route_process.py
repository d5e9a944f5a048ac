"""Runs the process of a forwarding entry: its signals and log lines.

Importing this module loads the whole entry. ``daemon.route_command`` does the steps
that come before, such as opening the listening sockets.
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
    handled_signals: tuple[signal.Signals, ...],
) -> ExitCode:
    """Run an entry until a stop signal arrives, then exit the process.

    :param path: the settings file, which is read again on reload.
    :param handled_signals: signals blocked in every thread and handled by a dedicated
        one, so that none interrupts a thread holding a lock that the shutdown needs.
    :returns: an exit code, only if the entry can't start.
    """
    writer = log_lines_to(sys.stdout)
    try:
        entry = RouteEntry(SettingsInForce(path, settings), sockets)
    except pynng.NNGException as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return ExitCode.ADDRESS
    ThreadPoolExecutor(1, "signals").submit(_handle_signals, entry, handled_signals)
    ThreadPoolExecutor(1, "log").submit(writer.run)
    _exit_process(writer, entry.run())


def _exit_process(writer: LineWriter, code: ExitCode) -> None:
    # Threads blocked in a watch hold no resources; joining them would only delay the
    # exit.
    writer.write_out()
    os._exit(code)


def _handle_signals(entry: RouteEntry, signals: tuple[signal.Signals, ...]) -> None:
    while True:
        if signal.sigwait(signals) == signal.SIGHUP:
            entry.reload()
        else:
            entry.stop()
