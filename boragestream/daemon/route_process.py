"""Runs the process of a forwarding entry: its signals and log lines.

Importing this module loads the whole entry. ``daemon.route_command`` does the steps
that come before, such as opening the listening sockets.
"""

import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pynng

from boragestream.base.bounded_output import STANDARD_OUTPUT, complain
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.line_writer import log_lines_to
from boragestream.base.route_settings import RouteSettings
from boragestream.daemon.exit_codes import ExitCode
from boragestream.daemon.listening import ListeningSockets
from boragestream.daemon.process_end import run_and_exit
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
    writer = log_lines_to(STANDARD_OUTPUT)
    try:
        entry = RouteEntry(SettingsInForce(path, settings), sockets, writer)
    except pynng.NNGException as error:
        complain(f"can't listen: {error}")
        return ExitCode.ADDRESS
    ThreadPoolExecutor(1, "signals").submit(_handle_signals, entry, handled_signals)
    ThreadPoolExecutor(1, "log").submit(writer.run)
    run_and_exit(entry.run, writer)


def _handle_signals(entry: RouteEntry, signals: tuple[signal.Signals, ...]) -> None:
    while True:
        number = signal.sigwait(signals)
        if number != signal.SIGHUP:
            entry.stop()
            continue
        try:
            entry.reload()
        except Exception as error:
            # This thread must go on, since it is the one that stops the entry.
            emit(Event.TASK_FAILED, task="reload", error=describe_error(error))
