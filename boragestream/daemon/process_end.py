"""Ends the process of an entry, whatever its threads are doing."""

import os
from collections.abc import Callable
from typing import NoReturn

from boragestream.base.bounded_output import complain
from boragestream.base.events import Event, describe_error, emit
from boragestream.base.line_writer import LineWriter
from boragestream.daemon.exit_codes import ExitCode

__all__ = ["run_and_exit"]


def run_and_exit(run: Callable[[], ExitCode], writer: LineWriter) -> NoReturn:
    """Run an entry until it is stopped, then exit the process.

    :param run: returns the exit code.
    :param writer: writes the last lines of the log, as far as they are read in time.
    """
    try:
        code = run()
    except Exception as error:
        reason = describe_error(error)
        emit(Event.TASK_FAILED, task="entry", error=reason)
        complain(f"the entry failed: {reason}")
        code = ExitCode.FAILED
    writer.write_out()
    # Threads blocked in a watch hold no resources; joining them would only delay the
    # exit.
    os._exit(code)
